"""Messages and codecs shared by the processes of crocusroad.

The package defines data only: no I/O, no clocks and no decisions.
"""

from crocusroad_wire._answer import (
    Answer,
    Coverage,
    MissingShard,
    Record,
)
from crocusroad_wire._codec import (
    DecodeError,
    decode_json,
    encode_json,
    encode_json_text,
    make_json_decoder,
)
from crocusroad_wire._crash_report import CrashReport
from crocusroad_wire._front import (
    CallerSpec,
    FrontResource,
    FrontSpec,
    FrontStatus,
    KindSpec,
    ReplicaSpec,
    ShardMapSpec,
    ShardSpec,
)
from crocusroad_wire._operators import (
    ChangeKind,
    CheckReport,
    FrontChange,
    NodeStatus,
    PeerStatus,
    WriteReceipt,
)
from crocusroad_wire._peers import (
    PEER_VERSION,
    Heartbeat,
    MemberUpdate,
    PeerFrame,
    Publication,
    PullAnswer,
    PullRequest,
    Receipt,
    decode_peer,
    encode_peer,
)
from crocusroad_wire._problem import Fault, Problem, ProblemKind, RunState
from crocusroad_wire._request import ActionRequest, SearchRequest
from crocusroad_wire._upstream import (
    CancelRequest,
    UpstreamAnswer,
    UpstreamHealth,
    UpstreamQuery,
)

__all__ = [
    'PEER_VERSION',
    'ActionRequest',
    'Answer',
    'CallerSpec',
    'CancelRequest',
    'ChangeKind',
    'CheckReport',
    'Coverage',
    'CrashReport',
    'DecodeError',
    'Fault',
    'FrontChange',
    'FrontResource',
    'FrontSpec',
    'FrontStatus',
    'Heartbeat',
    'KindSpec',
    'MemberUpdate',
    'MissingShard',
    'NodeStatus',
    'PeerFrame',
    'PeerStatus',
    'Problem',
    'ProblemKind',
    'Publication',
    'PullAnswer',
    'PullRequest',
    'Receipt',
    'Record',
    'ReplicaSpec',
    'RunState',
    'SearchRequest',
    'ShardMapSpec',
    'ShardSpec',
    'UpstreamAnswer',
    'UpstreamHealth',
    'UpstreamQuery',
    'WriteReceipt',
    'decode_json',
    'decode_peer',
    'encode_json',
    'encode_json_text',
    'encode_peer',
    'make_json_decoder',
]

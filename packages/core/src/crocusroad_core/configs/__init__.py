"""Configuration: what a node adopts, and when an operator's write holds."""

from crocusroad_core.configs._change import Adoption, Change, FrontEvent
from crocusroad_core.configs._exchange import (
    Absorbed,
    absorb_changes,
    export_changes,
)
from crocusroad_core.configs._history import History
from crocusroad_core.configs._polling import check_period, is_watcher
from crocusroad_core.configs._registry import FrontBook
from crocusroad_core.configs._status import front_status
from crocusroad_core.configs._stored_front import (
    Ancestor,
    StoredFront,
    decode_stored,
    encode_stored,
)
from crocusroad_core.configs._synchronizer import Adopted, Feed
from crocusroad_core.configs._write import Write
from crocusroad_core.configs._write_command import (
    ReadKey,
    SwapKey,
    WriteCommand,
    WriteDone,
    WriteOutcome,
)

__all__ = [
    'Absorbed',
    'Adopted',
    'Adoption',
    'Ancestor',
    'Change',
    'Feed',
    'FrontBook',
    'FrontEvent',
    'History',
    'ReadKey',
    'StoredFront',
    'SwapKey',
    'Write',
    'WriteCommand',
    'WriteDone',
    'WriteOutcome',
    'absorb_changes',
    'check_period',
    'decode_stored',
    'encode_stored',
    'export_changes',
    'front_status',
    'is_watcher',
]

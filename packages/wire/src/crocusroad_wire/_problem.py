"""Problem documents (RFC 9457) for refused requests."""

from enum import StrEnum
from typing import Literal, NotRequired, TypedDict

RunState = Literal['no', 'unknown']


class ProblemKind(StrEnum):
    """The reason for a refusal, and the last part of the problem's type."""

    malformed = 'malformed'
    unauthorized = 'unauthorized'
    unknown_front = 'unknown-front'
    unknown_kind = 'unknown-kind'
    unknown_shard = 'unknown-shard'
    invalid_spec = 'invalid-spec'
    conflict = 'conflict'
    revision_too_old = 'revision-too-old'
    not_ready = 'not-ready'
    draining = 'draining'
    caller_limit = 'caller-limit'
    kind_limit = 'kind-limit'
    overloaded = 'overloaded'
    deadline_too_short = 'deadline-too-short'
    deadline_exceeded = 'deadline-exceeded'
    no_snapshot = 'no-snapshot'
    quarantined = 'quarantined'
    key_invalid = 'key-invalid'
    key_expired = 'key-expired'
    key_reused = 'key-reused'
    claim_unavailable = 'claim-unavailable'
    in_progress = 'in-progress'
    upstream_unavailable = 'upstream-unavailable'
    outcome_unknown = 'outcome-unknown'
    store_unavailable = 'store-unavailable'
    write_unknown = 'write-unknown'


class Fault(TypedDict):
    """A fault in a refused spec."""

    path: str
    message: str


class Problem(TypedDict):
    """A refusal with its kind, whether the request ran, and the remedy."""

    type: str
    title: str
    status: int
    detail: str
    kind: str
    ran: RunState
    remedy: str
    retry_after_ms: NotRequired[int]
    request_id: NotRequired[str]
    faults: NotRequired[list[Fault]]
    revision: NotRequired[int]

"""Events of the attempts of a gather."""

from enum import StrEnum
from typing import Any, NamedTuple


class FailureReason(StrEnum):
    """Why an attempt failed."""

    connect_refused = 'connect-refused'
    connect_timeout = 'connect-timeout'
    no_connection = 'no-connection'
    overloaded = 'overloaded'  # the queue for the upstream is too long
    shed = 'shed'
    draining = 'draining'
    wrong_version = 'wrong-version'
    not_here = 'not-here'
    rejected = 'rejected'
    silent = 'silent'
    broken = 'broken'
    garbled = 'garbled'
    crossed = 'crossed'
    cancelled = 'cancelled'
    failed = 'failed'  # the upstream answered with an error

    @property
    def may_have_run(self) -> bool:
        """Tell whether the upstream may have run the sub-request."""
        return self not in _NOT_RUN

    @property
    def is_unreached(self) -> bool:
        """Tell whether the sub-request never reached the upstream."""
        return self in _UNREACHED


_NOT_RUN = frozenset(
    (
        FailureReason.connect_refused,
        FailureReason.connect_timeout,
        FailureReason.no_connection,
        FailureReason.overloaded,
        FailureReason.shed,
        FailureReason.draining,
        FailureReason.wrong_version,
        FailureReason.not_here,
        FailureReason.rejected,
    )
)

_UNREACHED = frozenset(
    (
        FailureReason.connect_refused,
        FailureReason.connect_timeout,
        FailureReason.no_connection,
        FailureReason.overloaded,
    )
)


class Reply(NamedTuple):
    """A complete answer of a replica, verified to belong to its attempt."""

    serial: int
    shard: str
    version: int
    records: list[Any]  # of the type that `Plan.merge` takes


class AttemptFailure(NamedTuple):
    """An attempt that ended without an answer."""

    serial: int
    reason: FailureReason

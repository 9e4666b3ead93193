"""What a gather is told about its attempts."""

from enum import StrEnum
from typing import Any, NamedTuple


class FailureReason(StrEnum):
    """Why an attempt brought no answer."""

    connect_refused = 'connect-refused'
    connect_timeout = 'connect-timeout'
    no_connection = 'no-connection'
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
    failed = 'failed'  # the upstream answered with a failure of its own

    @property
    def may_have_run(self) -> bool:
        """Tell whether the upstream may have run the sub-request."""
        return self not in _NOT_RUN

    @property
    def is_unreached(self) -> bool:
        """Tell whether the sub-request never got to the upstream."""
        return self in _UNREACHED


_NOT_RUN = frozenset(
    (
        FailureReason.connect_refused,
        FailureReason.connect_timeout,
        FailureReason.no_connection,
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
    )
)


class Reply(NamedTuple):
    """A whole answer of a replica, checked to belong to its attempt."""

    serial: int
    shard: str
    version: int
    records: list[Any]  # of the kind that the plan merges


class AttemptFailure(NamedTuple):
    """An attempt that brought no answer."""

    serial: int
    reason: FailureReason

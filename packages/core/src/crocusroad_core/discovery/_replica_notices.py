"""What replicas have said of themselves in their answers."""

import re
from collections.abc import Iterable
from http import HTTPStatus
from typing import Final, NamedTuple, Protocol, TypeVar

# How long it is remembered that a replica leaves: longer than a copy of its
# registration can be out of date.
LEAVING_SECONDS: Final = 600.0
MAX_REST_SECONDS: Final = 300.0

_LEAVING: Final = '1'
_SECONDS_PATTERN: Final = re.compile(r'[0-9]{1,9}(\.[0-9]{1,9})?')

KeyT = TypeVar('KeyT')


class StartedReplica(Protocol):
    """A start of a replica; the next one under its name is another."""

    @property
    def name(self) -> str:
        """Return the name that the replica keeps."""

    @property
    def start_time_ms(self) -> int:
        """Return a number that differs between its starts."""


class ReplicaNotice(NamedTuple):
    """What one answer says of the replica that sent it."""

    is_leaving: bool = False
    rest_seconds: float = 0  # for which it wants no requests


def parse_notice(
    status: int, leaving: str, retry_after: str
) -> ReplicaNotice | None:
    """Return what an answer says of its replica; None: nothing.

    Args:
        status: The status of the answer.
        leaving: The header by which a replica says that it leaves.
        retry_after: The header `Retry-After`, in seconds. It is heeded in a
            refusal (503), and ignored if it is no decimal number.
    """
    rest_seconds: float = 0
    if (
        status == HTTPStatus.SERVICE_UNAVAILABLE
        and _SECONDS_PATTERN.fullmatch(retry_after) is not None
    ):
        rest_seconds = float(retry_after)
    notice = ReplicaNotice(leaving == _LEAVING, rest_seconds)
    return notice if any(notice) else None


class ReplicaNotices:
    """The replicas that leave, and those that want no requests for a while.

    A replica that leaves is known by its name and its start: one that starts
    again under its name is another.
    """

    def __init__(self) -> None:
        self._leaving: dict[tuple[str, int], float] = {}  # until when
        self._resting: dict[str, float] = {}  # until when, by name
        self._latest_rest_end = float('-inf')

    def record(
        self, replica: StartedReplica, notice: ReplicaNotice, now: float
    ) -> bool:
        """Record a notice; return whether it changes what may be sent."""
        is_changed = False
        if notice.is_leaving and not self.is_leaving(replica, now):
            self._leaving = _unexpired(self._leaving, now)
            self._leaving[_key(replica)] = now + LEAVING_SECONDS
            is_changed = True
        if notice.rest_seconds > 0:
            self._resting = _unexpired(self._resting, now)
            until = now + min(notice.rest_seconds, MAX_REST_SECONDS)
            former = self._resting.get(replica.name, now)
            self._resting[replica.name] = max(former, until)
            self._latest_rest_end = max(self._latest_rest_end, until)
            is_changed = True
        return is_changed

    def is_leaving(self, replica: StartedReplica, now: float) -> bool:
        """Tell whether a replica has said that it leaves."""
        return self._leaving.get(_key(replica), now) > now

    def rests_until(self, name: str, now: float) -> float:
        """Return until when a replica wants no requests; `now` if it does."""
        return max(now, self._resting.get(name, now))

    def has_resting(self, now: float) -> bool:
        """Tell whether any replica wants no requests."""
        return self._latest_rest_end > now

    def rest_end(self, names: Iterable[str], now: float) -> float:
        """Return when the first of these replicas takes requests again."""
        return min((self.rests_until(name, now) for name in names), default=now)


def _key(replica: StartedReplica) -> tuple[str, int]:
    return replica.name, replica.start_time_ms


def _unexpired(entries: dict[KeyT, float], now: float) -> dict[KeyT, float]:
    return {key: until for key, until in entries.items() if until > now}

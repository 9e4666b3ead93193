"""What the replicas of upstreams have said of themselves in their answers."""

import logging
from typing import NamedTuple

from crocusroad_core.discovery import ReplicaNotice, ReplicaNotices
from crocusroad_core.fronts import Replica, ShardMap
from crocusroad_core.gather import Policy
from crocusroad_node.logs import log_event

_logger = logging.getLogger(__name__)


class _Start(NamedTuple):
    """A start of the replica at an address, counted from zero."""

    name: str
    start_time_ms: int


class UpstreamNotices:
    """The replicas of upstreams that leave or want no requests for a while.

    A replica that leaves says so in all its answers. The answer to a later
    request that does not say it comes from a process that has started since.
    """

    def __init__(self) -> None:
        self._notices = ReplicaNotices()
        self._starts: dict[str, _Start] = {}  # by address
        self._left_at: dict[str, float] = {}  # by address, since that start

    def record(
        self,
        replica: Replica,
        notice: ReplicaNotice | None,
        asked_at: float,
        now: float,
    ) -> None:
        """Record what an answer says, None for nothing.

        Args:
            replica: The replica that was asked.
            notice: What the answer says of it.
            asked_at: When the request was sent.
            now: The present time.
        """
        if notice is None or not notice.is_leaving:
            self._record_staying(replica.address, asked_at)
        else:
            self._left_at.setdefault(replica.address, now)
        if notice is None:
            return
        if self._notices.record(self._start(replica.address), notice, now):
            log_event(
                _logger,
                'replica notice',
                replica=replica.name,
                **notice._asdict(),
            )

    def is_resting(self, replica: Replica, now: float) -> bool:
        """Tell whether a replica wants no requests for now."""
        return self._notices.rests_until(replica.address, now) > now

    def accepts_work(self, replica: Replica, now: float) -> bool:
        """Tell whether a replica stays and takes requests."""
        if self.is_resting(replica, now):
            return False
        return not self._notices.is_leaving(self._start(replica.address), now)

    def rest_seconds(self, shard_map: ShardMap, now: float) -> float:
        """Return when each shard has a replica that takes requests.

        The result is in seconds from now; 0 if no shard waits for that.
        """
        ends = [
            self._notices.rest_end(
                (replica.address for replica in replicas), now
            )
            for replicas in shard_map.shards.values()
        ]
        return max(ends, default=now) - now

    def restrict(self, policy: Policy) -> Policy:
        """Return the policy with a choice among replicas that accept work."""

        def pick(
            shard: str,
            candidates: tuple[Replica, ...],
            now: float,
        ) -> Replica | None:
            accepting = tuple(
                replica
                for replica in candidates
                if self.accepts_work(replica, now)
            )
            return policy.pick(shard, accepting, now) if accepting else None

        return policy._replace(pick=pick)

    def _record_staying(self, address: str, asked_at: float) -> None:
        """Count a new start if the replica there was leaving before."""
        left_at = self._left_at.get(address)
        if left_at is None or asked_at <= left_at:
            return
        del self._left_at[address]
        number = self._start(address).start_time_ms + 1
        self._starts[address] = _Start(address, number)

    def _start(self, address: str) -> _Start:
        return self._starts.get(address, _Start(address, 0))

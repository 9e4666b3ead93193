"""Interface through which the node uses upstreams."""

from typing import Protocol

from returns.result import Result

from crocusroad_core.fronts import Replica, ShardMap
from crocusroad_core.gather import FailureReason
from crocusroad_wire import UpstreamAnswer, UpstreamHealth, UpstreamQuery

QueryResult = Result[UpstreamAnswer, FailureReason]


class Upstreams(Protocol):
    """Interface to the replicas of the upstreams."""

    async def query(
        self,
        replica: Replica,
        message: UpstreamQuery,
        timeout: float,
    ) -> QueryResult:
        """Send a sub-request and return its answer within `timeout` seconds.

        Cancelling the call also cancels the sub-request on the replica.
        """

    async def health(
        self,
        replica: Replica,
        timeout: float,
    ) -> Result[UpstreamHealth, FailureReason]:
        """Return the health that the replica reports, within `timeout` s."""

    def rest_seconds(self, shard_map: ShardMap, now: float) -> float:
        """Return when each shard has a replica that takes requests.

        The result is in seconds from now; 0 if no shard waits for that.
        """

    async def close(self) -> None:
        """Close the idle connections and end the background tasks."""

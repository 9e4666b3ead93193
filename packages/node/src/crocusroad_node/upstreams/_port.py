"""What the node asks of upstreams."""

from typing import Protocol

from returns.result import Result

from crocusroad_core.fronts import Replica
from crocusroad_core.gather import FailureReason
from crocusroad_wire import UpstreamAnswer, UpstreamHealth, UpstreamQuery

QueryResult = Result[UpstreamAnswer, FailureReason]


class Upstreams(Protocol):
    """The upstreams as the node reaches them."""

    async def query(
        self,
        replica: Replica,
        message: UpstreamQuery,
        timeout: float,
    ) -> QueryResult:
        """Run a sub-request within `timeout` seconds.

        Cancelling the call cancels the work on the replica.
        """

    async def health(
        self,
        replica: Replica,
        timeout: float,
    ) -> Result[UpstreamHealth, FailureReason]:
        """Return what the replica reports of itself."""

    async def close(self) -> None:
        """Close every connection."""

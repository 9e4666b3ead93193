"""A caller's request whose fan-out was delegated to another instance."""

from collections.abc import Callable
from typing import Final, NamedTuple, Protocol

from crocusroad_core.gather import FailureReason
from crocusroad_node.exchanges import Response
from crocusroad_node.gateway._reply import Reply, error_reply, forward_response

# The outcome of a request that the stop of this instance ended.
STOPPED: Final = 'stopped'


class FinishRequest(Protocol):
    """Sends the reply that ends a request."""

    def __call__(self, reply: Reply, outcome: str, coordinator: str) -> None:
        """Reply to the caller; log the outcome and the coordinator."""


class RequestCallbacks(NamedTuple):
    """The callbacks by which a delegated request continues or ends."""

    # Queries the replicas from this instance: (is_retry). Returns a function
    # that stops the query.
    query_locally: Callable[[bool], Callable[[], None]]
    finish: FinishRequest
    on_caller_left: Callable[[], None]


class DelegatedRequest:
    """Handles the result of a delegation; see `DelegationListener`."""

    def __init__(
        self, callbacks: RequestCallbacks, internal: frozenset[bytes]
    ) -> None:
        self.stop_delegation: Callable[[], None] | None = None
        self._callbacks = callbacks
        self._internal = internal
        self._stop_query: Callable[[], None] | None = None

    def stop(self) -> None:
        """Stop the local or delegated work, because the caller has left."""
        if self._stop_query is not None:
            self._stop_query()
        elif self.stop_delegation is not None:
            self.stop_delegation()
            self._callbacks.on_caller_left()

    def expire(self) -> None:
        """Reply to the caller, because this instance stops."""
        if self._stop_query is None and self.stop_delegation is not None:
            self.stop_delegation()
            reply = error_reply(504, 'the instance stops')
            self._callbacks.finish(reply, STOPPED, '')

    def on_reply(self, response: Response, coordinator: str) -> None:
        """Forward a coordinator's answer to the caller."""
        self._callbacks.finish(
            forward_response(response, self._internal), 'delegated', coordinator
        )

    def on_not_accepted(self, *, may_have_run: bool) -> None:
        """Query the replicas from this instance."""
        self._stop_query = self._callbacks.query_locally(may_have_run)

    def on_failure(self, reason: FailureReason, coordinator: str) -> None:
        """Reply to the caller with an error, without a retry.

        The coordinator may have queried as many replicas as are allowed.
        """
        reply = error_reply(502, 'the coordinating instance failed')
        if reason is FailureReason.silent:
            reply = error_reply(
                504, 'the coordinating instance did not answer in time'
            )
        self._callbacks.finish(
            reply, f'coordinator {reason.value}', coordinator
        )

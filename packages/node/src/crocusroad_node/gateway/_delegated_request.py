"""A caller's fan-out while another instance coordinates it."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from crocusroad_core.gather import FailureReason
from crocusroad_node.exchanges import Response
from crocusroad_node.gateway._reply import Reply, error_reply, pass_on


class End(Protocol):
    """Ends the request with an answer."""

    def __call__(self, reply: Reply, outcome: str, coordinator: str) -> None:
        """Answer the caller; the rest is for the log."""


class Ways(NamedTuple):
    """How a request goes on."""

    ask: Callable[[bool], Callable[[], None]]  # here; (is_repeat): what stops
    end: End
    left: Callable[[], None]  # the caller has left


class Given:
    """Follows a request that another instance was given; see `Told`."""

    def __init__(self, ways: Ways, internal: frozenset[bytes]) -> None:
        self.stop_there: Callable[[], None] | None = None
        self._ways = ways
        self._internal = internal
        self._stop_here: Callable[[], None] | None = None

    def stop(self) -> None:
        """Stop the work, wherever it is done: the caller has left."""
        if self._stop_here is not None:
            self._stop_here()
        elif self.stop_there is not None:
            self.stop_there()
            self._ways.left()

    def on_reply(self, response: Response, name: str) -> None:
        """Pass a coordinator's answer on."""
        self._ways.end(pass_on(response, self._internal), 'delegated', name)

    def on_kept(self, *, may_have_run: bool) -> None:
        """Ask the replicas from here."""
        self._stop_here = self._ways.ask(may_have_run)

    def on_lost(self, reason: FailureReason, name: str) -> None:
        """Tell the caller at once that there will be no answer.

        Replicas may have been asked already as often as is allowed.
        """
        reply = error_reply(502, 'the coordinating instance was lost')
        if reason is FailureReason.silent:
            reply = error_reply(504, 'not answered in time')
        self._ways.end(reply, f'coordinator {reason.value}', name)

"""Holding of requests that arrive while an instance starts.

Answers the load after all instances have lost power: callers that find no
instance come again, and reach one a moment before it knows the routes. Most
have no further retry, so a refusal is the end of their request.
"""

from collections.abc import Callable
from typing import Final

from crocusroad_node.gateway._connection import RequestHandler
from crocusroad_node.gateway._reply import SendReply, noop_stop
from crocusroad_node.gateway._request import CallerRequest

# An instance knows the routes about 0.1 s after it listens. One that does not
# within this time does not reach the store, and refuses its callers at once.
MAX_HOLD_SECONDS: Final = 0.25


class _HeldRequest:
    """A request that waits, and then the work on it."""

    def __init__(self, req: CallerRequest, send_reply: SendReply) -> None:
        self.req = req
        self._send_reply = send_reply
        self._stop_work: Callable[[], None] = noop_stop
        self.is_stopped = False

    def start(self, handle: RequestHandler) -> None:
        self._stop_work = handle(self.req, self._send_reply)

    def stop(self) -> None:
        self.is_stopped = True
        self._stop_work()


class StartHold:
    """Holds requests until `release`, and passes them to `handle_request`."""

    def __init__(self, handle_request: RequestHandler) -> None:
        self._handle_request = handle_request
        self._held: list[_HeldRequest] = []
        self._is_over = False

    @property
    def count(self) -> int:
        """Return how many requests are held."""
        return len(self.requests)

    @property
    def requests(self) -> list[CallerRequest]:
        """Return the requests that are held."""
        return [held.req for held in self._held if not held.is_stopped]

    def handle(
        self, req: CallerRequest, send_reply: SendReply
    ) -> Callable[[], None]:
        """Hold a request or start the work on it; return what stops it."""
        if self._is_over:
            return self._handle_request(req, send_reply)
        held = _HeldRequest(req, send_reply)
        self._held.append(held)
        return held.stop

    def release(self) -> None:
        """Start the work on the requests that are held, and hold no more."""
        self._is_over = True
        for held in self._held:
            if not held.is_stopped:
                held.start(self._handle_request)
        self._held = []

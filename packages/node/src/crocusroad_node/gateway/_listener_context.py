"""State that the connections of one listener share."""

from collections import Counter
from collections.abc import Callable

from crocusroad_core.routes import RequestLimits
from crocusroad_node.counters import (
    CONNECTIONS_CLOSED,
    CONNECTIONS_CLOSED_UNREAD,
)
from crocusroad_node.gateway._connection import CallerConnection, ConnectionEnd
from crocusroad_node.gateway._directory import Directory
from crocusroad_node.gateway._request import CallerRequest
from crocusroad_node.node_lifecycle import NodeLifecycle


def _is_never_notification(req: CallerRequest) -> bool:
    return False


def _ignore_dropped(req: CallerRequest, reason: str) -> None:
    """Log nothing: the callers are no clients."""


class ListenerContext:
    """State that the connections of one listener share.

    Requests with the `acknowledged_header` are acknowledged at once; an empty
    name means none. `handle_notification` returns whether a request is a
    notification, which gets no reply. `log_dropped` logs a request that had not
    begun when its connection was closed, with the reason. `closed` counts the
    closed connections by reason and state, `closed_unread` by reason those that
    this instance closed although bytes had arrived.
    """

    def __init__(
        self,
        name: str,
        directory: Directory,
        lifecycle: NodeLifecycle,
        acknowledged_header: bytes = b'',
        handle_notification: Callable[
            [CallerRequest], bool
        ] = _is_never_notification,
        log_dropped: Callable[[CallerRequest, str], None] = _ignore_dropped,
    ) -> None:
        self.name = name
        self.closed: Counter[str] = Counter()
        self.closed_unread: Counter[str] = Counter()
        self.connections: set[CallerConnection] = set()
        self.acknowledged_header = acknowledged_header
        self.handle_notification = handle_notification
        self._log_dropped = log_dropped
        self._directory = directory
        self._lifecycle = lifecycle

    @property
    def limits(self) -> RequestLimits:
        """Return the limits of the current configuration for requests."""
        table = self._directory.table
        return RequestLimits() if table is None else table.limits

    @property
    def is_draining(self) -> bool:
        """Tell whether connections close after their current reply."""
        return self._lifecycle.draining.is_set()

    def on_close(
        self, end: ConnectionEnd, dropped: tuple[CallerRequest, ...]
    ) -> None:
        """Count a closed connection and log its requests that had not begun."""
        reason, state = end.reason.value, end.state.value
        self.closed[f'{reason}, {state}'] += 1
        CONNECTIONS_CLOSED.labels(self.name, reason, state).inc()
        if end.unread_bytes:
            self.closed_unread[reason] += 1
            CONNECTIONS_CLOSED_UNREAD.labels(self.name, reason).inc()
        for req in dropped:
            self._log_dropped(req, reason)

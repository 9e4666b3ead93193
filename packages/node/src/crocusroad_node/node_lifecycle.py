"""The lifecycle of a node as a state machine."""

import asyncio
import logging
from time import monotonic

from transitions import Machine

from crocusroad_core.lifecycle import NODE_TRANSITIONS, NodeState
from crocusroad_node.logs import log_event

_logger = logging.getLogger(__name__)


class NodeLifecycle:
    """The state of a node, and events for its graceful and forced stop.

    `draining` is set by the first call of `drain`, `forced` by the second.
    """

    def __init__(self) -> None:
        self.draining = asyncio.Event()
        self.forced = asyncio.Event()
        self.drain_began_at: float = 0  # seconds of the monotonic clock
        self._machine = Machine(
            states=list(NodeState),
            transitions=[list(transition) for transition in NODE_TRANSITIONS],
            initial=NodeState.starting,
            after_state_change=self._log,
        )

    @property
    def state(self) -> str:
        """Return the name of the state."""
        return str(self._machine.state.value)

    @property
    def is_ready(self) -> bool:
        """Tell whether the balancer may send requests."""
        return self.state == NodeState.serving

    def serve(self) -> None:
        """Start to serve requests; a no-op in a later state."""
        if self.state == NodeState.starting:
            self._machine.serve()

    def drain(self) -> None:
        """Start the graceful stop; a second call forces the stop."""
        if self.draining.is_set():
            log_event(_logger, 'stop forced')
            self.forced.set()
            return
        self.drain_began_at = monotonic()
        self._machine.drain()
        self.draining.set()

    def finish(self) -> None:
        """Complete the graceful stop."""
        self._machine.finish()

    def _log(self) -> None:
        log_event(_logger, 'node state', state=self.state)

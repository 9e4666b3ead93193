"""The state machine of a node's life."""

import asyncio
import logging

from transitions import Machine

from crocusroad_core.lifecycle import NODE_TRANSITIONS, NodeState
from crocusroad_node.logs import log_event

_logger = logging.getLogger(__name__)


class NodeLifecycle:
    """Where a node is in its life."""

    def __init__(self) -> None:
        self.draining = asyncio.Event()
        self.forced = asyncio.Event()  # told twice to stop
        self._machine = Machine(
            states=list(NodeState),
            transitions=[list(one) for one in NODE_TRANSITIONS],
            initial=NodeState.starting,
            after_state_change=self._log,
        )

    @property
    def state(self) -> str:
        """Return the state by name."""
        return str(self._machine.state.value)

    @property
    def is_ready(self) -> bool:
        """Tell whether the balancer may send requests."""
        return self.state == NodeState.serving

    def serve(self) -> None:
        """Begin to serve; has no effect in a later state."""
        if self.state == NodeState.starting:
            self._machine.serve()

    def drain(self) -> None:
        """Begin the graceful stop; the second time, hurry it."""
        if self.draining.is_set():
            log_event(_logger, 'told again to stop')
            self.forced.set()
            return
        self._machine.drain()
        self.draining.set()

    def finish(self) -> None:
        """End the graceful stop."""
        self._machine.finish()

    def _log(self) -> None:
        log_event(_logger, 'node state', state=self.state)

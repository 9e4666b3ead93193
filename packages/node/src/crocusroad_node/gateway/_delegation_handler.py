"""Acceptance of fan-outs that other instances delegate to this one."""

from collections.abc import Callable
from time import monotonic
from typing import NamedTuple

from crocusroad_core.coordinators import Backlog
from crocusroad_node.counters import OFFERED_FAN_OUTS
from crocusroad_node.gateway._delegation_messages import (
    BUSY,
    CONFIRMED_HEADER,
    Delegation,
    not_accepted_reply,
    parse_delegation,
    restore_request,
)
from crocusroad_node.gateway._directory import Directory
from crocusroad_node.gateway._reply import (
    Reply,
    SendReply,
    error_reply,
    noop_stop,
)
from crocusroad_node.gateway._request import CallerRequest


class Coordination(NamedTuple):
    """The work on a fan-out that another instance delegated."""

    stop: Callable[[], None]
    confirm: Callable[[], None]  # called on the delegator's confirmation


StartCoordination = Callable[[CallerRequest, SendReply], Coordination]


class DelegationHandler:
    """Accepts delegated fan-outs that this instance can answer in time.

    It refuses those of another configuration version, and all of them while it
    is busy or not serving.
    """

    def __init__(
        self,
        directory: Directory,
        backlog: Backlog,
        is_serving: Callable[[], bool],
        coordinate: StartCoordination,
        id_header: bytes,
    ) -> None:
        self._directory = directory
        self._backlog = backlog
        self._is_serving = is_serving
        self._coordinate = coordinate
        self._id_header = id_header
        self._confirmations: dict[
            bytes, Callable[[], None]
        ] = {}  # by request ID

    def handle(
        self, req: CallerRequest, send_reply: SendReply
    ) -> Callable[[], None]:
        """Start the work on a fan-out, or refuse it with a reason."""
        delegation = parse_delegation(req)
        if delegation is None:
            send_reply(
                error_reply(
                    400,
                    'the delegation header must be a version and microseconds',
                )
            )
            return noop_stop
        reason = self._refusal_reason(delegation)
        OFFERED_FAN_OUTS.labels(reason or 'accepted').inc()
        if reason:
            send_reply(not_accepted_reply(reason))
            return noop_stop
        return self._start(restore_request(req, delegation), send_reply)

    def handle_notification(self, req: CallerRequest) -> bool:
        """Handle a confirmation; return whether the request is one.

        Confirmations are not answered. Before the confirmation, the delegating
        instance may still query a replica of each shard itself. A second
        replica queried by this instance could then exceed the limit.
        """
        request_id = req.header(CONFIRMED_HEADER)
        if request_id in self._confirmations:
            self._confirmations[request_id]()
        return bool(request_id)

    def _start(
        self, req: CallerRequest, send_reply: SendReply
    ) -> Callable[[], None]:
        request_id = req.header(self._id_header)
        is_finished = False

        def finish(reply: Reply) -> None:
            nonlocal is_finished
            is_finished = True
            self._confirmations.pop(request_id, None)
            send_reply(reply)

        coordination = self._coordinate(req, finish)
        if not is_finished:
            self._confirmations[request_id] = coordination.confirm

        def stop() -> None:
            self._confirmations.pop(request_id, None)
            coordination.stop()

        return stop

    def _refusal_reason(self, delegation: Delegation) -> str:
        if not self._is_serving():
            return 'not serving'
        table = self._directory.table
        # The delegating instance answers its other requests by its own version.
        # A caller must not see a return to an older version on either side.
        if table is None or table.version != delegation.version:
            return 'other version'
        if not self._backlog.has_capacity(monotonic()):
            return BUSY
        return ''

"""Fan-outs that other instances give to this one."""

from collections.abc import Callable
from time import monotonic
from typing import NamedTuple

from crocusroad_core.coordinators import Backlog
from crocusroad_node.counters import OFFERED_FAN_OUTS
from crocusroad_node.gateway._delegation_messages import (
    BUSY,
    CONFIRMED_HEADER,
    Delegated,
    decode_delegated,
    not_accepted,
    undelegated,
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
    """A fan-out that is worked on for another instance."""

    stop: Callable[[], None]
    confirm: Callable[[], None]  # the giver relies on this instance


Coordinate = Callable[[CallerRequest, SendReply], Coordination]


class DelegationHandler:
    """Accepts the fan-outs that this instance can answer alike and soon."""

    def __init__(
        self,
        directory: Directory,
        backlog: Backlog,
        is_serving: Callable[[], bool],
        coordinate: Coordinate,
        id_header: bytes,
    ) -> None:
        self._directory = directory
        self._backlog = backlog
        self._is_serving = is_serving
        self._coordinate = coordinate
        self._id_header = id_header
        self._open: dict[bytes, Callable[[], None]] = {}  # by request id

    def handle(
        self, req: CallerRequest, answer: SendReply
    ) -> Callable[[], None]:
        """Begin a fan-out, or say why the giver has to do it."""
        told = decode_delegated(req)
        if told is None:
            answer(error_reply(400, 'wanted: version and microseconds'))
            return noop_stop
        why = self._objection(told)
        OFFERED_FAN_OUTS.labels(why or 'accepted').inc()
        if why:
            answer(not_accepted(why))
            return noop_stop
        return self._start(undelegated(req, told), answer)

    def handle_notification(self, req: CallerRequest) -> bool:
        """Take a confirmation, which is not answered; tell whether it is one.

        Until it comes the giver may still ask replicas itself, so that a
        second replica of a shard would be one too many.
        """
        request_id = req.header(CONFIRMED_HEADER)
        if request_id in self._open:
            self._open[request_id]()
        return bool(request_id)

    def _start(
        self, req: CallerRequest, answer: SendReply
    ) -> Callable[[], None]:
        request_id = req.header(self._id_header)
        is_over = False

        def end(reply: Reply) -> None:
            nonlocal is_over
            is_over = True
            self._open.pop(request_id, None)
            answer(reply)

        work = self._coordinate(req, end)
        if not is_over:
            self._open[request_id] = work.confirm

        def stop() -> None:
            self._open.pop(request_id, None)
            work.stop()

        return stop

    def _objection(self, told: Delegated) -> str:
        if not self._is_serving():
            return 'not serving'
        table = self._directory.table
        # The giver's own requests go by its version: neither may be seen to
        # go back to an older one.
        if table is None or table.version != told.version:
            return 'other version'
        if not self._backlog.has_capacity(monotonic()):
            return BUSY
        return ''

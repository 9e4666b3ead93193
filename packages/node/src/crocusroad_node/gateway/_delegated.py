"""Fan-outs that other instances give to this one."""

from collections.abc import Callable
from time import monotonic

from crocusroad_core.coordinators import Backlog
from crocusroad_node.counters import ACCEPTED
from crocusroad_node.gateway._delegated_head import (
    Delegated,
    decode_delegated,
    not_accepted,
    undelegated,
)
from crocusroad_node.gateway._directory import Directory
from crocusroad_node.gateway._reply import Answer, nothing_to_stop, refuse
from crocusroad_node.gateway._request import CallerRequest

Begin = Callable[[CallerRequest, Answer], Callable[[], None]]


class DelegatedDesk:
    """Accepts the fan-outs that this instance can answer alike and soon."""

    def __init__(
        self,
        directory: Directory,
        backlog: Backlog,
        is_serving: Callable[[], bool],
        begin: Begin,
    ) -> None:
        self._directory = directory
        self._backlog = backlog
        self._is_serving = is_serving
        self._begin = begin

    def begin(self, req: CallerRequest, answer: Answer) -> Callable[[], None]:
        """Begin a fan-out, or say why the giver has to do it."""
        told = decode_delegated(req)
        if told is None:
            answer(refuse(400, 'wanted: version and microseconds'))
            return nothing_to_stop
        why = self._objection(told)
        ACCEPTED.labels(why or 'accepted').inc()
        if why:
            answer(not_accepted(why))
            return nothing_to_stop
        return self._begin(undelegated(req, told), answer)

    def _objection(self, told: Delegated) -> str:
        if not self._is_serving():
            return 'not serving'
        table = self._directory.table
        # The giver's own requests go by its version: neither may be seen to
        # go back to an older one.
        if table is None or table.version != told.version:
            return 'other version'
        if not self._backlog.is_short(monotonic()):
            return 'busy'
        return ''

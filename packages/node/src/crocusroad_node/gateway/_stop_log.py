"""The log events of a graceful stop: how it begins, and what it leaves."""

import logging
from collections import Counter
from collections.abc import Callable
from typing import Final, TypedDict

from prometheus_client import Counter as Metric

from crocusroad_node.counters import REPEAT_DECISIONS, REPEATS
from crocusroad_node.gateway._drain import DrainTimes
from crocusroad_node.gateway._gateway import IdsByState
from crocusroad_node.gateway._listener_context import ListenerContext
from crocusroad_node.logs import log_event

_logger = logging.getLogger(__name__)

MAX_IDS: Final = 12  # of the requests in one state


class StopLog:
    """Logs the begin and the end of a stop.

    `unanswered` returns the IDs of the requests in progress, by state.
    """

    def __init__(
        self,
        context: ListenerContext,
        unanswered: Callable[[], IdsByState],
        times: DrainTimes,
        now: float,
    ) -> None:
        self._context = context
        self._unanswered = unanswered
        self._times = times
        self._began_at = now
        self._closed_before = Counter(context.closed)
        self._closed_unread_before = Counter(context.closed_unread)

    def begin(self) -> None:
        """Log what the stop waits for, and when its steps are due."""
        times = self._times._asdict().items()
        log_event(
            _logger,
            'drain',
            connections=self._connection_states(),
            **_request_fields(self._unanswered()),
            **{name: round(at - self._began_at, 3) for name, at in times},
        )

    def end(self, now: float) -> None:
        """Log what is left, and how late that is against the plan."""
        requests = _request_fields(self._unanswered())
        connections = self._context.connections
        log_event(
            _logger,
            'stop',
            unanswered=sum(requests['requests'].values()),
            **requests,
            connections=self._connection_states(),
            closed=dict(self._context.closed - self._closed_before),
            closed_unread=dict(
                self._context.closed_unread - self._closed_unread_before
            ),
            unwritten_bytes=sum(conn.unwritten_bytes for conn in connections),
            took=round(now - self._began_at, 3),
            late=round(now - self._times.end_at, 3),
        )
        log_event(
            _logger,
            'repeats',
            sent=_totals(REPEATS),
            decisions=_totals(REPEAT_DECISIONS),
        )

    def _connection_states(self) -> dict[str, int]:
        connections = self._context.connections
        return dict(Counter(conn.state.value for conn in connections))


class _RequestFields(TypedDict):
    requests: dict[str, int]  # by state
    ids: IdsByState  # of some of them


def _request_fields(ids: IdsByState) -> _RequestFields:
    return {
        'requests': {state: len(names) for state, names in ids.items()},
        'ids': {state: names[:MAX_IDS] for state, names in ids.items()},
    }


def _totals(metric: Metric) -> dict[str, int]:
    """Return the values of a counter by its labels, separated by blanks."""
    samples = [
        sample
        for family in metric.collect()
        for sample in family.samples
        if sample.name.endswith('_total')
    ]
    return {
        ' '.join(sample.labels.values()): int(sample.value)
        for sample in samples
    }

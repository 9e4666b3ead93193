"""Admission control around the work of a request."""

import asyncio
from collections.abc import Awaitable, Callable

from returns.result import Failure, Result, Success

from crocusroad_core.admission import AdmissionController
from crocusroad_core.fronts import Caller, Front, RequestKind
from crocusroad_core.refusals import Refusal
from crocusroad_node.counters import REQUESTS_ADMITTED, REQUESTS_LIMIT
from crocusroad_wire import Answer, ProblemKind

LAG_PERIOD_SECONDS = 0.1

AnswerResult = Result[Answer, Refusal]


async def run_admitted(
    controller: AdmissionController,
    target: tuple[Front, Caller, RequestKind],
    seconds_left: float,
    work: Callable[[], Awaitable[AnswerResult]],
) -> AnswerResult:
    """Run work if the request is admitted, and always release its ticket.

    Args:
        controller: The admission controller of this instance.
        target: Front, caller and kind of the request.
        seconds_left: Seconds until the deadline of the request.
        work: Called only if the request is admitted.
    """
    clock = asyncio.get_running_loop().time
    admitted = controller.admit(*target, seconds_left, clock())
    if not isinstance(admitted, Success):
        return Failure(admitted.failure())
    ticket = admitted.unwrap()
    _update_gauges(controller)
    is_sample = False
    try:
        outcome = await work()
        is_sample = _is_latency_sample(outcome)
    finally:
        controller.release(ticket, clock(), is_sample=is_sample)
        _update_gauges(controller)
    return outcome


async def monitor_loop_lag(controller: AdmissionController) -> None:
    """Report the lag of the event loop to the controller until cancelled."""
    clock = asyncio.get_running_loop().time
    while True:
        due = clock() + LAG_PERIOD_SECONDS
        await asyncio.sleep(LAG_PERIOD_SECONDS)
        controller.on_lag(clock() - due, clock())


def _is_latency_sample(outcome: AnswerResult) -> bool:
    if isinstance(outcome, Success):
        return True
    return outcome.failure().kind is ProblemKind.deadline_exceeded


def _update_gauges(controller: AdmissionController) -> None:
    REQUESTS_ADMITTED.set(controller.in_flight)
    REQUESTS_LIMIT.set(controller.limit)

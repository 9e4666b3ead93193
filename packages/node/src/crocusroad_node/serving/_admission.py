"""Admission as the node applies it, ticket in and ticket back."""

import asyncio
from collections.abc import Awaitable, Callable

from returns.result import Failure, Result, Success

from crocusroad_core.admission import AdmissionController
from crocusroad_core.fronts import Caller, Front, RequestKind
from crocusroad_core.refusals import Refusal
from crocusroad_node.counters import REQUESTS_ADMITTED, REQUESTS_LIMIT
from crocusroad_wire import Answer, ProblemKind

LAG_PERIOD_SECONDS = 0.1

Outcome = Result[Answer, Refusal]


async def run_admitted(
    controller: AdmissionController,
    applicant: tuple[Front, Caller, RequestKind],
    left: float,
    work: Callable[[], Awaitable[Outcome]],
) -> Outcome:
    """Run work that the door lets in; the ticket is given back in any case.

    Args:
        controller: The admission controller of this instance.
        applicant: Front, caller and kind of the request.
        left: Seconds until the deadline of the request.
        work: Started only if the request is let in.
    """
    clock = asyncio.get_running_loop().time
    admitted = controller.admit(*applicant, left, clock())
    if not isinstance(admitted, Success):
        return Failure(admitted.failure())
    ticket = admitted.unwrap()
    _show(controller)
    is_sample = False
    try:
        outcome = await work()
        is_sample = _tells_load(outcome)
    finally:
        controller.release(ticket, clock(), is_sample=is_sample)
        _show(controller)
    return outcome


async def monitor_loop_lag(controller: AdmissionController) -> None:
    """Tell the door how late the event loop runs, for ever."""
    clock = asyncio.get_running_loop().time
    while True:
        due = clock() + LAG_PERIOD_SECONDS
        await asyncio.sleep(LAG_PERIOD_SECONDS)
        controller.on_lag(clock() - due, clock())


def _tells_load(outcome: Outcome) -> bool:
    if isinstance(outcome, Success):
        return True
    return outcome.failure().kind is ProblemKind.deadline_exceeded


def _show(controller: AdmissionController) -> None:
    REQUESTS_ADMITTED.set(controller.in_flight)
    REQUESTS_LIMIT.set(controller.limit)

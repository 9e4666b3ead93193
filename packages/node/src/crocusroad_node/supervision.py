"""Supervision of the jobs that run for as long as the process."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Final

from crocusroad_node.counters import JOB_FAILURES
from crocusroad_node.logs import log_exception

# Runs until it is cancelled or has nothing left to do.
Job = Callable[[], Awaitable[None]]

_logger = logging.getLogger(__name__)

# Bounds of the exponential backoff before a job is started again, in seconds.
MIN_BACKOFF_SECONDS: Final = 0.1
MAX_BACKOFF_SECONDS: Final = 5.0


async def supervise(name: str, run: Job) -> None:
    """Run a job until it returns, and start it again whenever it fails.

    Each failure is logged and counted under the job's name. What the job knows
    has to outlive its run.
    """
    clock = asyncio.get_running_loop().time
    backoff = MIN_BACKOFF_SECONDS
    while True:
        started_at = clock()
        try:
            await run()
        except Exception:
            JOB_FAILURES.labels(name).inc()
            log_exception(_logger, 'job failed', job=name)
        else:
            return
        if clock() - started_at > MAX_BACKOFF_SECONDS:
            backoff = MIN_BACKOFF_SECONDS
        await asyncio.sleep(backoff)
        backoff = min(MAX_BACKOFF_SECONDS, 2 * backoff)

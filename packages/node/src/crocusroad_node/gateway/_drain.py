"""Draining of connections when a gateway stops."""

import asyncio
from collections.abc import Awaitable, Callable
from time import monotonic
from typing import Final, NamedTuple

from crocusroad_node.gateway._connection import ConnectionContext
from crocusroad_node.gateway._late_timers import READ_GRACE_SECONDS
from crocusroad_node.gateway._waiting_connections import (
    count_waiting_connections,
)

# The balancer probes once a second and takes an instance out after two failed
# probes. Connections that it opens until then are served.
BALANCER_SECONDS: Final = 2.3
# Part of the grace period that is reserved for the last answers and the exit.
EXIT_SECONDS: Final = 0.6
# Part of it that is left for the exit if answers are late.
LATE_EXIT_SECONDS: Final = 0.2
# For the last answers to be written.
WRITE_SECONDS: Final = 0.1
POLL_SECONDS: Final = 0.05
# For the connections that wait to be accepted.
ACCEPT_SECONDS: Final = 0.05


class DrainTimes(NamedTuple):
    """The steps of a graceful stop, in seconds of the monotonic clock."""

    close_idle_at: float  # from which idle connections are closed
    answers_until: float  # by which every request has to be answered
    end_at: float
    exit_by: float  # until which late answers are waited for

    def is_over(
        self, now: float, *, is_answering: bool, has_connections: bool
    ) -> bool:
        """Tell whether the process may end."""
        if is_answering:
            return now >= self.exit_by
        return now >= self.end_at or not has_connections


def plan_drain(now: float, grace: float) -> DrainTimes:
    """Return the times of a stop that begins now and has `grace` seconds."""
    end_at = now + max(0, grace - EXIT_SECONDS)
    return DrainTimes(
        now + min(BALANCER_SECONDS, grace / 2),
        max(now, end_at - WRITE_SECONDS),
        end_at,
        max(end_at, now + grace - LATE_EXIT_SECONDS),
    )


async def drain_connections(
    context: ConnectionContext,
    in_flight: Callable[[], int],
    times: DrainTimes,
    stop_accepting: Callable[[], Awaitable[None]],
) -> None:
    """Close idle connections until all are closed and no request is left.

    Returns at the end of the times. If the process was held up, so that
    requests are still unanswered then, it waits for them as long as it may.
    Connections that are accepted until `stop_accepting` has returned are
    drained too.
    """
    is_accepting = True
    await asyncio.sleep(times.close_idle_at - monotonic())
    while True:
        # Requests that arrived while the process was stopped are read first.
        await asyncio.sleep(READ_GRACE_SECONDS)
        for connection in tuple(context.connections):
            connection.close_if_idle()
        is_answering = in_flight() > 0 or _has_unanswered(context)
        is_over = times.is_over(
            monotonic(),
            is_answering=is_answering,
            has_connections=bool(context.connections),
        )
        if not is_over:
            await asyncio.sleep(POLL_SECONDS)
        elif is_accepting:
            await stop_accepting()
            is_accepting = False
        else:
            break


async def close_listener(
    server: asyncio.Server, seconds: float = ACCEPT_SECONDS
) -> None:
    """Accept the connections that wait, for some seconds, and close a server.

    A close resets connections that wait to be accepted.
    """
    until = monotonic() + seconds
    while (  # noqa: ASYNC110
        _waiting_connections(server) and monotonic() < until
    ):
        # The event loop accepts one connection a turn.
        await asyncio.sleep(0)
    server.close()


def _waiting_connections(server: asyncio.Server) -> int:
    return sum(count_waiting_connections(sock) for sock in server.sockets)


def _has_unanswered(context: ConnectionContext) -> bool:
    return any(conn.is_answering for conn in context.connections)

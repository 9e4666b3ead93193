"""Execution of claims and outcome records against the KV."""

import asyncio
import time
from collections.abc import Awaitable

from returns.result import Success

from crocusroad_core.claims import (
    LEASE_TTL_SECONDS,
    Claim,
    ClaimCommand,
    ClaimDone,
    ClaimRecord,
    Lease,
    OutcomeRecorder,
    ReadClaim,
    RenewLease,
    SwapClaim,
)
from crocusroad_core.kv import CallFault, CallResult
from crocusroad_node.counters import CLAIM_RECORDS, CLAIMS
from crocusroad_node.platform import KeyValue, read_key, swap_key

RECORD_TIMEOUT_SECONDS = 60.0  # of all attempts to write a record
RECORD_RETRY_DELAY_SECONDS = 0.5


def claim_key(front: str, caller: str, key: str) -> str:
    """Return the key of the KV that stores a claim."""
    return f'claims/{front}/{caller}/{key}'


class ClaimStore:
    """Claims actions for this node and records their outcomes.

    All claims and records of this node use the same lease.
    """

    def __init__(self, kv: KeyValue) -> None:
        self._kv = kv
        self._lease = Lease()
        self._lease_lock = asyncio.Lock()

    async def claim(
        self,
        key: str,
        record: ClaimRecord,
        deadline: float,
    ) -> ClaimDone:
        """Try to claim an action until the deadline, in event loop time."""
        clock = asyncio.get_running_loop().time
        attempt = Claim(record, deadline)
        command = attempt.begin()
        while not isinstance(command, ClaimDone):
            event = await _call_until(deadline, self._call(key, command))
            command = attempt.on_event(event, clock(), time.time())
        CLAIMS.labels(command.outcome.value).inc()
        return command

    async def record(self, key: str, text: str, revision: int) -> None:
        """Replace the claim of an action with its outcome."""
        clock = asyncio.get_running_loop().time
        recorder = OutcomeRecorder(
            text, revision, clock() + RECORD_TIMEOUT_SECONDS
        )
        command: SwapClaim | None = recorder.begin()
        while command is not None:
            event = await self._swap(key, command)
            command = recorder.on_event(event, clock())
            if command is not None:
                await asyncio.sleep(RECORD_RETRY_DELAY_SECONDS)
        CLAIM_RECORDS.labels(_metric_label(event)).inc()

    async def _call(self, key: str, command: ClaimCommand) -> CallResult:
        if isinstance(command, RenewLease):
            return await self._swap(key, command.swap)
        if isinstance(command, SwapClaim):
            return await self._swap(key, command)
        if isinstance(command, ReadClaim) and command.delay:
            await asyncio.sleep(command.delay)
        return await read_key(self._kv, key)

    async def _swap(self, key: str, swap: SwapClaim) -> CallResult:
        lease = await self._current_lease()
        if not lease:
            return CallFault.refused
        value, expected = swap
        event = await swap_key(self._kv, key, value, expected, lease)
        if event is CallFault.lease_gone:
            self._lease.discard(lease)
        return event

    async def _current_lease(self) -> str:
        clock = asyncio.get_running_loop().time
        async with self._lease_lock:
            lease = self._lease.current(clock())
            if lease:
                return lease
            requested_at = clock()
            granted = await self._kv.grant(LEASE_TTL_SECONDS)
            if isinstance(granted, Success):
                self._lease.renew(granted.unwrap(), requested_at)
            return self._lease.current(clock())


async def _call_until(
    deadline: float, call: Awaitable[CallResult]
) -> CallResult:
    try:
        async with asyncio.timeout_at(deadline):
            return await call
    except TimeoutError:
        return CallFault.lost


def _metric_label(event: CallResult) -> str:
    return event.value if isinstance(event, CallFault) else 'recorded'

"""Fronts in the KV, as the operators' interface writes and reads them."""

import asyncio
import uuid
from typing import Final

from returns.result import Failure, Result, Success

from crocusroad_core.configs import (
    FrontWrite,
    ReadKey,
    SwapKey,
    WriteCommand,
    WriteDone,
    WriteOutcome,
    decode_stored_front,
)
from crocusroad_core.kv import CallResult
from crocusroad_core.refusals import Refusal, refuse
from crocusroad_node.configs._keys import FRONTS_PREFIX, front_key, front_name
from crocusroad_node.counters import CONFIG_WRITES
from crocusroad_node.platform import (
    Batch,
    Entry,
    KeyValue,
    StoreFault,
    read_key,
    swap_key,
)
from crocusroad_wire import DecodeError, FrontResource, FrontSpec, ProblemKind

WRITE_SECONDS = 8.0  # until a write that is not resolved is given up
RETRY_SECONDS = 2.0
MOST_BYTES = 900_000  # of a spec; the KV holds values up to a megabyte

_PROBLEMS: Final = {
    WriteOutcome.conflict: ProblemKind.conflict,
    WriteOutcome.absent: ProblemKind.unknown_front,
    WriteOutcome.unavailable: ProblemKind.store_unavailable,
    WriteOutcome.unknown: ProblemKind.write_unknown,
    WriteOutcome.foreign: ProblemKind.store_unavailable,
}
_DETAILS: Final = {
    WriteOutcome.conflict: 'another revision stands',
    WriteOutcome.absent: 'there is no such front',
    WriteOutcome.unavailable: 'the KV did not take the write',
    WriteOutcome.unknown: 'the KV lost its replies; the write may hold',
    WriteOutcome.foreign: 'the key holds a value of another program',
}


class FrontStore:
    """The fronts that operators declared."""

    def __init__(self, kv: KeyValue) -> None:
        self._kv = kv

    async def apply(
        self,
        name: str,
        spec: FrontSpec,
        expected: int,
    ) -> Result[int, Refusal]:
        """Write a spec over the revision `expected`; 0: create it.

        Returns the revision once the write is known to have taken effect.
        """
        return await self._write(name, spec, expected)

    async def delete(self, name: str, expected: int) -> Result[int, Refusal]:
        """Delete a front at the revision `expected`."""
        return await self._write(name, None, expected)

    async def read(self, name: str) -> Result[FrontResource | None, StoreFault]:
        """Return a front, or None if there is none."""
        entry = await self._kv.read(front_key(name))
        return entry.map(lambda one: None if one is None else resource(one))

    async def list(self) -> Result[list[FrontResource], StoreFault]:
        """Return every front."""
        batch = await self._kv.list(FRONTS_PREFIX)
        return batch.map(_resources)

    async def _write(
        self,
        name: str,
        spec: FrontSpec | None,
        expected: int,
    ) -> Result[int, Refusal]:
        now = asyncio.get_running_loop().time()
        write = FrontWrite(
            spec, expected, uuid.uuid4().hex, now + WRITE_SECONDS
        )
        done = await self._run(front_key(name), write)
        CONFIG_WRITES.labels(done.outcome.value).inc()
        if done.outcome is WriteOutcome.accepted:
            return Success(done.revision)
        return Failure(_refusal(name, done))

    async def _run(self, key: str, write: FrontWrite) -> WriteDone:
        clock = asyncio.get_running_loop().time
        command = write.begin()
        while not isinstance(command, WriteDone):
            event = await self._call(key, command)
            command = write.on_event(event, clock())
        return command

    async def _call(self, key: str, command: WriteCommand) -> CallResult:
        if isinstance(command, SwapKey):
            value, expected = command
            return await swap_key(self._kv, key, value, expected)
        if isinstance(command, ReadKey) and command.delay:
            await asyncio.sleep(command.delay)
        return await read_key(self._kv, key)


def resource(entry: Entry) -> FrontResource | None:
    """Return the front that an entry of the KV holds; None: it is deleted."""
    try:
        spec = decode_stored_front(entry.value or '')['spec']
    except DecodeError:
        return None
    if spec is None:
        return None
    return FrontResource(
        name=front_name(entry.key),
        revision=entry.revision,
        spec=spec,
    )


def _resources(batch: Batch) -> list[FrontResource]:
    fronts = map(resource, batch.entries)
    return [front for front in fronts if front is not None]


def _refusal(name: str, done: WriteDone) -> Refusal:
    detail = f'front {name!r}: {_DETAILS[done.outcome]}'
    is_unknown = done.outcome is WriteOutcome.unknown
    refusal = refuse(
        _PROBLEMS[done.outcome],
        detail,
        may_have_run=is_unknown,
        retry_after=RETRY_SECONDS if _is_passing(done.outcome) else None,
    )
    return refusal._replace(revision=done.revision or None)


def _is_passing(outcome: WriteOutcome) -> bool:
    return outcome in {WriteOutcome.unavailable, WriteOutcome.unknown}

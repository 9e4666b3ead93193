"""Reading and writing of fronts in the KV for the operator API."""

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

WRITE_TIMEOUT_SECONDS = 8.0
RETRY_AFTER_SECONDS = 2.0  # advised to the operator
MAX_SPEC_BYTES = 900_000  # the KV stores values of up to a megabyte

_PROBLEM_KINDS: Final = {
    WriteOutcome.conflict: ProblemKind.conflict,
    WriteOutcome.absent: ProblemKind.unknown_front,
    WriteOutcome.unavailable: ProblemKind.store_unavailable,
    WriteOutcome.unknown: ProblemKind.write_unknown,
    WriteOutcome.foreign: ProblemKind.store_unavailable,
}
_DETAILS: Final = {
    WriteOutcome.conflict: 'it has a different revision',
    WriteOutcome.absent: 'it does not exist',
    WriteOutcome.unavailable: 'the KV is unavailable; nothing was written',
    WriteOutcome.unknown: 'no reply from the KV; the write may be in effect',
    WriteOutcome.foreign: 'the key stores a value of another program',
}


class FrontStore:
    """The fronts that are stored in the KV."""

    def __init__(self, kv: KeyValue) -> None:
        self._kv = kv

    async def apply(
        self,
        name: str,
        spec: FrontSpec,
        expected: int,
    ) -> Result[int, Refusal]:
        """Replace the revision `expected` of a front; 0 creates the front.

        Returns the new revision once the write is known to have taken effect.
        """
        return await self._write(name, spec, expected)

    async def delete(self, name: str, expected: int) -> Result[int, Refusal]:
        """Delete a front if its revision is `expected`."""
        return await self._write(name, None, expected)

    async def read(self, name: str) -> Result[FrontResource | None, StoreFault]:
        """Return a front, or None if it does not exist."""
        entry = await self._kv.read(front_key(name))
        return entry.map(
            lambda found: None if found is None else front_resource(found)
        )

    async def list(self) -> Result[list[FrontResource], StoreFault]:
        """Return every front."""
        batch = await self._kv.list(FRONTS_PREFIX)
        return batch.map(_front_resources)

    async def _write(
        self,
        name: str,
        spec: FrontSpec | None,
        expected: int,
    ) -> Result[int, Refusal]:
        now = asyncio.get_running_loop().time()
        write = FrontWrite(
            spec, expected, uuid.uuid4().hex, now + WRITE_TIMEOUT_SECONDS
        )
        done = await self._execute(front_key(name), write)
        CONFIG_WRITES.labels(done.outcome.value).inc()
        if done.outcome is WriteOutcome.accepted:
            return Success(done.revision)
        return Failure(_refusal(name, done))

    async def _execute(self, key: str, write: FrontWrite) -> WriteDone:
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


def front_resource(entry: Entry) -> FrontResource | None:
    """Return the front in an entry; None if it is deleted or not decodable."""
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


def _front_resources(batch: Batch) -> list[FrontResource]:
    fronts = map(front_resource, batch.entries)
    return [front for front in fronts if front is not None]


def _refusal(name: str, done: WriteDone) -> Refusal:
    detail = f'front {name!r}: {_DETAILS[done.outcome]}'
    is_unknown = done.outcome is WriteOutcome.unknown
    refusal = refuse(
        _PROBLEM_KINDS[done.outcome],
        detail,
        may_have_run=is_unknown,
        retry_after=RETRY_AFTER_SECONDS
        if _is_transient(done.outcome)
        else None,
    )
    return refusal._replace(revision=done.revision or None)


def _is_transient(outcome: WriteOutcome) -> bool:
    return outcome in {WriteOutcome.unavailable, WriteOutcome.unknown}

"""Fronts in the KV, as the operators' interface writes and reads them."""

from returns.result import Result

from crocusroad_node.configs._keys import FRONTS_PREFIX, front_key, front_name
from crocusroad_node.platform import Entry, KeyValue, StoreFault
from crocusroad_wire import (
    FrontResource,
    FrontSpec,
    decode_json,
    encode_json_text,
)


class FrontStore:
    """The fronts that operators declared."""

    def __init__(self, kv: KeyValue) -> None:
        self._kv = kv

    async def apply(
        self,
        name: str,
        spec: FrontSpec,
        expected: int,
    ) -> Result[int, StoreFault]:
        """Write a spec over the revision `expected`; 0: create it."""
        return await self._kv.swap(
            front_key(name),
            encode_json_text(spec),
            expected,
        )

    async def delete(self, name: str, expected: int) -> Result[int, StoreFault]:
        """Delete a front at the revision `expected`."""
        return await self._kv.swap(front_key(name), None, expected)

    async def read(self, name: str) -> Result[FrontResource | None, StoreFault]:
        """Return a front, or None if there is none."""
        entry = await self._kv.read(front_key(name))
        return entry.map(lambda one: None if one is None else resource(one))

    async def list(self) -> Result[list[FrontResource], StoreFault]:
        """Return every front."""
        batch = await self._kv.list(FRONTS_PREFIX)
        return batch.map(lambda one: [resource(each) for each in one.entries])


def resource(entry: Entry) -> FrontResource:
    """Return the front that an entry of the KV holds."""
    return FrontResource(
        name=front_name(entry.key),
        revision=entry.revision,
        spec=decode_json(FrontSpec, (entry.value or '').encode()),
    )

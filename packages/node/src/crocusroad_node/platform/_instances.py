"""The platform's list of live and leaving instances."""

from typing import NamedTuple, Protocol, TypedDict

from aiosonic import HTTPClient, TCPConnector
from aiosonic.timeout import Timeouts
from returns.result import Failure, Result, Success

from crocusroad_node.exchange_errors import EXCHANGE_ERRORS
from crocusroad_node.kv import StoreFault
from crocusroad_wire import decode_json
from crocusroad_wire.bounded_connection import BoundedConnection

CALL_TIMEOUT_SECONDS = 2.0


class Instance(NamedTuple):
    """An instance in the platform's list, which may be out of date."""

    name: str
    role: str  # 'node' or 'upstream'
    address: str  # host:port; for a node, the address for its peers
    zone: str
    is_leaving: bool


class InstanceList(Protocol):
    """The platform's list of instances."""

    async def read(self) -> Result[list[Instance], StoreFault]:
        """Return the instances that are currently listed."""


class _InstanceEntry(TypedDict):
    name: str
    role: str
    address: str
    zone: str
    leaving: bool


class HttpInstanceList:
    """The platform's list of instances, read over HTTP."""

    def __init__(self, url: str) -> None:
        self._url = url
        self._client = _build_client()

    async def read(self) -> Result[list[Instance], StoreFault]:
        """Return the instances that are currently listed."""
        try:
            entries = await self._fetch()
        except EXCHANGE_ERRORS:
            self._client = _build_client()
            return Failure(StoreFault.unavailable)
        return Success([_instance(entry) for entry in entries])

    async def _fetch(self) -> list[_InstanceEntry]:
        response = await self._client.get(
            f'{self._url}/instances',
            timeouts=Timeouts(
                CALL_TIMEOUT_SECONDS,
                CALL_TIMEOUT_SECONDS,
                None,
                CALL_TIMEOUT_SECONDS,
            ),
        )
        return decode_json(list[_InstanceEntry], await response.content())


def _build_client() -> HTTPClient:
    return HTTPClient(TCPConnector(connection_cls=BoundedConnection))


def _instance(entry: _InstanceEntry) -> Instance:
    return Instance(
        name=entry['name'],
        role=entry['role'],
        address=entry['address'],
        zone=entry['zone'],
        is_leaving=entry['leaving'],
    )

"""The platform's list of live and leaving instances."""

from typing import NamedTuple, Protocol, TypedDict

from aiosonic import HTTPClient, TCPConnector
from aiosonic.timeout import Timeouts
from returns.result import Failure, Result, Success

from crocusroad_node.exchange_errors import EXCHANGE_ERRORS
from crocusroad_node.kv import StoreFault
from crocusroad_wire import decode_json

CALL_SECONDS = 2.0


class Instance(NamedTuple):
    """One instance as the platform lists it; the list lags."""

    name: str
    role: str  # 'node' or 'upstream'
    address: str  # host:port; of a node: where its peers reach it
    zone: str
    is_leaving: bool


class InstanceList(Protocol):
    """The platform's list of instances."""

    async def read(self) -> Result[list[Instance], StoreFault]:
        """Return the instances listed now."""


class _Listed(TypedDict):
    name: str
    role: str
    address: str
    zone: str
    leaving: bool


class HttpInstanceList:
    """The list of instances behind a URL."""

    def __init__(self, url: str) -> None:
        self._url = url
        self._client = HTTPClient(TCPConnector())

    async def read(self) -> Result[list[Instance], StoreFault]:
        """Return the instances listed now."""
        try:
            listed = await self._fetch()
        except EXCHANGE_ERRORS:
            self._client = HTTPClient(TCPConnector())
            return Failure(StoreFault.unavailable)
        return Success([_instance(one) for one in listed])

    async def _fetch(self) -> list[_Listed]:
        response = await self._client.get(
            f'{self._url}/instances',
            timeouts=Timeouts(CALL_SECONDS, CALL_SECONDS, None, CALL_SECONDS),
        )
        return decode_json(list[_Listed], await response.content())


def _instance(listed: _Listed) -> Instance:
    return Instance(
        name=listed['name'],
        role=listed['role'],
        address=listed['address'],
        zone=listed['zone'],
        is_leaving=listed['leaving'],
    )

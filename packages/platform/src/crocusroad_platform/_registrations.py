"""The entries by which replicas register themselves in the store."""

from typing import Final, Literal

import msgspec
from returns.result import Failure, Result, Success

from crocusroad_core.discovery import Registration
from crocusroad_platform._node_settings import parse_address

REPLICAS_PREFIX: Final = 'servers/'
DRAINING: Final = 'draining'
MS_PER_SECOND: Final = 1000


class _Entry(msgspec.Struct):
    service: str = msgspec.field(name='Service')
    address: str = msgspec.field(name='Address')
    zone: str = msgspec.field(name='Zone')
    slots: int = msgspec.field(name='Slots')
    state: Literal['ready', 'draining'] = msgspec.field(name='State')
    # Counts down from the start; a replica is slow until it is 0.
    warmup_ms: float = msgspec.field(name='WarmupLeftMs', default=0)
    born: int = 0  # Unix milliseconds of the start


_decoder = msgspec.json.Decoder(_Entry)


def decode_registration(key: str, text: str) -> Result[Registration, str]:
    """Return what a replica says of itself, or why it cannot be used."""
    try:
        entry = _decoder.decode(text)
        parse_address(entry.address)
    except ValueError as exc:
        return Failure(str(exc))
    if entry.slots < 1:
        return Failure(f'Slots is {entry.slots}, expected at least 1')
    return Success(
        Registration(
            name=key.removeprefix(REPLICAS_PREFIX),
            service=entry.service,
            address=entry.address,
            zone=entry.zone,
            slots=entry.slots,
            is_draining=entry.state == DRAINING,
            warmup_seconds=entry.warmup_ms / MS_PER_SECOND,
            start_time_ms=entry.born,
        ),
    )

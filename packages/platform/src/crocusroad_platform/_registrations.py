"""Decoding of the entries that replicas register in the store."""

from typing import Annotated, Final, Literal

import msgspec
from returns.result import Failure, Result, Success

from crocusroad_core.discovery import Registration
from crocusroad_core.links import parse_address
from crocusroad_wire import make_json_decoder

REPLICAS_PREFIX: Final = 'servers/'
DRAINING: Final = 'draining'
MS_PER_SECOND: Final = 1000
MAX_SLOTS: Final = 2**31 - 1


class _RegistrationEntry(msgspec.Struct):
    service: str = msgspec.field(name='Service')
    address: str = msgspec.field(name='Address')
    zone: str = msgspec.field(name='Zone')
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)] = msgspec.field(
        name='Slots'
    )
    state: Literal['ready', 'draining'] = msgspec.field(name='State')
    # Remaining warm-up time, counted down from the start; a replica is slow
    # until it reaches 0.
    warmup_left_ms: float = msgspec.field(name='WarmupLeftMs', default=0)
    born: int = 0  # start time, Unix time in milliseconds


_decode_entry = make_json_decoder(_RegistrationEntry)


def decode_registration(key: str, text: str) -> Result[Registration, str]:
    """Return the registration of a replica, or why it cannot be used."""
    try:
        entry = _decode_entry(text)
        parse_address(entry.address)
    except ValueError as exc:
        return Failure(str(exc))
    return Success(
        Registration(
            name=key.removeprefix(REPLICAS_PREFIX),
            service=entry.service,
            address=entry.address,
            zone=entry.zone,
            slots=entry.slots,
            is_draining=entry.state == DRAINING,
            warmup_seconds=entry.warmup_left_ms / MS_PER_SECOND,
            start_time_ms=entry.born,
        ),
    )

"""JSON coding of typed messages."""

from functools import cache
from typing import TypeVar

import msgspec

T = TypeVar('T')

DecodeError = msgspec.DecodeError

_encoder = msgspec.json.Encoder()


@cache
def _decoder(kind: type[T]) -> msgspec.json.Decoder[T]:
    return msgspec.json.Decoder(kind)


def encode_json(message: object) -> bytes:
    """Return the JSON bytes of a message."""
    return _encoder.encode(message)


def encode_json_text(message: object) -> str:
    """Return the JSON text of a message."""
    return _encoder.encode(message).decode()


def decode_json(kind: type[T], raw: bytes) -> T:
    """Return the message of type `kind` that `raw` holds.

    Raises:
        DecodeError: `raw` is not JSON or does not match `kind`; the text
            names the path of the offending field.
    """
    return _decoder(kind).decode(raw)

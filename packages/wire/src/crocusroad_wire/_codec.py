"""JSON coding of typed messages."""

from typing import TypeVar

import msgspec

T = TypeVar('T')

DecodeError = msgspec.DecodeError

_encoder = msgspec.json.Encoder()
_text_encoder = msgspec.json.Encoder(enc_hook=str)


def encode_json(message: object) -> bytes:
    """Return the JSON bytes of a message."""
    return _encoder.encode(message)


def encode_json_text(message: object) -> str:
    """Return the JSON text of a message; other types become their text."""
    return _text_encoder.encode(message).decode()


def decode_json(kind: type[T], raw: bytes) -> T:
    """Return the message of type `kind` that `raw` holds.

    Raises:
        DecodeError: `raw` is not JSON or does not match `kind`; the text
            names the path of the offending field.
    """
    return msgspec.json.decode(raw, type=kind)

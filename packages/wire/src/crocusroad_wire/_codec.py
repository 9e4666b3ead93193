"""JSON encoding and decoding of typed messages."""

from typing import TypeVar

import msgspec

MessageT = TypeVar('MessageT')

DecodeError = msgspec.DecodeError

_encoder = msgspec.json.Encoder()
_text_encoder = msgspec.json.Encoder(enc_hook=str)


def encode_json(message: object) -> bytes:
    """Encode a message as JSON bytes."""
    return _encoder.encode(message)


def encode_json_text(message: object) -> str:
    """Encode a message as JSON text.

    Values of types that JSON lacks are written as their `str`.
    """
    return _text_encoder.encode(message).decode()


def decode_json(message_type: type[MessageT], raw: bytes) -> MessageT:
    """Decode JSON bytes into a message of type `message_type`.

    Raises:
        DecodeError: `raw` is not JSON or does not match `message_type`; the
            text names the path of the offending field.
    """
    return msgspec.json.decode(raw, type=message_type)

"""JSON encoding and decoding of typed messages."""

from collections.abc import Callable
from functools import partial
from typing import TypeVar

import msgspec

MessageT = TypeVar('MessageT')
RawT = TypeVar('RawT')

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


def decode_json(message_type: type[MessageT], raw: bytes | str) -> MessageT:
    """Decode JSON into a message of type `message_type`.

    Raises:
        DecodeError: `raw` is not JSON or does not match `message_type`; the
            text names the path of the offending field.
    """
    decode: Callable[[bytes | str], MessageT] = partial(
        msgspec.json.decode, type=message_type
    )
    return raise_decode_errors(decode)(raw)


def make_json_decoder(
    message_type: type[MessageT],
) -> Callable[[bytes | str], MessageT]:
    """Return a function that decodes as `decode_json` does."""
    return raise_decode_errors(msgspec.json.Decoder(message_type).decode)


def raise_decode_errors(
    decode: Callable[[RawT], MessageT],
) -> Callable[[RawT], MessageT]:
    """Return a decoder that raises no other exception than DecodeError.

    The library raises others for input that is nested too deeply and for text
    that is not Unicode.
    """

    def decode_any(raw: RawT) -> MessageT:
        try:
            return decode(raw)
        except DecodeError:
            raise
        except (RecursionError, ValueError) as exc:
            raise DecodeError(str(exc)) from exc

    return decode_any

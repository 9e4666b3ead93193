"""The stored claim of an action and its encoding."""

from enum import StrEnum
from typing import Final, NotRequired, TypedDict

import msgspec

from crocusroad_wire import Answer, decode_json

MAX_ANSWER_BYTES: Final = 65_536


class ClaimState(StrEnum):
    """The progress of a claimed action."""

    claimed = 'claimed'  # its holder may run it or has run it
    done = 'done'  # it ran; the answer is stored if small enough
    not_run = 'not-run'  # it has not run and its holder never runs it
    unknown = 'unknown'  # it may have run


class ClaimRecord(TypedDict):
    """A claim of one action by one node, as stored in the KV."""

    write_id: str
    holder: str  # node and incarnation
    body_sha256: str
    not_after: float  # seconds since the epoch; not sent after it
    state: ClaimState
    answer: NotRequired[Answer]


def encode_claim(record: ClaimRecord) -> str:
    """Encode a claim as JSON text."""
    return msgspec.json.encode(record).decode()


def decode_claim(text: str) -> ClaimRecord:
    """Decode a claim from JSON text.

    Raises:
        msgspec.DecodeError: The text is not a claim.
    """
    return decode_json(ClaimRecord, text)


def encode_ended_claim(
    record: ClaimRecord,
    state: ClaimState,
    answer: Answer | None,
) -> str:
    """Encode a claim with the outcome of its action.

    An answer of more than MAX_ANSWER_BYTES is left out.
    """
    ended = ClaimRecord(
        write_id=record['write_id'],
        holder=record['holder'],
        body_sha256=record['body_sha256'],
        not_after=record['not_after'],
        state=state,
    )
    if answer is not None and _is_storable(answer):
        ended['answer'] = answer
    return encode_claim(ended)


def _is_storable(answer: Answer) -> bool:
    return len(msgspec.json.encode(answer)) <= MAX_ANSWER_BYTES

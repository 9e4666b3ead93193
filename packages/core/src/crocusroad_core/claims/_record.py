"""What the KV holds of one action."""

from enum import StrEnum
from typing import Final, NotRequired, TypedDict

import msgspec

from crocusroad_wire import Answer

MAX_ANSWER_BYTES: Final = 65_536


class ClaimState(StrEnum):
    """How far an action is."""

    claimed = 'claimed'  # its holder may run it, or has
    done = 'done'  # it ran; the answer is here if it was small enough
    not_run = 'not-run'  # it has not run and its holder never will run it
    unknown = 'unknown'  # it may have run


class ClaimRecord(TypedDict):
    """A claim of one action by one node."""

    write_id: str
    holder: str  # node and incarnation
    body_sha256: str
    not_after: float  # seconds since the epoch; nothing is sent after it
    state: ClaimState
    answer: NotRequired[Answer]


def encode_claim(record: ClaimRecord) -> str:
    """Return the text of a claim."""
    return msgspec.json.encode(record).decode()


def decode_claim(text: str) -> ClaimRecord:
    """Return the claim that `text` holds.

    Raises:
        msgspec.DecodeError: The text is no claim.
    """
    return msgspec.json.decode(text, type=ClaimRecord)


def encode_ended_claim(
    record: ClaimRecord,
    state: ClaimState,
    answer: Answer | None,
) -> str:
    """Return the text of a claim whose action has ended."""
    ended = ClaimRecord(
        write_id=record['write_id'],
        holder=record['holder'],
        body_sha256=record['body_sha256'],
        not_after=record['not_after'],
        state=state,
    )
    if answer is not None and _is_small(answer):
        ended['answer'] = answer
    return encode_claim(ended)


def _is_small(answer: Answer) -> bool:
    return len(msgspec.json.encode(answer)) <= MAX_ANSWER_BYTES

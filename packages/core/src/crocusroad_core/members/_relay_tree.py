"""The relay tree of a publication."""

from collections.abc import Iterable
from hashlib import blake2b
from typing import NamedTuple

from crocusroad_core.members._member import Member

KEY_BYTES = 6
KEY_LIMIT = 2 ** (KEY_BYTES * 8)  # keys lie below


class Branch(NamedTuple):
    """A member that passes a publication on to a range after its own key."""

    head: Member
    low: int
    high: int
    members: int  # in the range as the sender knows it, the head included


def relay_key(name: str) -> int:
    """Return the key that places a node in the ranges of publications."""
    digest = blake2b(name.encode(), digest_size=KEY_BYTES).digest()
    return int.from_bytes(digest)


def split_range(
    members: Iterable[Member],
    low: int,
    high: int,
    width: int,
) -> tuple[Branch, ...]:
    """Split the members of a range of keys into at most `width` branches.

    Each node splits by its own view. Where views differ a node may be told
    twice or not at all, so receivers drop repeats and no promise rests on
    delivery.
    """
    keyed = sorted(
        (relay_key(one.name), one.name, one)
        for one in members
        if one.is_present and one.address and low <= relay_key(one.name) < high
    )
    if not keyed:
        return ()
    size = -(-len(keyed) // width)
    parts = [keyed[at : at + size] for at in range(0, len(keyed), size)]
    heads = [part[0][0] for part in parts]
    return tuple(
        Branch(part[0][2], head + 1, end, len(part))
        for part, head, end in zip(
            parts,
            heads,
            (*heads[1:], high),
            strict=True,
        )
    )

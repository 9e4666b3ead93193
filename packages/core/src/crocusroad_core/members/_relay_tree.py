"""The relay tree of a publication."""

from collections.abc import Iterable
from hashlib import blake2b
from typing import NamedTuple

from crocusroad_core.members._member import Member

KEY_BYTES = 6
KEY_LIMIT = 2 ** (KEY_BYTES * 8)  # exclusive upper bound of the keys


class Branch(NamedTuple):
    """A member that relays a publication to the keys from `low` to `high`."""

    head: Member
    low: int
    high: int
    members: int  # in the range as the sender sees it, including the head


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

    Each node splits by its own view. Where views differ, a node may receive
    a publication twice or not at all, so receivers drop duplicates and
    nothing may rely on delivery.
    """
    keyed = sorted(
        (relay_key(member.name), member.name, member)
        for member in members
        if member.is_present
        and member.address
        and low <= relay_key(member.name) < high
    )
    if not keyed:
        return ()
    size = -(-len(keyed) // width)
    groups = [keyed[at : at + size] for at in range(0, len(keyed), size)]
    head_keys = [group[0][0] for group in groups]
    return tuple(
        Branch(group[0][2], head_key + 1, end, len(group))
        for group, head_key, end in zip(
            groups,
            head_keys,
            (*head_keys[1:], high),
            strict=True,
        )
    )

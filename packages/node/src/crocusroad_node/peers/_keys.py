"""The shared keys of a cluster's peers."""

from typing import NamedTuple


class PeerKeys(NamedTuple):
    """One key signs; several are accepted while keys are exchanged."""

    signing: bytes
    accepted: tuple[bytes, ...]  # the signing key included

    def __repr__(self) -> str:
        """Return how many keys there are; never the keys."""
        return f'PeerKeys({len(self.accepted)} accepted)'


def parse_keys(setting: str) -> PeerKeys | None:
    """Return the keys of the setting [peers] keys; None if it has none."""
    keys = tuple(
        bytes.fromhex(word.strip()) for word in setting.split(',') if word
    )
    return PeerKeys(keys[0], keys) if keys else None

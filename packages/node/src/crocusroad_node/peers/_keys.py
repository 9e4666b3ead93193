"""The keys that the nodes of a cluster share."""

from typing import NamedTuple


class PeerKeys(NamedTuple):
    """The signing key and the accepted keys.

    Several keys are accepted while the cluster rotates its keys.
    """

    signing: bytes
    accepted: tuple[bytes, ...]  # includes the signing key

    def __repr__(self) -> str:
        """Return the number of accepted keys; never show the keys."""
        return f'PeerKeys({len(self.accepted)} accepted)'


def parse_keys(setting: str) -> PeerKeys | None:
    """Parse the setting [peers] keys; return None if it is empty."""
    keys = tuple(
        bytes.fromhex(key.strip()) for key in setting.split(',') if key
    )
    return PeerKeys(keys[0], keys) if keys else None

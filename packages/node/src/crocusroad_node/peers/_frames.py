"""Encoding and authentication of frames."""

import hmac
from typing import Final

from returns.result import Failure, Result, Success

from crocusroad_node.peers._fault import FrameFault
from crocusroad_node.peers._keys import PeerKeys
from crocusroad_wire import (
    PEER_VERSION,
    DecodeError,
    PeerFrame,
    decode_peer,
    encode_peer,
)

TAG_BYTES: Final = 16  # HMAC-SHA-256, truncated as in RFC 4868
MAX_FRAME_BYTES: Final = 4 * 1024 * 1024


def encode_frame(frame: PeerFrame, keys: PeerKeys) -> bytes:
    """Encode a frame and prepend its authentication tag."""
    encoded = encode_peer(frame)
    return compute_tag(keys.signing, encoded) + encoded


def decode_frame(
    raw: bytes,
    cluster: str,
    keys: PeerKeys,
) -> Result[PeerFrame, FrameFault]:
    """Verify and decode a frame, or return why it is not accepted.

    The tag is verified before anything is decoded.
    """
    if len(raw) <= TAG_BYTES:
        return Failure(FrameFault.too_short)
    if len(raw) > MAX_FRAME_BYTES:
        return Failure(FrameFault.too_large)
    tag, encoded = raw[:TAG_BYTES], raw[TAG_BYTES:]
    if not _is_authentic(tag, encoded, keys):
        return Failure(FrameFault.unauthenticated)
    try:
        frame = decode_peer(PeerFrame, encoded)
    except DecodeError:
        return Failure(FrameFault.malformed)
    return _check_header(frame, cluster)


def _check_header(
    frame: PeerFrame, cluster: str
) -> Result[PeerFrame, FrameFault]:
    if frame.version != PEER_VERSION:
        return Failure(FrameFault.version)
    if frame.cluster != cluster:
        return Failure(FrameFault.foreign_cluster)
    return Success(frame)


def _is_authentic(tag: bytes, encoded: bytes, keys: PeerKeys) -> bool:
    matches = [
        hmac.compare_digest(tag, compute_tag(key, encoded))
        for key in keys.accepted
    ]
    return any(matches)


def compute_tag(key: bytes, encoded: bytes) -> bytes:
    return hmac.digest(key, encoded, 'sha256')[:TAG_BYTES]

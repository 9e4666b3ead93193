"""Coding and authentication of frames."""

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

TAG_BYTES: Final = 16  # of HMAC-SHA-256, cut as in RFC 4868
MAX_FRAME_BYTES: Final = 4 * 1024 * 1024


def encode_frame(frame: PeerFrame, keys: PeerKeys) -> bytes:
    """Return the bytes of a frame behind its authentication tag."""
    packed = encode_peer(frame)
    return compute_tag(keys.signing, packed) + packed


def decode_frame(
    raw: bytes,
    cluster: str,
    keys: PeerKeys,
) -> Result[PeerFrame, FrameFault]:
    """Return the frame that `raw` holds, or why it is not accepted.

    Nothing is decoded before the tag was found right.
    """
    if len(raw) <= TAG_BYTES:
        return Failure(FrameFault.too_short)
    if len(raw) > MAX_FRAME_BYTES:
        return Failure(FrameFault.too_large)
    tag, packed = raw[:TAG_BYTES], raw[TAG_BYTES:]
    if not _is_signed(tag, packed, keys):
        return Failure(FrameFault.unauthenticated)
    try:
        frame = decode_peer(PeerFrame, packed)
    except DecodeError:
        return Failure(FrameFault.malformed)
    return _check(frame, cluster)


def _check(frame: PeerFrame, cluster: str) -> Result[PeerFrame, FrameFault]:
    if frame.version != PEER_VERSION:
        return Failure(FrameFault.version)
    if frame.cluster != cluster:
        return Failure(FrameFault.foreign_cluster)
    return Success(frame)


def _is_signed(tag: bytes, packed: bytes, keys: PeerKeys) -> bool:
    matches = [
        hmac.compare_digest(tag, compute_tag(key, packed))
        for key in keys.accepted
    ]
    return any(matches)


def compute_tag(key: bytes, packed: bytes) -> bytes:
    return hmac.digest(key, packed, 'sha256')[:TAG_BYTES]

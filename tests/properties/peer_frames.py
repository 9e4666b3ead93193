"""Properties of the frames that nodes exchange."""

from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success

from crocusroad_core.members import FrameId, RateLimit, ReplayGuard
from crocusroad_node.peers import (
    FrameFault,
    decode_frame,
    encode_frame,
    parse_keys,
)
from crocusroad_node.peers._frames import TAG_BYTES, compute_tag
from crocusroad_wire import PeerFrame, encode_peer

KEY, OTHER_KEY = '5e' * 32, 'a1' * 32
KEYS = parse_keys(KEY)

frames = st.builds(
    PeerFrame,
    st.just(1),
    st.just('demo'),
    st.text(max_size=8),
    st.text(min_size=1, max_size=8),
    st.integers(0, 2**40),
    st.integers(0, 2**40),
    st.integers(0, 2**40),
    st.floats(0, 1e10),
    st.binary(max_size=64),
)


@given(frames)
def check_round_trip(frame):
    decoded = decode_frame(encode_frame(frame, KEYS), 'demo', KEYS)
    assert decoded == Success(frame)


@given(st.binary(max_size=200))
def check_noise(raw):
    assert isinstance(decode_frame(raw, 'demo', KEYS), Failure)


@given(st.binary(max_size=200))
def check_signed_noise(encoded):
    """Random bytes with a valid tag are rejected without an exception."""
    raw = compute_tag(KEYS.signing, encoded) + encoded
    assert isinstance(decode_frame(raw, 'demo', KEYS), Failure)


def check_tampered(decoder=decode_frame):
    @given(frames, st.data())
    def check(frame, data):
        raw = bytearray(encode_frame(frame, KEYS))
        index = data.draw(st.integers(0, len(raw) - 1))
        raw[index] ^= data.draw(st.integers(1, 255))
        assert isinstance(decoder(bytes(raw), 'demo', KEYS), Failure)

    check()


def decode_unchecked(raw, cluster, keys):
    """Known-bad variant: checks only the length of the tag."""
    encoded = raw[TAG_BYTES:]
    return decode_frame(
        compute_tag(keys.signing, encoded) + encoded, cluster, keys
    )


@given(st.lists(st.tuples(st.integers(0, 4), st.integers(0, 40)), max_size=30))
def check_replay(arrivals):
    guard = ReplayGuard(max_age=10, limit=3)
    admitted = []
    now = 0
    for serial, wait in arrivals:
        now += wait
        if guard.admit(FrameId('a', 1, serial), now):
            admitted.append((serial, now))
        recent = [entry for entry in admitted if now - entry[1] < 20]
        assert len({entry[0] for entry in recent}) == len(recent)
        assert len(guard._expiries) <= 3


@given(st.lists(st.floats(0, 5), max_size=40))
def check_rate(waits):
    rate = RateLimit(per_second=2, burst=3)
    now, allowed = 0, 0
    for wait in waits:
        now += wait
        allowed += rate.allows(now)
        assert allowed <= 3 + 2 * now + 1e-6


FRAME = PeerFrame(1, 'demo', 'probe', 'node-a', 1, 1, 0, 0, b'')
CASES = {
    'another key': (FRAME, OTHER_KEY, FrameFault.unauthenticated),
    'another cluster': (
        FRAME._replace(cluster='other'),
        KEY,
        FrameFault.foreign_cluster,
    ),
    'another version': (FRAME._replace(version=2), KEY, FrameFault.version),
    'an empty sender': (FRAME._replace(sender=''), KEY, FrameFault.malformed),
    'too many bytes': (
        FRAME._replace(body=bytes(5_000_000)),
        KEY,
        FrameFault.too_large,
    ),
    'a negative serial': (FRAME._replace(serial=-1), KEY, FrameFault.malformed),
}


def check_case(case):
    frame, key, fault = CASES[case]
    raw = encode_frame(frame, parse_keys(key))
    assert decode_frame(raw, 'demo', KEYS) == Failure(fault)


def check_rotation(signing, accepted, is_accepted):
    key_by_name = {'old': KEY, 'new': OTHER_KEY}
    sender = parse_keys(key_by_name[signing])
    keys = parse_keys(','.join(key_by_name[name] for name in accepted.split()))
    decoded = decode_frame(encode_frame(FRAME, sender), 'demo', keys)
    assert isinstance(decoded, Success) is is_accepted
    assert KEY not in repr(keys) and OTHER_KEY not in repr(keys)
    assert str(keys.signing) not in repr(keys)


def check_junk():
    assert isinstance(decode_frame(encode_peer(FRAME), 'demo', KEYS), Failure)

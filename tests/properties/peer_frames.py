"""Properties of the frames between nodes."""

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

KEY, OTHER = '5e' * 32, 'a1' * 32
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
    opened = decode_frame(encode_frame(frame, KEYS), 'demo', KEYS)
    assert opened == Success(frame)


@given(st.binary(max_size=200))
def check_noise(raw):
    assert isinstance(decode_frame(raw, 'demo', KEYS), Failure)


@given(st.binary(max_size=200))
def check_signed_noise(packed):
    """A peer with the key that sends nonsense doesn't bring a node down."""
    raw = compute_tag(KEYS.signing, packed) + packed
    assert isinstance(decode_frame(raw, 'demo', KEYS), Failure)


def check_tampered(opener=decode_frame):
    @given(frames, st.data())
    def check(frame, data):
        raw = bytearray(encode_frame(frame, KEYS))
        place = data.draw(st.integers(0, len(raw) - 1))
        raw[place] ^= data.draw(st.integers(1, 255))
        assert isinstance(opener(bytes(raw), 'demo', KEYS), Failure)

    check()


def open_unchecked(raw, cluster, keys):
    """Known bad: looks at the tag's length only."""
    packed = raw[TAG_BYTES:]
    return decode_frame(
        compute_tag(keys.signing, packed) + packed, cluster, keys
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
        recent = [one for one in admitted if now - one[1] < 20]
        assert len({one[0] for one in recent}) == len(recent)
        assert len(guard._expiries) <= 3


@given(st.lists(st.floats(0, 5), max_size=40))
def check_rate(waits):
    rate = RateLimit(per_second=2, burst=3)
    now, taken = 0, 0
    for wait in waits:
        now += wait
        taken += rate.allows(now)
        assert taken <= 3 + 2 * now + 1e-6


FRAME = PeerFrame(1, 'demo', 'probe', 'node-a', 1, 1, 0, 0, b'')
CASES = {
    'another key': (FRAME, OTHER, FrameFault.unauthenticated),
    'another cluster': (
        FRAME._replace(cluster='other'),
        KEY,
        FrameFault.foreign_cluster,
    ),
    'another version': (FRAME._replace(version=2), KEY, FrameFault.version),
    'a nameless sender': (FRAME._replace(sender=''), KEY, FrameFault.malformed),
    'too many bytes': (
        FRAME._replace(body=bytes(5_000_000)),
        KEY,
        FrameFault.too_large,
    ),
    'a bad number': (FRAME._replace(serial=-1), KEY, FrameFault.malformed),
}


def check_case(case):
    frame, key, fault = CASES[case]
    raw = encode_frame(frame, parse_keys(key))
    assert decode_frame(raw, 'demo', KEYS) == Failure(fault)


def check_rotation(signing, accepted, is_accepted):
    names = {'old': KEY, 'new': OTHER}
    sender = parse_keys(names[signing])
    keys = parse_keys(','.join(names[one] for one in accepted.split()))
    opened = decode_frame(encode_frame(FRAME, sender), 'demo', keys)
    assert isinstance(opened, Success) is is_accepted
    assert KEY not in repr(keys) and OTHER not in repr(keys)
    assert str(keys.signing) not in repr(keys)


def check_junk():
    assert isinstance(decode_frame(encode_peer(FRAME), 'demo', KEYS), Failure)

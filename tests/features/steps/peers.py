import asyncio
import tempfile
import time
from pathlib import Path

import pynng
from behave import given, then

from crocusroad_node.peers import Identity, PeerChannel, parse_keys
from crocusroad_node.peers._connections import PeerConnections
from crocusroad_node.peers._metrics import PEER_FRAMES_DROPPED
from crocusroad_node.peers._transfers import send
from crocusroad_node.settings import load_settings
from tests.properties import peer_frames as checks
from tests.support.peer_nodes import (
    free_addresses,
    make_nodes,
    run_nodes,
    stop,
    until,
)


@then('peer frames survive a round trip')
def step_round(context):
    checks.check_round_trip()


@then('peer noise is never accepted')
def step_noise(context):
    checks.check_noise()
    checks.check_signed_noise()
    checks.check_junk()


@then('tampered peer frames are never accepted')
def step_tampered(context):
    checks.check_tampered()


@then('a decoder that skips the peer tag is caught')
def step_skip(context):
    try:
        checks.check_tampered(checks.open_unchecked)
    except BaseException as exc:
        assert isinstance(exc, (AssertionError, ExceptionGroup))
        return
    raise RuntimeError('the check passes without a tag')


@then('the peer replay guard admits a frame once')
def step_replay(context):
    checks.check_replay()


@then('the peer rate limit holds')
def step_rate(context):
    checks.check_rate()


@then('a peer frame with "{case}" is dropped for its reason')
def step_case(context, case):
    checks.check_case(case)


@then('a peer frame signed "{signing}" where "{keys}" hold is {verdict}')
def step_rotation(context, signing, keys, verdict):
    checks.check_rotation(signing, keys, verdict == 'accepted')


@given('{count:d} peers over loopback')
def step_peers(context, count):
    context.peers = make_nodes(count)


@given('{count:d} peers over loopback of which the last has another key')
def step_odd(context, count):
    odd = {f'node_{count - 1}': {'keys': checks.OTHER}}
    context.peers = make_nodes(count, **odd)


async def heard(nodes, seconds=10):
    def all_heard():
        return all(
            one.holds(other)
            for one in nodes
            for other in nodes
            if one is not other
        )

    await until(all_heard, seconds)


@then('each peer hears each other within {seconds:d} s')
def step_heard(context, seconds):
    run_nodes(context.peers, lambda nodes: heard(nodes, seconds))


@then('a position of one peer is on all within {seconds:d} s')
def step_position(context, seconds):
    async def check(nodes):
        nodes[0].position = 7
        await until(lambda: all(one.position == 7 for one in nodes), seconds)

    context.peers = make_nodes(len(context.peers))
    run_nodes(context.peers, check)


@then('a report of one peer reaches all others once')
def step_report(context):
    async def check(nodes):
        first, *others = nodes
        known = first.service.members
        await until(lambda: len(known()) == len(others), 10)
        # Each relay needs its own view of the list.
        views = [one.service.members for one in others]
        await until(lambda: all(len(v()) == len(others) for v in views), 10)
        acks = await first.service.reports.publish('crash', b'digest')
        assert acks == len(others), acks
        assert all(one.reports == [b'digest'] for one in others)
        assert first.reports == []

    context.peers = make_nodes(len(context.peers))
    run_nodes(context.peers, check)


@then('a peer cancelled as a "{step}" ends is cancelled')
def step_cancelled(context, step):
    address = free_addresses(1)[0]
    cancelled = {
        'receive': receiving,
        'send': sending,
        'ask': asking,
        'close': closing,
    }[step]
    asyncio.run(cancelled(address))


def block_loop(seconds):
    """Keep the event loop from running, as a busy machine does."""
    time.sleep(seconds)


async def receiving(address):
    """The loop that answers peers ends, though a frame waits for it."""
    channel = PeerChannel(Identity('demo', 'one', 1), parse_keys(checks.OTHER))
    task = asyncio.create_task(channel.serve(address, {}))
    await asyncio.sleep(0.2)
    with pynng.Req0(dial=f'tcp://{address}') as sock:
        sock.send(b'noise')
        block_loop(0.2)  # meanwhile the frame arrives
        await stop([task])


async def sending(address):
    with pynng.Rep0(listen=f'tcp://{address}'), pynng.Req0() as sock:
        sock.dial(f'tcp://{address}', block=True)
        task = asyncio.create_task(send(sock.new_context(), b'noise'))
        await asyncio.sleep(0)
        block_loop(0.2)  # meanwhile it is sent
        await stop([task])
        assert task.cancelled()


async def asking(address):
    """A request whose time ends as it is sent waits for no answer."""
    links = PeerConnections(4096)
    with pynng.Rep0(listen=f'tcp://{address}'):
        await links.exchange(address, b'noise', 0.2)
        task = asyncio.create_task(links.exchange(address, b'noise', 0.1))
        await asyncio.sleep(0)
        block_loop(0.2)  # meanwhile its time ends
        await asyncio.wait([task], timeout=2)
        links.close()
        assert task.done()


async def closing(address):
    """A request whose connection is closed under it is unanswered."""
    links = PeerConnections(4096)
    with pynng.Rep0(listen=f'tcp://{address}'):
        task = asyncio.create_task(links.exchange(address, b'noise', 2))
        await asyncio.sleep(0.1)
        links.close()
        async with asyncio.timeout(2):
            assert await task is None


@then("the peers ignore the last one's position and report")
def step_ignored(context):
    dropped = PEER_FRAMES_DROPPED.labels('unauthenticated')

    async def check(nodes):
        before = dropped._value.get()
        last = nodes[-1]
        last.position = 9
        await until(lambda: nodes[0].holds(nodes[1]), 10)
        await until(lambda: len(last.service.members()) == 2, 10)
        assert await last.service.reports.publish('crash', b'lie') == 0
        await asyncio.sleep(2)
        assert [one.position for one in nodes[:-1]] == [0, 0]
        assert all(one.reports == [] for one in nodes)
        assert not nodes[0].holds(last) and not nodes[1].holds(last)
        assert dropped._value.get() > before

    run_nodes(context.peers, check)


@then('a report over the bound raises an error that names it')
def step_large(context):
    async def check(nodes):
        try:
            await nodes[0].service.reports.publish('crash', bytes(4097))
        except ValueError as exc:
            assert '4096' in str(exc)
            return
        raise AssertionError('a report over the bound was accepted')

    run_nodes(context.peers, check)


@then('a bad peer key is refused without being shown')
def step_secret(context):
    secret = 'deadbeef'
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / 'node.ini'
        file.write_text(f'[peers]\nkeys = {secret}\n')
        faults = [str(one) for one in load_settings(file).failure()]
    assert any('keys' in one and 'hidden' in one for one in faults)
    assert not any(secret in one for one in faults)

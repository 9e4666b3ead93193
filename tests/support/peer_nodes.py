"""Several peers in one process, over real sockets on loopback."""

import asyncio
import socket
from random import Random

from returns.result import Success

from crocusroad_core.members import Membership, MemberState
from crocusroad_node.peers import (
    ConfigSource,
    Identity,
    PeerChannel,
    PeerService,
    parse_keys,
)
from crocusroad_node.platform import Instance
from crocusroad_wire import MemberUpdate

KEY = '5e' * 32
RUN_SECONDS = 60  # of one check, until it fails
STOP_SECONDS = 5  # until a cancelled peer must have ended


def free_addresses(count):
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind(('127.0.0.1', 0))
    found = ['{}:{}'.format(*sock.getsockname()) for sock in socks]
    for sock in socks:
        sock.close()
    return found


class FixedInstances:
    def __init__(self, listed):
        self.listed = listed

    async def read(self):
        return Success(self.listed)


class PeerNode:
    """One peer whose configuration is a number."""

    def __init__(self, name, address, keys=KEY, cluster='demo'):
        self.name, self.address = name, address
        self.position = 0
        self.reports = []
        me = MemberUpdate(name, 1, 0, 0, address, 'a')
        self.channel = PeerChannel(Identity(cluster, name, 1), parse_keys(keys))
        source = ConfigSource(
            position=lambda: self.position,
            export=lambda after: str(self.position).encode(),
            apply=self.apply,
        )
        members = Membership(me, Random(1).randrange)
        self.service = PeerService(members, self.channel, source)
        self.service.reports.subscribe(
            'crash', lambda payload, now: self.reports.append(payload)
        )

    def apply(self, payload, now):
        self.position = max(self.position, int(payload))

    def holds(self, other):
        return any(
            one.name == other.name
            and one.state == MemberState.alive
            and one.last_contact_at
            for one in self.service.members()
        )


def make_nodes(count, **changed):
    addresses = free_addresses(count)
    return [
        PeerNode(
            f'node-{number:02}', address, **changed.get(f'node_{number}', {})
        )
        for number, address in enumerate(addresses)
    ]


def run_nodes(nodes, check):
    """Run the peers while the coroutine function `check` runs."""

    async def main():
        listed = [
            Instance(one.name, 'node', one.address, 'a', False) for one in nodes
        ]
        tasks = [
            asyncio.create_task(
                one.service.run(one.address, FixedInstances(listed))
            )
            for one in nodes
        ]
        try:
            async with asyncio.timeout(RUN_SECONDS):
                return await check(nodes)
        finally:
            await stop(tasks)
            for one in nodes:
                one.service.close()

    return asyncio.run(main())


async def stop(tasks):
    """Cancel tasks once; fail if one goes on."""
    for task in tasks:
        task.cancel()
    _, pending = await asyncio.wait(tasks, timeout=STOP_SECONDS)
    for task in pending:  # so that the run ends after the failure
        task.cancel()
    assert not pending, f'{len(pending)} peers go on after a cancellation'


async def until(check, seconds):
    async with asyncio.timeout(seconds):
        while True:
            if check():
                return
            await asyncio.sleep(0.02)

"""Several nodes in one process that communicate over loopback sockets."""

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
RUN_SECONDS = 60  # limit for one check
STOP_SECONDS = 5  # limit for a cancelled task to end


def free_addresses(count):
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind(('127.0.0.1', 0))
    addresses = ['{}:{}'.format(*sock.getsockname()) for sock in sockets]
    for sock in sockets:
        sock.close()
    return addresses


class FixedInstances:
    def __init__(self, listed):
        self.listed = listed

    async def read(self):
        return Success(self.listed)


class PeerNode:
    """A node whose configuration is only its position."""

    def __init__(self, name, address, keys=KEY, cluster='demo'):
        self.name, self.address = name, address
        self.position = 0
        self.reports = []
        own_update = MemberUpdate(name, 1, 0, 0, address, 'a')
        self.channel = PeerChannel(Identity(cluster, name, 1), parse_keys(keys))
        source = ConfigSource(
            position=lambda: self.position,
            export=lambda after: str(self.position).encode(),
            apply=self.apply,
        )
        members = Membership(own_update, Random(1).randrange)
        self.service = PeerService(members, self.channel, source)
        self.service.reports.subscribe(
            'crash', lambda payload, now: self.reports.append(payload)
        )

    def apply(self, payload, now):
        self.position = max(self.position, int(payload))

    def sees_alive(self, other):
        return any(
            member.name == other.name
            and member.state == MemberState.alive
            and member.last_contact_at
            for member in self.service.members()
        )


def make_nodes(count, **overrides):
    addresses = free_addresses(count)
    return [
        PeerNode(
            f'node-{number:02}', address, **overrides.get(f'node_{number}', {})
        )
        for number, address in enumerate(addresses)
    ]


def run_nodes(nodes, check):
    """Run the nodes while the coroutine function `check` runs."""

    async def main():
        listed = [
            Instance(node.name, 'node', node.address, 'a', False)
            for node in nodes
        ]
        tasks = [
            asyncio.create_task(
                node.service.run(node.address, FixedInstances(listed))
            )
            for node in nodes
        ]
        try:
            async with asyncio.timeout(RUN_SECONDS):
                return await check(nodes)
        finally:
            await cancel_tasks(tasks)
            for node in nodes:
                node.service.close()

    return asyncio.run(main())


async def cancel_tasks(tasks):
    """Cancel each task once and fail if one of them does not end."""
    for task in tasks:
        task.cancel()
    _, pending = await asyncio.wait(tasks, timeout=STOP_SECONDS)
    for task in pending:  # lets the test run end after the failure
        task.cancel()
    assert not pending, f'{len(pending)} tasks still run after a cancellation'


async def wait_until(check, seconds):
    async with asyncio.timeout(seconds):
        while True:
            if check():
                return
            await asyncio.sleep(0.02)

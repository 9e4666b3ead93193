"""A simulated network of members in virtual time, with faults.

Only the membership protocol runs here; every exchange is a pair of function
calls.
"""

from random import Random

from crocusroad_core.members import (
    ListedNode,
    Membership,
    MembershipConfig,
    MemberState,
    PeerKind,
)
from crocusroad_wire import MemberUpdate, encode_peer

SECONDS = 1


class MembershipNet:
    def __init__(self, count, seed=0, cfg=None, kind=Membership, view=0):
        self.rng = Random(seed)
        self.cfg = cfg or MembershipConfig()
        self.kind = kind
        self.now = 0.0
        self.nodes = {}
        self.positions = {}
        self.frozen = set()
        self.killed = set()
        self.left = set()
        self.cuts = set()  # frozensets of two names
        self.loss = 0.0
        self.messages = 0
        self.bytes = 0
        for number in range(count):
            self.start(f'node-{number:04}')
        self.publish_list(view)

    def start(self, name):
        """Start a node, or start it again as a new incarnation."""
        zone = 'abc'[node_number(name) % 3]
        born = int(self.now * 1000) + 1
        me = MemberUpdate(name, born, 0, 0, address_of(name), zone)
        self.nodes[name] = self.kind(me, self.rng.randrange, self.cfg)
        self.positions[name] = 0
        for group in (self.frozen, self.killed, self.left):
            group.discard(name)

    def kill(self, name):
        self.killed.add(name)

    def leave(self, name):
        for outgoing in self.nodes[name].leave(self.positions[name]):
            self.exchange(name, outgoing)
        self.left.add(name)

    def publish_list(self, view=0):
        """Give each running node the platform's list or `view` nodes of it."""
        listed = [
            ListedNode(name, address_of(name), 'a', False)
            for name in self.running()
        ]
        for name in self.running():
            sample = self.rng.sample(listed, view) if view else listed
            self.nodes[name].apply_listing(sample, self.now)

    def fill_views(self):
        """Make every view complete, as after hours without changes."""
        updates = [(name, node.me) for name, node in self.nodes.items()]
        for node in self.nodes.values():
            for name, update in updates:
                if name != node.me.name:
                    node._table.merge(update, self.now)

    def running(self):
        absent = self.killed | self.left
        return [name for name in self.nodes if name not in absent]

    def tick(self, count=1):
        for _ in range(count):
            self.now += SECONDS
            for name in self.running():
                if name not in self.frozen:
                    self.tick_node(name)

    def tick_node(self, name):
        node = self.nodes[name]
        for outgoing in node.tick(self.now, self.positions[name]):
            self.exchange(name, outgoing)

    def exchange(self, name, outgoing):
        node = self.nodes[name]
        target = outgoing.name
        answer = self.deliver(name, target, outgoing.heartbeat)
        if answer is None:
            return
        if outgoing.kind is PeerKind.indirect:
            probed = outgoing.probe_target
            if self.deliver(target, probed, self.probe_from(target)):
                node.confirm_reachable(probed)
        node.on_answer(answer, self.now)
        self.pull_newer(name, target)

    def probe_from(self, name):
        return self.nodes[name].heartbeat_to('', self.positions[name])

    def deliver(self, name, target, heartbeat):
        if not self.reaches(name, target):
            return None
        position = self.positions[target]
        answer = self.nodes[target].on_request(heartbeat, self.now, position)
        if not self.reaches(target, name):
            return None
        self.messages += 2
        self.bytes += len(encode_peer(heartbeat)) + len(encode_peer(answer))
        return answer

    def reaches(self, name, target):
        down = self.killed | self.left | self.frozen
        if target not in self.nodes or target in down:
            return False
        if frozenset((name, target)) in self.cuts:
            return False
        return self.rng.random() >= self.loss

    def pull_newer(self, name, target):
        """Copy the newer position, as nodes do after a heartbeat."""
        own, other = self.positions[name], self.positions[target]
        if own < other:
            self.adopt(name, other)
        elif other < own:
            self.adopt(target, own)

    def adopt(self, name, position):
        self.positions[name] = position
        self.adopted.append(name)

    adopted = []

    def spread(self, position, starts, limit):
        """Return the seconds until `position` is on every running node."""
        self.adopted = []
        for name in starts:
            self.adopt(name, position)
        for second in range(limit):
            names, self.adopted = self.adopted, []
            for name in names:
                for outgoing in self.nodes[name].notices(position):
                    self.exchange(name, outgoing)
            if all(self.positions[name] == position for name in self.running()):
                return second
            self.tick()
        return None

    def state_seen(self, viewer, name):
        member = self.nodes[viewer].find(name)
        return None if member is None else member.state

    def missing_pairs(self):
        """Return the pairs (viewer, running node not seen as alive)."""
        running = self.running()
        return [
            (viewer, name)
            for viewer in running
            for name in running
            if viewer != name
            and self.state_seen(viewer, name) != MemberState.alive
        ]

    def stale_pairs(self):
        """Return the pairs (viewer, absent node that it sees as running)."""
        return [
            (viewer, name)
            for viewer in self.running()
            for name in self.killed | self.left
            if self.state_seen(viewer, name)
            in (MemberState.alive, MemberState.suspect)
        ]

    def heal(self):
        self.cuts.clear()
        self.frozen.clear()
        self.loss = 0

    def recovery_seconds(self):
        """Return the seconds within which views are correct after a heal."""
        count = len(self.nodes)
        rechecks = count * self.cfg.recheck_ticks
        suspicion = self.cfg.suspicion_seconds(count) + 2
        return int(rechecks + 2 * count + 2 * suspicion)


def address_of(name):
    return f'10.0.{int(name[-4:]) // 250}.{int(name[-4:]) % 250}:7000'


def node_number(name):
    return int(name[-4:])

"""Members in virtual time over a network that can be cut.

Only the decisions run here; every exchange is a pair of function calls.
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
        zone = 'abc'[hash_of(name) % 3]
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
        """Give every running node the platform's list, or `view` of it."""
        listed = [
            ListedNode(name, address_of(name), 'a', False)
            for name in self.running()
        ]
        for name in self.running():
            some = self.rng.sample(listed, view) if view else listed
            self.nodes[name].apply_listing(some, self.now)

    def fill_views(self):
        """Let each hold each other alive, as after hours without news."""
        mes = [(name, node.me) for name, node in self.nodes.items()]
        for node in self.nodes.values():
            for name, me in mes:
                if name != node.me.name:
                    node._table.merge(me, self.now)

    def running(self):
        gone = self.killed | self.left
        return [name for name in self.nodes if name not in gone]

    def tick(self, count=1):
        for _ in range(count):
            self.now += SECONDS
            for name in self.running():
                if name not in self.frozen:
                    self.tick_one(name)

    def tick_one(self, name):
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
            silent = outgoing.probe_target
            if self.deliver(target, silent, self.probe_of(target)):
                node.confirm_reachable(silent)
        node.on_answer(answer, self.now)
        self.compare(name, target)

    def probe_of(self, name):
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

    def compare(self, name, target):
        """Pull the newer configuration, as nodes do after a heartbeat."""
        one, other = self.positions[name], self.positions[target]
        if one < other:
            self.adopt(name, other)
        elif other < one:
            self.adopt(target, one)

    def adopt(self, name, position):
        self.positions[name] = position
        self.news.append(name)

    news = []

    def spread(self, position, starts, limit):
        """Return the seconds until `position` is on every running node."""
        self.news = []
        for name in starts:
            self.adopt(name, position)
        for second in range(limit):
            fresh, self.news = self.news, []
            for name in fresh:
                for outgoing in self.nodes[name].notices(position):
                    self.exchange(name, outgoing)
            if all(self.positions[one] == position for one in self.running()):
                return second
            self.tick()
        return None

    def held(self, viewer, name):
        member = self.nodes[viewer].find(name)
        return None if member is None else member.state

    def missing_pairs(self):
        """Return pairs (viewer, running node it does not hold alive)."""
        running = self.running()
        return [
            (viewer, name)
            for viewer in running
            for name in running
            if viewer != name and self.held(viewer, name) != MemberState.alive
        ]

    def stale_pairs(self):
        """Return pairs (viewer, killed node it holds to be running)."""
        return [
            (viewer, name)
            for viewer in self.running()
            for name in self.killed | self.left
            if self.held(viewer, name)
            in (MemberState.alive, MemberState.suspect)
        ]

    def heal(self):
        self.cuts.clear()
        self.frozen.clear()
        self.loss = 0

    def bound(self):
        """Return the seconds after a heal until every view is right."""
        count = len(self.nodes)
        rechecks = count * self.cfg.recheck_ticks
        suspicion = self.cfg.suspicion_seconds(count) + 2
        return int(rechecks + 2 * count + 2 * suspicion)


def address_of(name):
    return f'10.0.{int(name[-4:]) // 250}.{int(name[-4:]) % 250}:7000'


def hash_of(name):
    return int(name[-4:])

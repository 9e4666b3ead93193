"""Properties of the membership protocol over arbitrary histories."""

from collections import Counter

from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from crocusroad_core.members import (
    KEY_LIMIT,
    Member,
    Membership,
    MembershipConfig,
    MemberState,
    precedence_of,
    split_range,
    supersedes,
)
from crocusroad_core.members._gossip import GossipQueue
from crocusroad_core.members._table import MemberTable
from crocusroad_wire import Heartbeat, MemberUpdate, encode_peer
from tests.support.peers_net import MembershipNet

MAX_HEARTBEAT_BYTES = 330 + 110  # piggyback, then sender and position
GOSSIP_BYTES_PER_SECOND = 660
EXTRA_GOSSIP_BYTES = 10 * 80  # if over ten messages arrive in a second
NAMES = [f'node-{number:04}' for number in range(5)]

updates = st.builds(
    MemberUpdate,
    st.sampled_from(NAMES[1:3]),
    st.integers(1, 3),
    st.integers(0, 3),
    st.integers(0, 3),
    st.just('10.0.0.1:7000'),
    st.just('a'),
)


@given(st.lists(updates, max_size=12), st.randoms(use_true_random=False))
def check_merge_any_order(history, rng):
    shuffled = [*history, *history]
    rng.shuffle(shuffled)
    tables = [MemberTable(MembershipConfig()) for _ in range(2)]
    for table, order in zip(tables, (history, shuffled), strict=True):
        for update in order:
            table.merge(update, 0)
    for name in NAMES:
        found = [table.find(name) for table in tables]
        precedences = {
            precedence_of(member.update) for member in found if member
        }
        assert (
            len(precedences) <= 1
            and len({member is None for member in found}) == 1
        )


def check_older_incarnation(kind=Membership):
    @settings(report_multiple_bugs=False)
    @given(st.lists(updates, min_size=1, max_size=12))
    def check(history):
        me = MemberUpdate(NAMES[0], 1, 0, 0, '10.0.0.9:7000', 'a')
        node = kind(me, lambda below: 0)
        newest = {}
        for update in history:
            node.on_answer(Heartbeat(update, 0), 0)
            latest = newest.get(update.name, update)
            newest[update.name] = max(latest, update, key=precedence_of)
            for name, latest in newest.items():
                known = node.find(name).update
                assert known.incarnation == latest.incarnation
                has_left = latest.state == MemberState.left
                assert not has_left or known.state == MemberState.left

    check()


@given(st.lists(updates, max_size=20), st.integers(0, 300))
def check_piggyback(history, max_bytes):
    gossip = GossipQueue(3, 10)
    for update in history:
        gossip.add(update)
    taken = gossip.take(max_bytes, ())
    assert len(encode_peer(taken)) <= max_bytes + 3
    assert len(gossip) <= 10


@given(st.integers(1, 40), st.integers(2, 9))
def check_table_bounded(count, limit):
    table = MemberTable(MembershipConfig(limit=limit))
    for number in range(count):
        state = number % 4
        table.merge(MemberUpdate(f'n{number}', 1, 0, state, 'x', 'a'), number)
    assert len(table) <= limit


@given(st.integers(0, 60), st.integers(1, 8))
def check_relay_once(count, width):
    members = [
        Member(MemberUpdate(f'node-{number}', 1, 0, 0, 'x:1', 'a'), 0)
        for number in range(count)
    ]
    reached = []

    def relay(low, high):
        for branch in split_range(members, low, high, width):
            reached.append(branch.head.name)
            relay(branch.low, branch.high)

    relay(0, KEY_LIMIT)
    assert sorted(reached) == sorted(member.name for member in members)


actions = st.lists(
    st.tuples(
        st.sampled_from(
            ['cut', 'mend', 'freeze', 'thaw', 'kill', 'restart', 'leave']
        ),
        st.sampled_from(NAMES),
        st.sampled_from(NAMES),
        st.integers(0, 12),
    ),
    max_size=12,
)


def check_heals(kind=Membership):
    @settings(
        max_examples=60,
        report_multiple_bugs=False,
        phases=[Phase.generate],
    )
    @given(actions, st.integers(0, 3), st.sampled_from([0, 0.1, 0.4]))
    def check(history, seed, loss):
        net = MembershipNet(len(NAMES), seed, kind=kind)
        net.loss = loss
        for action, name, other, seconds in history:
            apply_action(net, action, name, other)
            net.tick(seconds)
        net.heal()
        net.publish_list()
        net.tick(net.recovery_seconds())
        assert not net.missing_pairs(), net.missing_pairs()
        assert not net.stale_pairs(), net.stale_pairs()

    check()


def apply_action(net, action, name, other):
    running = name in net.running()
    if action == 'cut' and name != other:
        net.cuts.add(frozenset((name, other)))
    elif action == 'mend':
        net.cuts.discard(frozenset((name, other)))
    elif action == 'freeze' and running:
        net.frozen.add(name)
    elif action == 'thaw':
        net.frozen.discard(name)
    elif action == 'kill' and running:
        net.kill(name)
    elif action == 'restart':
        net.start(name)
    elif action == 'leave' and running and name not in net.frozen:
        net.leave(name)


def check_split(count, seconds, kind=Membership):
    """After a network partition heals, each half sees the other alive."""
    net = MembershipNet(count, kind=kind)
    names = net.running()
    half = names[: count // 2]
    net.tick(count)
    net.cuts = {
        frozenset((name, other))
        for name in half
        for other in names
        if other not in half
    }
    net.tick(seconds)
    assert net.missing_pairs(), 'the partition was not detected'
    net.heal()
    net.tick(net.recovery_seconds())
    assert not net.missing_pairs(), net.missing_pairs()


def check_sizes(count, seconds):
    """Heartbeats stay within their size while a third of the members fails."""
    net = MembershipNet(count)
    sizes = []
    deliver = net.deliver

    def measured(name, target, heartbeat):
        sizes.append(len(encode_peer(heartbeat)))
        return deliver(name, target, heartbeat)

    net.deliver = measured
    net.tick(5)
    for name in net.running()[::3]:
        net.kill(name)
    net.tick(seconds)
    assert max(sizes) <= MAX_HEARTBEAT_BYTES, max(sizes)
    assert not net.missing_pairs()
    assert not net.stale_pairs()


def check_loss(count, bound):
    """Views are correct in time after a third fails, and gossip is bounded."""
    net = MembershipNet(count)
    net.fill_views()
    net.tick(3)
    for name in net.running()[::3]:
        net.kill(name)
    sent = count_sent(net)
    for second in range(1, bound + 1):
        net.tick()
        worst = max(sent.values())
        assert worst <= GOSSIP_BYTES_PER_SECOND + EXTRA_GOSSIP_BYTES, worst
        sent.clear()
        if second % 5 == 0 and not net.stale_pairs():
            assert not net.missing_pairs()
            return
    raise AssertionError(
        f'{len(net.stale_pairs())} pairs with an absent node are wrong'
    )


def count_sent(net):
    """Count the bytes of gossip sent, by sender."""
    sent = Counter()
    for name, node in net.nodes.items():
        node.heartbeat_to = counted(node.heartbeat_to, name, sent)
    return sent


def counted(heartbeat_to, name, sent):
    def count(to, position, *known):
        heartbeat = heartbeat_to(to, position, *known)
        sent[name] += len(encode_peer(heartbeat.updates))
        return heartbeat

    return count


class NoOrder(Membership):
    """Known bad: applies the update that arrived last."""

    def _merge(self, update, now):
        known = self.find(update.name)
        if known and not supersedes(update, known.update):
            self._table._members[update.name] = known._replace(update=update)
            return
        super()._merge(update, now)


class NoRecheck(Membership):
    """Known bad: never probes a dead member."""

    def _absent_names(self):
        return []


class NoRefutation(Membership):
    """Known bad: does not refute updates about itself."""

    def _refute(self, update):
        """Do nothing."""


VARIANTS = {
    'no order': NoOrder,
    'no recheck': NoRecheck,
    'no refutation': NoRefutation,
}

"""Properties of membership over any history."""

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

HEARTBEAT_BYTES = 330 + 110  # piggyback, then sender and position
HEARSAY_A_SECOND = 660
FIRST_BYTES = 10 * 80  # where more than ten messages come in one second
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
        held = [table.find(name) for table in tables]
        orders = {precedence_of(one.update) for one in held if one}
        assert len(orders) <= 1 and len({one is None for one in held}) == 1


def check_older_incarnation(kind=Membership):
    @settings(report_multiple_bugs=False)
    @given(st.lists(updates, min_size=1, max_size=12))
    def check(history):
        me = MemberUpdate(NAMES[0], 1, 0, 0, '10.0.0.9:7000', 'a')
        node = kind(me, lambda below: 0)
        newest = {}
        for update in history:
            node.on_answer(Heartbeat(update, 0), 0)
            best = newest.get(update.name, update)
            newest[update.name] = max(best, update, key=precedence_of)
            for name, best in newest.items():
                held = node.find(name).update
                assert held.incarnation == best.incarnation
                left = best.state == MemberState.left
                assert not left or held.state == MemberState.left

    check()


@given(st.lists(updates, max_size=20), st.integers(0, 300))
def check_piggyback(history, room):
    hearsay = GossipQueue(3, 10)
    for update in history:
        hearsay.add(update)
    taken = hearsay.take(room, ())
    assert len(encode_peer(taken)) <= room + 3
    assert len(hearsay) <= 10


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
    told = []

    def tell(low, high):
        for branch in split_range(members, low, high, width):
            told.append(branch.head.name)
            tell(branch.low, branch.high)

    tell(0, KEY_LIMIT)
    assert sorted(told) == sorted(one.name for one in members)


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
            act(net, action, name, other)
            net.tick(seconds)
        net.heal()
        net.publish_list()
        net.tick(net.bound())
        assert not net.missing_pairs(), net.missing_pairs()
        assert not net.stale_pairs(), net.stale_pairs()

    check()


def act(net, action, name, other):
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
    """A split of two regions; after the heal each holds the other alive."""
    net = MembershipNet(count, kind=kind)
    names = net.running()
    half = names[: count // 2]
    net.tick(count)
    net.cuts = {
        frozenset((one, other))
        for one in half
        for other in names
        if other not in half
    }
    net.tick(seconds)
    assert net.missing_pairs(), 'the split was not seen'
    net.heal()
    net.tick(net.bound())
    assert not net.missing_pairs(), net.missing_pairs()


def check_sizes(count, seconds):
    """Heartbeats stay bounded while a third of the members is lost."""
    net = MembershipNet(count)
    seen = []
    deliver = net.deliver

    def measured(name, target, heartbeat):
        seen.append(len(encode_peer(heartbeat)))
        return deliver(name, target, heartbeat)

    net.deliver = measured
    net.tick(5)
    for name in net.running()[::3]:
        net.kill(name)
    net.tick(seconds)
    assert max(seen) <= HEARTBEAT_BYTES, max(seen)
    assert not net.missing_pairs()
    assert not net.stale_pairs()


def check_loss(count, bound):
    """A third is lost; every view is right in time and bytes are kept."""
    net = MembershipNet(count)
    net.fill_views()
    net.tick(3)
    for name in net.running()[::3]:
        net.kill(name)
    sent = count_sent(net)
    for second in range(1, bound + 1):
        net.tick()
        worst = max(sent.values())
        assert worst <= HEARSAY_A_SECOND + FIRST_BYTES, worst
        sent.clear()
        if second % 5 == 0 and not net.stale_pairs():
            assert not net.missing_pairs()
            return
    raise AssertionError(f'{len(net.stale_pairs())} pairs are wrong')


def count_sent(net):
    """Count bytes of hearsay sent, by sender."""
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
    """Known bad: takes what came last."""

    def _merge(self, update, now):
        held = self.find(update.name)
        if held and not supersedes(update, held.update):
            self._table._members[update.name] = held._replace(update=update)
            return
        super()._merge(update, now)


class NoRecheck(Membership):
    """Known bad: never probes a member held dead."""

    def _absent_names(self):
        return []


class NoRefutation(Membership):
    """Known bad: does not answer what is held about it."""

    def _refute(self, update):
        """Do nothing."""


VARIANTS = {
    'no order': NoOrder,
    'no recheck': NoRecheck,
    'no refutation': NoRefutation,
}

"""Properties of what an instance believes of routes, replicas and sources."""

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from crocusroad_core.discovery import Registration, ReplicaTable
from crocusroad_core.kv import Entry
from crocusroad_core.retry_budget import RetryBounds, RetryBudget
from crocusroad_core.routes import (
    CurrentRouteTable,
    RequestLimits,
    Route,
    RouteTable,
    WeightedRoundRobin,
    WeightedService,
)
from crocusroad_core.sources import FleetMember, SourceSelector, StoreCopy

RETURN = 2.3  # seconds after the store's return, by the users' pages


def route(name, prefix, services=(('s', 1),), host='h'):
    weighted = tuple(WeightedService(*one) for one in services)
    return Route(name, host, prefix, True, 1.0, 0.1, 1, 2, weighted)


def table(version, routes=()):
    return RouteTable(version, routes, {}, RequestLimits())


def replica(name, service='s', draining=False, born=1):
    return Registration(name, service, f'{name}:1', 'a', 2, draining, 0, born)


prefixes = st.lists(
    st.sampled_from(['/', '/a/', '/a/b/', '/a/b/c/', '/x/', '/x/b/']),
    unique=True,
    max_size=6,
)


@given(
    prefixes=prefixes, path=st.sampled_from(['/a/b/c/1', '/a/q', '/x/b', '/'])
)
def longest_prefix_wins(prefixes, path):
    found = table(1, [route(one, one) for one in prefixes]).find('h', path)
    fitting = [one for one in prefixes if path.startswith(one)]
    expected = max(fitting, key=len, default=None)
    assert (found.name if found else None) == expected
    assert table(1, [route('r', '/')]).find('other', path) is None


@given(versions=st.lists(st.integers(1, 9), max_size=20))
def configuration_never_goes_back(versions):
    adopted = CurrentRouteTable()
    highest = 0
    for now, version in enumerate(versions):
        is_newer = adopted.adopt(table(version), now)
        assert is_newer == (version > highest)
        highest = max(highest, version)
        assert adopted.version == highest


@given(
    weights=st.lists(st.integers(1, 20), min_size=1, max_size=4),
    seed=st.integers(0, 99),
    count=st.integers(1, 200),
)
def turns_follow_weights(weights, seed, count):
    services = tuple((f's{at}', weight) for at, weight in enumerate(weights))
    dealt = dict.fromkeys((name for name, _ in services), 0)
    turns = WeightedRoundRobin(Random(seed).random)
    wanted = route('r', '/', services)
    for _ in range(count):
        dealt[turns.next_service(wanted)] += 1
    total = sum(weights)
    for name, weight in services:
        assert abs(dealt[name] - count * weight / total) <= len(weights)


events = st.lists(
    st.tuples(
        st.sampled_from(['put', 'drain', 'remove', 'lost', 'back']),
        st.sampled_from(['i0', 'i1', 'i2']),
        st.sampled_from([0.0, 0.5, 1.0, 3.0]),
    ),
    min_size=4,
    max_size=30,
)


@settings(max_examples=600)
@given(history=events)
def lapsed_replicas_are_held_until_the_return(history):
    """Against a plain account of the same history."""
    held_table = ReplicaTable()
    now = 100.0
    is_out = False
    back_at = -100.0
    states = {}  # name: ready, draining or the moment of its removal
    for event, name, pause in history:
        now += pause
        held_table.expire(now)
        for one, state in list(states.items()):
            is_sure = not is_out and now >= back_at + RETURN
            if state == 'lapsed' and is_sure:
                del states[one]
        if event in ('put', 'drain'):
            is_draining = event == 'drain'
            held_table.put(name, replica(name, draining=is_draining))
            states[name] = 'draining' if is_draining else 'ready'
        elif event == 'remove':
            held_table.remove(name, now)
            is_sure = not is_out and now >= back_at + RETURN
            if name in states:
                if is_sure or states[name] == 'draining':
                    del states[name]
                else:
                    states[name] = 'lapsed'
        elif event == 'lost':
            held_table.on_store_lost(now)
            is_out = True
        elif is_out:
            held_table.on_store_recovered(now)
            is_out = False
            back_at = now
        used = {one.name for one in held_table.replicas('s')}
        fine = {one for one, state in states.items() if state != 'draining'}
        assert used == fine, (history, used, fine)


@given(
    asks=st.lists(
        st.tuples(
            st.integers(0, 7),
            st.sampled_from([True, True, False]),
            st.sampled_from([0, 0, 0.1, 1.5, 10.5]),
        ),
        min_size=30,
        max_size=300,
    ),
    slack=st.sampled_from([0, 4, 7, 12, 56]),
    share=st.sampled_from([0.0, 0.2]),
)
def repeats_stay_in_bounds(asks, slack, share):
    """Any window of a fleet of eight, whatever each one asks, and when."""
    bounds = RetryBounds(share, slack, 10)

    def start(now):
        budget = RetryBudget(bounds, now)
        budget.set_instances(8)
        return budget

    fleet = [start(100.0) for _ in range(8)]
    windows = []
    now = 100.0
    for place, (number, is_repeat, gap) in enumerate(asks):
        now += gap
        windows.append([now, 0, 0])
        if place == len(asks) // 2:  # the whole fleet restarts once
            fleet = [start(now) for _ in range(8)]
        budget = fleet[number]
        taken = is_repeat and budget.spend('s', now)
        if not is_repeat:
            budget.earn('s', now)
        for window in windows:
            if now - window[0] > bounds.window_seconds:
                continue
            window[1] += not is_repeat
            window[2] += taken
            assert window[2] <= share * window[1] + slack + 1e-6


names = st.lists(
    st.tuples(st.integers(0, 40), st.sampled_from('abc')),
    min_size=1,
    max_size=40,
    unique_by=lambda one: one[0],
)


@given(homes=names, seed=st.integers(0, 9))
def instances_agree_on_readers(homes, seed):
    members = [
        FleetMember(
            f'm{number}', zone, f'10.0.0.{number}:1', 10.0 * (number % 3)
        )
        for number, zone in homes
    ]
    readers = set()
    known_to_readers = []
    for own in members:
        ring = SourceSelector(own)
        shuffled = members[:]
        Random(seed).shuffle(shuffled)
        ring.on_members(shuffled)
        asked = ring.sources(0)
        if ring.is_reader:
            assert not asked
            others = {one.name for one in ring.sources(0, is_disconnected=True)}
            assert own.name not in others
            readers.add(own.name)
            known_to_readers.append(others | {own.name})
        else:
            assert len(asked) >= min(2, len(members) - 1)
            ring.on_fault(asked[0], 0, is_unresponsive=True)
            assert asked[0] not in ring.sources(1)
            assert asked[0] in ring.sources(6)
            for source in asked:
                ring.on_fault(source, 10, is_unresponsive=True)
            assert ring.sources(11) == []  # the store itself
    assert 1 <= len(readers) <= max(2, len(members) // 8)
    assert all(known == readers for known in known_to_readers)


writes = st.lists(
    st.tuples(st.sampled_from('abcd'), st.sampled_from(['1', '2', None])),
    max_size=40,
)


@given(history=writes, cuts=st.lists(st.integers(1, 8), max_size=20))
def followers_of_a_copy_see_the_store(history, cuts):
    """A copy fed in batches, and a follower that asks it now and then."""
    store = {}
    copy = StoreCopy()
    copy.replace([], 0, 0)
    followed = {}
    seen = 0
    batch = []
    left = list(cuts)
    size = left.pop() if left else 3
    for revision, (key, value) in enumerate(history, 1):
        batch.append(Entry(key, value, revision))
        store[key] = value
        if len(batch) < size:
            continue
        copy.apply(batch, revision, revision)
        batch = []
        size = left.pop() if left else 3
        if size % 2:
            for entry in copy.changes_since(seen):
                followed[entry.key] = entry.value
            seen = copy.revision
            assert followed == store
    assert copy.changes_since(-1) is None  # older than the listing

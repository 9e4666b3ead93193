"""Properties of an instance's routes, replicas, retry budget and sources."""

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

REREGISTRATION_SECONDS = 2.3  # after the store recovers, as documented


def route(name, prefix, services=(('s', 1),), host='h'):
    weighted = tuple(WeightedService(*pair) for pair in services)
    return Route(name, host, prefix, True, 1.0, 0.1, 1, 2, weighted)


def table(version, routes=()):
    return RouteTable(version, routes, {}, RequestLimits())


def replica(name, service='s', draining=False, start_time_ms=1):
    return Registration(
        name, service, f'{name}:1', 'a', 2, draining, 0, start_time_ms
    )


prefixes = st.lists(
    st.sampled_from(['/', '/a/', '/a/b/', '/a/b/c/', '/x/', '/x/b/']),
    unique=True,
    max_size=6,
)


@given(
    prefixes=prefixes, path=st.sampled_from(['/a/b/c/1', '/a/q', '/x/b', '/'])
)
def longest_prefix_wins(prefixes, path):
    found = table(1, [route(prefix, prefix) for prefix in prefixes]).find(
        'h', path
    )
    matching = [prefix for prefix in prefixes if path.startswith(prefix)]
    expected = max(matching, key=len, default=None)
    assert (found.name if found else None) == expected
    assert table(1, [route('r', '/')]).find('other', path) is None


@given(versions=st.lists(st.integers(1, 9), max_size=20))
def table_version_never_decreases(versions):
    current = CurrentRouteTable()
    highest = 0
    for now, version in enumerate(versions):
        is_newer = current.adopt(table(version), now)
        assert is_newer == (version > highest)
        highest = max(highest, version)
        assert current.version == highest


@given(
    weights=st.lists(st.integers(1, 20), min_size=1, max_size=4),
    seed=st.integers(0, 99),
    count=st.integers(1, 200),
)
def requests_follow_weights(weights, seed, count):
    services = tuple(
        (f's{number}', weight) for number, weight in enumerate(weights)
    )
    requests = dict.fromkeys((name for name, _ in services), 0)
    round_robin = WeightedRoundRobin(Random(seed).random)
    weighted = route('r', '/', services)
    for _ in range(count):
        requests[round_robin.next_service(weighted)] += 1
    total = sum(weights)
    for name, weight in services:
        assert abs(requests[name] - count * weight / total) <= len(weights)


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
def lapsed_replicas_are_held_after_recovery(history):
    """Compare the table with a simple model of the same history."""
    replica_table = ReplicaTable()
    now = 100.0
    is_store_down = False
    recovered_at = -100.0
    states = {}  # name: ready, draining or lapsed
    for event, name, pause in history:
        now += pause
        replica_table.expire(now)
        for known, state in list(states.items()):
            is_removal_final = (
                not is_store_down
                and now >= recovered_at + REREGISTRATION_SECONDS
            )
            if state == 'lapsed' and is_removal_final:
                del states[known]
        if event in ('put', 'drain'):
            is_draining = event == 'drain'
            replica_table.put(name, replica(name, draining=is_draining))
            states[name] = 'draining' if is_draining else 'ready'
        elif event == 'remove':
            replica_table.remove(name, now)
            is_removal_final = (
                not is_store_down
                and now >= recovered_at + REREGISTRATION_SECONDS
            )
            if name in states:
                if is_removal_final or states[name] == 'draining':
                    del states[name]
                else:
                    states[name] = 'lapsed'
        elif event == 'lost':
            replica_table.on_store_lost(now)
            is_store_down = True
        elif is_store_down:
            replica_table.on_store_recovered(now)
            is_store_down = False
            recovered_at = now
        used = {entry.name for entry in replica_table.replicas('s')}
        expected = {
            known for known, state in states.items() if state != 'draining'
        }
        assert used == expected, (history, used, expected)


@given(
    attempts=st.lists(
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
def retries_stay_in_bounds(attempts, slack, share):
    """Check the retries of eight instances in every window of attempts."""
    bounds = RetryBounds(share, slack, 10)

    def start(now):
        budget = RetryBudget(bounds, now)
        budget.set_instances(8)
        return budget

    fleet = [start(100.0) for _ in range(8)]
    windows = []
    now = 100.0
    for index, (number, is_retry, gap) in enumerate(attempts):
        now += gap
        windows.append([now, 0, 0])
        if index == len(attempts) // 2:  # the whole fleet restarts once
            fleet = [start(now) for _ in range(8)]
        budget = fleet[number]
        is_spent = is_retry and budget.spend('s', now)
        if is_spent:
            budget.settle('s', now, has_arrived=True)
        if not is_retry:
            budget.earn('s', now)
        for window in windows:
            if now - window[0] > bounds.window_seconds:
                continue
            window[1] += not is_retry
            window[2] += is_spent
            assert window[2] <= share * window[1] + slack + 1e-6


names = st.lists(
    st.tuples(st.integers(0, 40), st.sampled_from('abc')),
    min_size=1,
    max_size=40,
    unique_by=lambda home: home[0],
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
    readers_by_reader = []
    for own in members:
        selector = SourceSelector(own)
        shuffled = members[:]
        Random(seed).shuffle(shuffled)
        selector.on_members(shuffled)
        sources = selector.sources(0)
        if selector.is_reader:
            assert not sources
            others = {
                reader.name
                for reader in selector.sources(0, is_disconnected=True)
            }
            assert own.name not in others
            readers.add(own.name)
            readers_by_reader.append(others | {own.name})
        else:
            assert len(sources) >= min(2, len(members) - 1)
            selector.on_fault(sources[0], 0, is_unresponsive=True)
            assert sources[0] not in selector.sources(1)
            assert sources[0] in selector.sources(6)
            for source in sources:
                selector.on_fault(source, 10, is_unresponsive=True)
            assert selector.sources(11) == []  # the store is read directly
    assert 1 <= len(readers) <= max(2, len(members) // 8)
    assert all(known == readers for known in readers_by_reader)


writes = st.lists(
    st.tuples(st.sampled_from('abcd'), st.sampled_from(['1', '2', None])),
    max_size=40,
)


@given(history=writes, cuts=st.lists(st.integers(1, 8), max_size=20))
def copy_followers_match_the_store(history, cuts):
    """Compare a follower that reads a batched copy at times with the store."""
    store = {}
    copy = StoreCopy()
    copy.replace([], 0, 0)
    followed = {}
    seen_revision = 0
    batch = []
    remaining = list(cuts)
    size = remaining.pop() if remaining else 3
    for revision, (key, value) in enumerate(history, 1):
        batch.append(Entry(key, value, revision))
        store[key] = value
        if len(batch) < size:
            continue
        copy.apply(batch, revision, revision)
        batch = []
        size = remaining.pop() if remaining else 3
        if size % 2:
            for entry in copy.changes_since(seen_revision):
                followed[entry.key] = entry.value
            seen_revision = copy.revision
            assert followed == store
    assert copy.changes_since(-1) is None  # before the listing

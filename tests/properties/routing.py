"""Properties of routing, the extra load budget and connection quotas."""

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from crocusroad_core.fronts import Replica
from crocusroad_core.gather import FailureReason
from crocusroad_core.links import (
    RecentInstances,
    SilentConnectionDetector,
    connection_quota,
)
from crocusroad_core.routing import ExtraLoadBudget, HealthReport, Router

REPLICAS = tuple(
    Replica(f'r{number}', f'127.0.0.1:{number}', 'abc'[number % 3], 2, 25)
    for number in range(4)
)


def extra_attempts_within_budget(make_budget=ExtraLoadBudget):
    @settings(report_multiple_bugs=False)
    @given(
        share=st.sampled_from([0, 0.05, 0.3, 1]),
        history=st.lists(st.sampled_from(['first', 'extra'])),
    )
    def check(share, history):
        budget = make_budget(share)
        windows = [[0, 0]]
        for event in history:
            windows.append([0, 0])
            if event == 'first':
                budget.on_first(0)
            taken = event == 'extra' and budget.spend(0)
            for window in windows:
                window[0] += event == 'first'
                window[1] += taken
                assert window[1] <= 10 + share * window[0] + 1e-6, history

    check()


@given(share=st.sampled_from([0.05, 0.3]), requests=st.lists(st.booleans()))
def sent_extra_attempts_within_budget(share, requests):
    budget = ExtraLoadBudget(share)
    first = extra = 0
    for is_extra in requests:
        if is_extra and not budget.spend(0):
            continue
        budget.on_sent(0)
        first += not is_extra
        extra += is_extra
        assert extra <= 10 + share * first + 1e-6


SIGNS = ('listed', 'health', 'answer', 'refusal')
events = st.tuples(
    st.sampled_from(
        [*SIGNS, 'reply', 'failure', 'sent', 'unhealthy', 'healthy']
    ),
    st.integers(0, 3),
    st.floats(0, 2),
)


def leaving_replicas_get_no_work(make_router=Router):
    @settings(report_multiple_bugs=False)
    @given(
        history=st.lists(events, max_size=40),
        tried=st.sets(st.integers(0, 3), max_size=3),
        seed=st.integers(0, 99),
    )
    def check(history, tried, seed):
        """Each pick is a candidate; none leaves while another stays."""
        router = make_router('a', Random(seed).random)
        now = 100.0
        signs = {}
        for event, number, pause in history:
            now += pause
            play(router, event, REPLICAS[number], now)
            if event in SIGNS:
                signs[number] = now
            leaving = {one for one, when in signs.items() if now - when < 15}
            whole = router.pick('s', REPLICAS, now)
            assert whole in REPLICAS
            if len(leaving) < len(REPLICAS):
                assert REPLICAS.index(whole) not in leaving
            rest = tuple(
                one for place, one in enumerate(REPLICAS) if place not in tried
            )
            chosen = router.pick('s', rest, now)
            assert chosen is None or chosen in rest
            if chosen is not None and len(leaving) < len(REPLICAS):
                assert REPLICAS.index(chosen) not in leaving

    check()


def play(router, event, replica, now):
    if event == 'listed':
        router.on_leaving({replica.name}, now)
        router.on_draining(replica, now)
    elif event in ('health', 'unhealthy', 'healthy'):
        report = HealthReport(event != 'unhealthy', event == 'health', 1.0)
        router.on_health(replica, report, now)
    elif event == 'answer':
        router.on_draining(replica, now)
    elif event == 'refusal':
        router.on_failure(replica, FailureReason.draining, 0.001, now)
    elif event == 'reply':
        router.on_reply(replica, 0.01, 0.5, now)
    elif event == 'failure':
        router.on_failure(replica, FailureReason.broken, 0.01, now)
    else:
        router.on_sent(replica, now)


def quotas_within_connection_limit(quota=connection_quota):
    @settings(report_multiple_bugs=False)
    @given(
        old=st.integers(1, 40),
        new=st.integers(0, 40),
        connections=st.integers(1, 120),
        data=st.data(),
    )
    def check(old, new, connections, data):
        """Quotas fit if each instance lists at least half of those running."""
        running = [f'node-{number}' for number in range(old + new)]
        listed = data.draw(
            st.sampled_from([len(running), -(-len(running) // 2)]), 'listed'
        )
        replica = Replica('r', '127.0.0.1:1', 'a', 2, connections)
        first = frozenset(running[:listed])
        last = frozenset(running[-listed:])
        views = [first if name in first else last for name in running]
        held = [
            quota(name, view, replica)
            for name, view in zip(running, views, strict=True)
        ]
        assert sum(held) <= connections, (held, connections)

    check()


@given(
    lists=st.lists(
        st.tuples(st.sets(st.sampled_from('abcd')), st.floats(0, 40)),
    ),
)
def instances_are_held_after_leaving(lists):
    """Instances listed in the last 60 s and the own one are counted."""
    view = RecentInstances('own')
    now = 100.0
    listed_at = {}
    for names, pause in lists:
        now += pause
        before = (view.names, view.version)
        view.on_list(names, now)
        listed_at |= dict.fromkeys(names, now)
        recent = {name for name, at in listed_at.items() if now - at <= 60}
        assert recent | {'own'} == view.names
        assert view.version > before[1] or view.names == before[0]


@given(
    reports=st.lists(
        st.tuples(st.sampled_from(['silent', 'old', 'new']), st.floats(0, 6)),
    ),
)
def two_silent_connections_are_needed(reports):
    """One silent connection is no evidence, nor two with an older answer."""
    detector = SilentConnectionDetector()
    now = 100.0
    silent = []
    for event, pause in reports:
        now += pause
        if event == 'silent':
            silent = [at for at in silent if now - at < 10] + [now]
            is_evidence = detector.on_silent(now)
            assert is_evidence == (len(silent) >= 2)
            assert not is_evidence or detector.is_presumed_dead(now - 0.001)
            assert not detector.is_presumed_dead(now + 0.001)
            silent = [] if is_evidence else silent
        else:
            detector.on_answer(0.0 if event == 'old' else now)
            silent = [] if event == 'old' else silent


# Names and addresses that are reused by other replicas and shards.
shard_histories = st.lists(
    st.tuples(
        st.sampled_from(['s0', 's1', 's2']),
        st.lists(
            st.tuples(st.sampled_from('abcdef'), st.integers(1, 4)),
            min_size=1,
            max_size=3,
            unique=True,
        ),
        st.booleans(),
    ),
    min_size=2,
    max_size=12,
)


@given(history=shard_histories, draw=st.floats(0, 0.99))
def pick_is_a_candidate(history, draw):
    """A pick is one of the candidates, also if addresses are reused."""
    router = Router('a', lambda: draw)
    for now, (shard, addresses, is_configured) in enumerate(history):
        replicas = tuple(
            Replica(name, f'127.0.0.1:{port}', 'a', 2, 25)
            for name, port in addresses
        )
        if is_configured:
            router.on_front(shard, replicas, now)
        for candidates in (replicas, replicas[:1]):
            picked = router.pick(shard, candidates, now)
            assert picked in candidates, (shard, candidates, picked)
            router.on_sent(picked, now)
            router.on_reply(picked, 0.01, None, now)

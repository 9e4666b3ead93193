"""Properties that bound the crashes caused by a poison request."""

from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from crocusroad_core.fronts import Replica, ShardMap
from crocusroad_core.poison import (
    PoisonTracker,
    TtlCache,
    canary_order,
    suspect_upstreams,
)

SHARDS = 3
MAP = ShardMap(
    1,
    {
        f's{shard}': tuple(
            Replica(f's{shard}r{copy}', '127.0.0.1:1', 'a', 2, 25)
            for copy in range(2)
        )
        for shard in range(SHARDS)
    },
)
UPSTREAMS = [replica.name for shard in MAP.shards.values() for replica in shard]
GENERATE_ONLY = settings(
    phases=[Phase.generate]
)  # known-bad variants: no shrinking
DOWN_STEPS = 6  # until a crashed upstream is up again


class Fleet:
    """Instances that share upstreams; a crash fails all queries on one."""

    def __init__(self, instances, variant, is_report_lost):
        self.trackers = [PoisonTracker() for _ in range(instances)]
        self.variant, self.is_report_lost = variant, is_report_lost
        self.now = 0.0
        self.down = {}  # upstream -> step at which it is up again
        self.crashed = set()
        self.running = []

    def is_up(self, name):
        return self.down.get(name, 0) <= self.now

    def crash(self, name):
        self.crashed.add(name)
        self.down[name] = self.now + DOWN_STEPS
        for query in self.running:
            if query.target == name:
                query.has_crashed = True

    def publish(self, source, report):
        if report is None or self.is_report_lost():
            return
        for tracker in self.trackers:
            if tracker is not source:
                tracker.on_report(report, self.now)


class Query:
    """One search at one instance, advanced in steps."""

    def __init__(self, fleet, instance, name, crashes):
        self.fleet, self.name, self.crashes = fleet, name, crashes
        self.tracker = fleet.trackers[instance]
        self.target, self.has_crashed, self.outcome = None, False, None
        self.tried, self.late_reports = [], []
        self.step = self.start

    def start(self):
        fleet, tracker = self.fleet, self.tracker
        if tracker.check(self.name, fleet.now):
            return self.finish('refused')
        if self.fleet.variant == 'no-canary':
            return self.fan_out()
        for target in self.targets():
            if not fleet.is_up(target):
                continue
            self.run = tracker.begin_run(self.name, target, fleet.now)
            if self.run:
                self.target, self.has_crashed = target, False
                self.tried.append(target)
                fleet.running.append(self)
                self.step = self.end
                return None
        return self.finish('unavailable')

    def targets(self):
        if self.tracker.is_suspect(self.name, self.fleet.now):
            names = suspect_upstreams(self.name, MAP)
        else:
            order = canary_order(self.name, MAP)
            names = [
                replica.name for shard in order for replica in shard.replicas
            ]
        return [name for name in names if name not in self.tried]

    def fan_out(self):
        for name in UPSTREAMS[::2]:
            if self.crashes:
                self.fleet.crash(name)
        return self.finish('crashed' if self.crashes else 'answered')

    def end(self):
        fleet = self.fleet
        if self.crashes and not self.has_crashed:
            fleet.crash(self.target)
        fleet.running.remove(self)
        self.tracker.end_run(self.run)
        if not self.has_crashed:
            self.tracker.on_answer(self.name, fleet.now)
            return self.finish('answered')
        report = self.tracker.on_crash(
            self.name,
            self.target,
            fleet.now,
            is_canary=True,
        )
        if fleet.variant == 'report-late':
            self.late_reports.append(report)
        else:
            fleet.publish(self.tracker, report)
        self.target, self.step = None, self.start
        if len(self.tried) == 2:
            return self.finish('given up')
        return None

    def finish(self, outcome):
        for report in self.late_reports:
            self.fleet.publish(self.tracker, report)
        self.outcome = outcome


def play(data, variant='', is_report_lost=lambda: False, repeats=24):
    """Interleave poison and harmless requests over several instances."""
    fleet = Fleet(4, variant, is_report_lost)
    queries, done, crashes = [], [], {}
    for _ in range(data.draw(st.integers(1, repeats))):
        fleet.now += 1
        if data.draw(st.booleans()) or not queries:
            name = data.draw(st.sampled_from(('poison', 'i1', 'i2', 'i3')))
            instance = data.draw(st.integers(0, 3))
            queries.append(Query(fleet, instance, name, name == 'poison'))
        query = data.draw(st.sampled_from(queries))
        target = query.target
        query.step()
        if query.has_crashed and target is not None:
            crashes.setdefault(query.name, set()).add(target)
        if query.outcome:
            queries.remove(query)
            done.append(query)
    return fleet, done, crashes


@given(st.data())
def at_most_two_upstreams_crash(data):
    fleet, _, _ = play(data)
    assert len(fleet.crashed) <= 2, fleet.crashed


@GENERATE_ONLY
@given(st.data())
def two_upstreams_without_canaries(data):
    fleet, _, _ = play(data, 'no-canary')
    assert len(fleet.crashed) <= 2, fleet.crashed


@GENERATE_ONLY
@given(st.data())
def two_upstreams_with_late_reports(data):
    fleet, _, _ = play(data, 'report-late', repeats=40)
    assert len(fleet.crashed) <= 2, fleet.crashed


@given(st.data())
def harmless_requests_need_two_crashes(data):
    """A harmless request is refused only after two upstreams crashed in it."""
    _, done, crashes = play(
        data, is_report_lost=lambda: data.draw(st.booleans())
    )
    for query in done:
        if query.outcome == 'refused' and query.name != 'poison':
            assert len(crashes.get(query.name, ())) >= 2, crashes


@given(st.lists(st.integers(0, 200), max_size=200), st.integers(1, 20))
def caches_are_bounded(keys, size):
    cache = TtlCache(size, 10.0)
    for now, key in enumerate(keys):
        cache.put(str(key), True, float(now))
        assert len(cache) <= size
        assert cache.get(str(key), float(now))
        assert cache.get(str(key), now + 10.0) is None


@given(st.lists(st.sampled_from(UPSTREAMS), max_size=20))
def fan_out_crashes_alone_never_quarantine(names):
    """The loss of a zone, however large, quarantines no harmless request."""
    tracker = PoisonTracker()
    tracker.on_answer('innocent', 0.0)
    for name in names:
        tracker.on_crash('innocent', name, 1.0, is_canary=False)
        assert tracker.check('innocent', 1.0) is None
    assert tracker.needs_canary('innocent', 1.0) == bool(names)
    tracker.on_answer('innocent', 2.0)
    assert not tracker.needs_canary('innocent', 2.0)


@given(st.lists(st.tuples(st.sampled_from('abc'), st.booleans()), max_size=40))
def suspects_never_share_an_upstream(history):
    """Two suspects never share an upstream; an ended run frees it."""
    tracker, held = PoisonTracker(), []
    for name, is_end in history:
        if is_end and held:
            tracker.end_run(held.pop())
            continue
        if name != 'c':  # no suspect, so it may share
            tracker.on_crash(name, 'X', 0.0, is_canary=True)
        run = tracker.begin_run(name, 'U', 0.0)
        suspects = {active.fingerprint for active in held if active.is_suspect}
        assert (run is None) == bool(name != 'c' and suspects - {name})
        held.extend([run] if run else [])
    for run in held:
        tracker.end_run(run)
    tracker.on_crash('d', 'X', 0.0, is_canary=True)
    assert tracker.begin_run('d', 'U', 0.0)

"""A fleet of books of crashes, and what bounds a poison request."""

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
            Replica(f's{shard}r{one}', '127.0.0.1:1', 'a', 2, 25)
            for one in range(2)
        )
        for shard in range(SHARDS)
    },
)
UPSTREAMS = [one.name for shard in MAP.shards.values() for one in shard]
FIND = settings(phases=[Phase.generate])  # a known-bad variant: no shrinking
DOWN_STEPS = 6  # until a crashed upstream is back


class Fleet:
    """Instances that share upstreams; each crash kills what runs there."""

    def __init__(self, instances, variant, loses):
        self.trackers = [PoisonTracker() for _ in range(instances)]
        self.variant, self.loses = variant, loses
        self.now = 0.0
        self.down = {}  # upstream -> step at which it is back
        self.crashed = set()
        self.running = []

    def is_up(self, name):
        return self.down.get(name, 0) <= self.now

    def crash(self, name):
        self.crashed.add(name)
        self.down[name] = self.now + DOWN_STEPS
        for query in self.running:
            if query.at == name:
                query.is_broken = True

    def publish(self, source, report):
        if report is None or self.loses():
            return
        for tracker in self.trackers:
            if tracker is not source:
                tracker.on_report(report, self.now)


class Query:
    """One search at one instance, advanced in steps."""

    def __init__(self, fleet, instance, name, crashes):
        self.fleet, self.name, self.crashes = fleet, name, crashes
        self.tracker = fleet.trackers[instance]
        self.at, self.is_broken, self.outcome = None, False, None
        self.tried, self.late = [], []
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
                self.at, self.is_broken = target, False
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
            names = [one.name for part in order for one in part.replicas]
        return [name for name in names if name not in self.tried]

    def fan_out(self):
        for name in UPSTREAMS[::2]:
            if self.crashes:
                self.fleet.crash(name)
        return self.finish('crashed' if self.crashes else 'answered')

    def end(self):
        fleet = self.fleet
        if self.crashes and not self.is_broken:
            fleet.crash(self.at)
        fleet.running.remove(self)
        self.tracker.end_run(self.run)
        if not self.is_broken:
            self.tracker.on_answer(self.name, fleet.now)
            return self.finish('answered')
        report = self.tracker.on_crash(
            self.name,
            self.at,
            fleet.now,
            is_canary=True,
        )
        if fleet.variant == 'report-late':
            self.late.append(report)
        else:
            fleet.publish(self.tracker, report)
        self.at, self.step = None, self.start
        if len(self.tried) == 2:
            return self.finish('given up')
        return None

    def finish(self, outcome):
        for report in self.late:
            self.fleet.publish(self.tracker, report)
        self.outcome = outcome


def play(data, variant='', loses=lambda: False, repeats=24):
    """Interleave repeats of one poison and innocents over instances."""
    fleet = Fleet(4, variant, loses)
    queries, done, broken = [], [], {}
    for _ in range(data.draw(st.integers(1, repeats))):
        fleet.now += 1
        if data.draw(st.booleans()) or not queries:
            name = data.draw(st.sampled_from(('poison', 'i1', 'i2', 'i3')))
            instance = data.draw(st.integers(0, 3))
            queries.append(Query(fleet, instance, name, name == 'poison'))
        query = data.draw(st.sampled_from(queries))
        at = query.at
        query.step()
        if query.is_broken and at is not None:
            broken.setdefault(query.name, set()).add(at)
        if query.outcome:
            queries.remove(query)
            done.append(query)
    return fleet, done, broken


@given(st.data())
def two_upstreams_in_a_connected_fleet(data):
    fleet, _, _ = play(data)
    assert len(fleet.crashed) <= 2, fleet.crashed


@FIND
@given(st.data())
def two_upstreams_without_canaries(data):
    fleet, _, _ = play(data, 'no-canary')
    assert len(fleet.crashed) <= 2, fleet.crashed


@FIND
@given(st.data())
def two_upstreams_with_late_reports(data):
    fleet, _, _ = play(data, 'report-late', repeats=40)
    assert len(fleet.crashed) <= 2, fleet.crashed


@given(st.data())
def innocents_need_two_crashes(data):
    """An innocent is refused only if two upstreams broke under it."""
    _, done, broken = play(data, loses=lambda: data.draw(st.booleans()))
    for query in done:
        if query.outcome == 'refused' and query.name != 'poison':
            assert len(broken.get(query.name, ())) >= 2, broken


@given(st.lists(st.integers(0, 200), max_size=200), st.integers(1, 20))
def tables_are_bounded(keys, size):
    table = TtlCache(size, 10.0)
    for now, key in enumerate(keys):
        table.put(str(key), True, float(now))
        assert len(table) <= size
        assert table.get(str(key), float(now))
        assert table.get(str(key), now + 10.0) is None


@given(st.lists(st.sampled_from(UPSTREAMS), max_size=20))
def a_fan_out_alone_never_quarantines(names):
    """However many upstreams a lost zone takes along."""
    tracker = PoisonTracker()
    tracker.on_answer('innocent', 0.0)
    for name in names:
        tracker.on_crash('innocent', name, 1.0, is_canary=False)
        assert tracker.check('innocent', 1.0) is None
    assert tracker.needs_canary('innocent', 1.0) == bool(names)
    tracker.on_answer('innocent', 2.0)
    assert not tracker.needs_canary('innocent', 2.0)


@given(st.lists(st.tuples(st.sampled_from('abc'), st.booleans()), max_size=40))
def suspects_run_apart(history):
    """Two suspects never share an upstream; each leaves room behind."""
    tracker, held = PoisonTracker(), []
    for name, is_end in history:
        if is_end and held:
            tracker.end_run(held.pop())
            continue
        if name != 'c':  # stays innocent, so it may share
            tracker.on_crash(name, 'X', 0.0, is_canary=True)
        run = tracker.begin_run(name, 'U', 0.0)
        suspects = {one.fingerprint for one in held if one.is_suspect}
        assert (run is None) == bool(name != 'c' and suspects - {name})
        held.extend([run] if run else [])
    for run in held:
        tracker.end_run(run)
    tracker.on_crash('d', 'X', 0.0, is_canary=True)
    assert tracker.begin_run('d', 'U', 0.0)

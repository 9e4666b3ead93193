"""Repeats that reach a service in any window, over all instances of a fleet.

A simulation in virtual time: replicas hold requests for seconds, instances
restart in series, and the load changes. It is judged as `tests.site` is.
"""

import heapq
import itertools
from bisect import bisect_left, bisect_right
from random import Random
from typing import NamedTuple

from hypothesis import example, given
from hypothesis import strategies as st

from crocusroad_core.retry_budget import OpenRetries, RetryBounds, RetryBudget
from crocusroad_core.retry_budget._recent_count import BUCKETS, RecentCount

BOUNDS = RetryBounds(ratio=0.2, slack=56, window_seconds=10)
INSTANCES = 8
START_SECONDS = 100.0
END_SECONDS = 145.0
ANSWER_SECONDS = 0.05
MAX_REPEATS = 2  # of a request
HEDGE_SECONDS = 0.1
RESTART_SECONDS = 0.7


class Hold(NamedTuple):
    """A time in which a share of the replicas answers nothing."""

    start: float
    seconds: float
    share: float

    def arrival(self, at, draw):
        """Return when an attempt arrives that is sent at a time."""
        is_held = self.start <= at < self.start + self.seconds
        return self.start + self.seconds if is_held and draw else at


class Story(NamedTuple):
    """The load of a fleet, and what happens to it."""

    rate: float  # requests a second
    deadline: float  # seconds
    loads: tuple[float, ...]  # factors of the rate, in turn
    holds: tuple[Hold, ...]
    restarts: tuple[tuple[float, int], ...]  # times and instances; 8 is all
    lost_share: float = 0  # of the answers
    seed: int = 1


class Try:
    """A request at an instance."""

    def __init__(self, instance, deadline):
        self.instance = instance
        self.deadline = deadline
        self.arrivals = []
        self.open_count = 0
        self.repeats = 0
        self.unsettled = 0
        self.is_answered = False
        self.backoff = HEDGE_SECONDS


class Instance:
    """An instance that restarts with a new budget."""

    def __init__(self, now):
        self.restart(now)

    def restart(self, now):
        self.started_at = now
        self.budget = RetryBudget(BOUNDS, now)
        self.budget.set_instances(INSTANCES)


class Site:
    """Plays a story; `sent` and `extras` are the times that count."""

    def __init__(self, story):
        self._story = story
        self._rng = Random(story.seed)
        self._serials = itertools.count()
        self._events = []
        self._tries = []
        self._instances = [Instance(START_SECONDS) for _ in range(INSTANCES)]
        self.sent = []
        self._at(START_SECONDS, self._send_next)
        for at, number in story.restarts:
            self._at(START_SECONDS + at, self._restart, number)

    def play(self):
        while self._events:
            now, _, function, args = heapq.heappop(self._events)
            function(now, *args)

    @property
    def extras(self):
        return sorted(
            at for item in self._tries for at in sorted(item.arrivals)[1:]
        )

    def _at(self, at, function, *args):
        heapq.heappush(self._events, (at, next(self._serials), function, args))

    def _send_next(self, now):
        if now >= END_SECONDS:
            return
        loads = self._story.loads
        load = loads[int((now - START_SECONDS) // 5) % len(loads)]
        gap = self._rng.expovariate(self._story.rate * load)
        self._at(now + gap, self._send_next)
        instance = self._rng.choice(self._instances)
        if now < instance.started_at:
            return
        self.sent.append(now)
        instance.budget.earn('s', now)
        item = Try(instance, now + self._story.deadline)
        self._tries.append(item)
        self._attempt(now, item)
        self._at(now + HEDGE_SECONDS, self._hedge, item, instance.budget)

    def _attempt(self, now, item):
        arrival = now
        for hold in self._story.holds:
            arrival = hold.arrival(arrival, self._rng.random() < hold.share)
        item.arrivals.append(arrival)
        item.open_count += 1
        end = arrival + ANSWER_SECONDS
        budget = item.instance.budget
        # An attempt is given up at the deadline, wherever it is.
        is_known = end < item.deadline
        self._at(min(end, item.deadline), self._end, item, budget, is_known)

    def _hedge(self, now, item, budget):
        if item.is_answered or now >= item.deadline:
            return
        if budget is not item.instance.budget or item.repeats == MAX_REPEATS:
            return
        if budget.spend('s', now):
            item.repeats += 1
            item.unsettled += 1
            self._attempt(now, item)
        else:
            item.backoff *= 2
        self._at(now + item.backoff, self._hedge, item, budget)

    def _end(self, now, item, budget, is_known):
        item.open_count -= 1
        if is_known and self._rng.random() >= self._story.lost_share:
            item.is_answered = True
        if not item.open_count:
            for _ in range(item.unsettled):
                budget.settle('s', now, has_arrived=is_known)
            item.unsettled = 0

    def _restart(self, now, number):
        chosen = self._instances
        if number < INSTANCES:
            chosen = [self._instances[number]]
        for instance in chosen:
            instance.restart(now + RESTART_SECONDS)


def worst_window(story):
    """Return the repeats and the bound of the window nearest to it."""
    site = Site(story)
    site.play()
    extras, sent, window = site.extras, site.sent, BOUNDS.window_seconds
    worst = (0, 1)
    for end in extras:
        start = end - window
        extra = bisect_right(extras, end) - bisect_left(extras, start)
        requests = max(
            bisect_right(sent, end - shift) - bisect_left(sent, start - shift)
            for shift in (0, window / 2, window)
        )
        allowed = BOUNDS.ratio * requests + BOUNDS.slack
        worst = max(worst, (extra, allowed), key=lambda pair: pair[0] / pair[1])
    return worst


loads = st.lists(st.sampled_from([0.2, 1, 2.5, 3]), min_size=1, max_size=6).map(
    tuple
)
restarts = st.lists(
    st.tuples(st.floats(8, 35), st.integers(0, INSTANCES)), max_size=30
).map(tuple)
holds = st.lists(
    st.builds(
        Hold,
        st.floats(START_SECONDS + 8, START_SECONDS + 30),
        st.floats(4.5, 8),
        st.sampled_from([0.3, 0.6, 1]),
    ),
    max_size=2,
).map(tuple)
stories = st.builds(
    Story,
    st.sampled_from([4, 11.2, 45]),
    st.sampled_from([0.8, 2.5, 10]),
    loads,
    holds,
    restarts,
    st.sampled_from([0, 0.3, 0.9]),
    st.integers(1, 99),
)


def check(story):
    extra, allowed = worst_window(story)
    assert extra <= allowed, (extra, allowed)


@example(Story(45, 2.5, (2.5, 1), (Hold(120.15, 6.587, 1),), (), 0.9, 86))
@given(story=stories.map(lambda story: story._replace(restarts=())))
def repeats_that_arrive_late_stay_bounded(story):
    check(story)


@example(
    Story(
        45,
        2.5,
        (2.5,),
        (Hold(118.63, 6.82, 1),),
        tuple((20.38 + 3.3 * turn, INSTANCES) for turn in range(5)),
        0.9,
        10,
    )
)
@example(
    Story(
        45,
        10,
        (1,),
        (
            Hold(110.03094525734836, 6.674294464663005, 1),
            Hold(115.8667471852695, 6.412355271332613, 1),
        ),
        ((22.24495285991484, INSTANCES),),
        0.3,
        67,
    )
)
@given(story=stories)
def repeats_stay_bounded_over_restarts_in_series(story):
    check(story)


class SettledBudgets:
    """Counts the tokens that are spent and settled."""

    def __init__(self):
        self.spent = self.settled = self.not_arrived = 0

    def budget(self, service):
        return self

    def spend(self, service, now):
        self.spent += 1
        return True

    def settle(self, service, now, *, has_arrived):
        self.settled += 1
        self.not_arrived += not has_arrived


@given(
    attempts=st.lists(st.booleans(), min_size=1, max_size=5),
    is_first_ended=st.booleans(),
)
def tokens_are_settled_when_the_last_attempt_has_ended(
    attempts, is_first_ended
):
    budgets = SettledBudgets()
    retries = OpenRetries(budgets)
    running = [] if is_first_ended else [0]
    for serial, _ in enumerate(attempts, 1):
        retries.spend('s', 0)
        running.append(serial)
        retries.on_sent('s', running)
    retries.on_finish(1)
    for serial in running:
        assert budgets.settled == 0
        has_arrived = not serial or attempts[serial - 1]
        retries.on_end('s', serial, 2, has_arrived=has_arrived)
    assert budgets.settled == budgets.spent == len(attempts)
    assert bool(budgets.not_arrived) is not all(attempts)


def token_of_an_attempt_never_sent_is_settled():
    budgets = SettledBudgets()
    retries = OpenRetries(budgets)
    retries.spend('s', 0)
    retries.on_finish(1)
    assert (budgets.settled, budgets.not_arrived) == (1, 0)


@given(
    seconds=st.tuples(st.sampled_from((2, 10)), st.sampled_from((2, 10))),
    count=st.integers(1, 300),
)
def counts_of_requests_end_with_their_window(seconds, count):
    former, window = seconds
    counted = RecentCount()
    for number in range(count):
        counted.add(1000 + number / 10, former)
    start = 1000 + count / 10
    for number in range(10 * window):
        counted.add(start + number / 10, window)
    end = start + window
    assert counted.total(end, window) <= 10 * (window + 0.1)
    assert len(counted._buckets) <= BUCKETS

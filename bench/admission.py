"""Limits compared on a model of slots, in virtual time.

Run: python -m bench.admission
"""

import heapq
from random import Random
from typing import NamedTuple

from returns.result import Success

from crocusroad_core.admission import (
    AdmissionController,
    ConcurrencyLimit,
    LiveInstanceCount,
)
from crocusroad_core.admission._limit import _KindLatency
from crocusroad_core.fronts import Caller, Front, RequestKind

SLOTS = 16
MEAN_SECONDS = 0.05
SECONDS = 40.0
WARM_UP_SECONDS = 10.0
CAPACITY = SLOTS / MEAN_SECONDS  # requests a second


class Mix(NamedTuple):
    """One request kind and its share of capacity at load 1."""

    kind: RequestKind
    share: float


def _kind(name, worth, deadline):
    return RequestKind(name, worth, deadline, True, 10**6)


MIXES = (
    Mix(_kind('urgent', 10, 0.3), 0.4),
    Mix(_kind('normal', 3, 0.5), 0.3),
    Mix(_kind('bulk', 1, 1.0), 0.3),
)
FRONT = Front('front', 1, {}, {}, {})
CALLER = Caller('caller', '', 10**6)


class FixedLimit(ConcurrencyLimit):
    """A limit that learns nothing."""

    def __init__(self, limit):
        super().__init__()
        self._limit = limit

    def on_answer(self, kind, seconds, in_flight, now):
        """Learn nothing."""


class AimdLimit(ConcurrencyLimit):
    """A limit that grows by one a round and backs off by a share."""

    def on_answer(self, kind, seconds, in_flight, now):
        """Take the latency of an ended request."""
        known = self._kinds.setdefault(kind, _KindLatency(now))
        if known.ratio(seconds, now) > 2.5:
            if now - self._reduced_at >= seconds:
                self._reduced_at = now
                self._limit = max(4.0, self._limit * 0.95)
        elif in_flight >= self._limit / 2:
            self._limit += 1 / self._limit


def play(limit, load, names=None, seed=1, slots=SLOTS, uniform=False):
    """Return the goodput by kind in requests a second, and refusals."""
    rng = Random(seed)
    controller = AdmissionController(limit, LiveInstanceCount())
    events, good, refused = [], {}, {}
    waiting, busy, serial = [], 0, 0
    for mix in MIXES:
        good[mix.kind.name] = refused[mix.kind.name] = 0
        when = 0.0
        while names is None or mix.kind.name in names:
            when += rng.expovariate(mix.share * load * CAPACITY)
            if when > SECONDS:
                break
            serial += 1
            service = rng.lognormvariate(0, 0.5) * MEAN_SECONDS / 1.1331
            heapq.heappush(events, (when, serial, 'come', mix.kind, service))
    ended = set()

    def start(now):
        nonlocal busy
        while waiting and busy < slots:
            ticket, kind, service = waiting.pop(0)
            if ticket.serial in ended:
                continue
            busy += 1
            heapq.heappush(
                events,
                (now + service, -ticket.serial, 'done', kind, ticket),
            )

    while events:
        now, _, what, kind, extra = heapq.heappop(events)
        if what == 'come':
            worth = 1.0 if uniform else kind.worth
            asked = kind._replace(worth=worth)
            got = controller.admit(FRONT, CALLER, asked, kind.deadline, now)
            if not isinstance(got, Success):
                refused[kind.name] += now > WARM_UP_SECONDS
                continue
            ticket = got.unwrap()
            waiting.append((ticket, kind, extra))
            late = now + kind.deadline
            heapq.heappush(events, (late, ticket.serial, 'late', kind, ticket))
        elif what == 'done':
            busy -= 1
            if extra.serial not in ended:
                ended.add(extra.serial)
                controller.release(extra, now, is_sample=True)
                good[kind.name] += now > WARM_UP_SECONDS
        elif extra.serial not in ended:
            ended.add(extra.serial)
            controller.release(extra, now, is_sample=True)
        start(now)
    span = SECONDS - WARM_UP_SECONDS
    assert controller.in_flight == 0
    return {name: count / span for name, count in good.items()}, refused


LIMITS = {
    'none': lambda: FixedLimit(10.0**9),
    'fixed 32': lambda: FixedLimit(32.0),
    'fixed 256': lambda: FixedLimit(256.0),
    'aimd': AimdLimit,
    'gradient': ConcurrencyLimit,
}


def judge(make, seed=1, uniform=False):
    """Return the worthiest kind's and the total goodput as shares."""
    base, _ = play(make(), 1.0, seed=seed, uniform=uniform)
    twice, _ = play(make(), 2.0, seed=seed, uniform=uniform)
    alone, _ = play(make(), 2.0, ('urgent',), seed=seed, uniform=uniform)
    worthiest = twice['urgent'] / alone['urgent']
    return (
        worthiest,
        sum(twice.values()) / sum(base.values()),
        sum(base.values()),
    )


def main():
    """Print the table."""
    print('limit | worthiest | total | goodput a second at 1 times')
    for name, make in LIMITS.items():
        for seed in (1, 2, 3):
            worthiest, total, base = judge(make, seed)
            print(f'{name} | {worthiest:.3f} | {total:.3f} | {base:.0f}')


if __name__ == '__main__':
    main()

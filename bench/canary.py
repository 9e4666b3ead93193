"""What canaries cost: the share of fresh queries and their latency.

Run: python -m bench.canary
"""

from bisect import bisect
from itertools import accumulate
from random import Random

from crocusroad_core.poison import PoisonTracker

RATE = 100  # queries a second on one instance
SECONDS = 1200.0
MEASURED_FROM = 600.0
SHARDS = 20
QUERIES = 20_000


def fresh_share(exponent, distinct, seed=1):
    """Return the share of canaries under a Zipf mix of queries."""
    rng = Random(seed)
    weights = list(accumulate(rank**-exponent for rank in range(1, distinct)))
    tracker, now, fresh, seen = PoisonTracker(), 0.0, 0, 0
    while now < SECONDS:
        now += rng.expovariate(RATE)
        name = str(bisect(weights, rng.random() * weights[-1]))
        is_fresh = tracker.needs_canary(name, now)
        if is_fresh:
            tracker.on_answer(name, now)
        if now > MEASURED_FROM:
            seen += 1
            fresh += is_fresh
    return fresh / seen


def latencies(is_canary, seed=1):
    """Return p50 and p99 in ms over shards of 10 ms, 1 in 100 of 80 ms."""
    rng = Random(seed)

    def one():
        stretch = 8 if rng.random() < 0.01 else 1
        return 10.0 * rng.lognormvariate(0, 0.4) * stretch

    times = []
    for _ in range(QUERIES):
        first = one()
        rest = max(one() for _ in range(SHARDS - 1))
        times.append(first + rest if is_canary else max(first, rest))
    times.sort()
    return times[QUERIES // 2], times[QUERIES * 99 // 100]


def main():
    """Print both tables."""
    print('exponent | distinct queries | share of canaries')
    for exponent in (0.8, 1.0, 1.2):
        for distinct in (10_000, 100_000, 1_000_000):
            share = fresh_share(exponent, distinct)
            print(f'{exponent} | {distinct} | {share:.3f}', flush=True)
    print('query | p50 ms | p99 ms')
    for name, is_canary in (('cleared', False), ('canary', True)):
        p50, p99 = latencies(is_canary)
        print(f'{name} | {p50:.1f} | {p99:.1f}')


if __name__ == '__main__':
    main()

"""Processor time of routing for one sub-request.

Run: python -m bench.routing_cost
"""

import time
from random import Random

from crocusroad_core.fronts import Replica
from crocusroad_core.gather import FailureReason
from crocusroad_core.routing import ExtraLoadBudget, Router

ROUNDS = 100_000
SHARDS = 20


def timed(label: str, once) -> None:
    """Print the mean processor time of a call in microseconds."""
    once(ROUNDS // 10)
    began = time.process_time()
    once(ROUNDS)
    spent = time.process_time() - began
    print(f'{label}: {spent / ROUNDS * 1e6:.2f} us')


def measure(copies: int) -> None:
    """Measure with `copies` replicas a shard."""
    shards = [
        tuple(
            Replica(f'{shard}-{copy}', f'{shard}:{copy}', 'a', 2, 25)
            for copy in range(copies)
        )
        for shard in range(SHARDS)
    ]
    names = [f's{shard}' for shard in range(SHARDS)]
    router = Router('a', Random(1).random)
    budget = ExtraLoadBudget(0.05)
    every = [replica for shard in shards for replica in shard]
    router.on_front('front', every, 0)

    def pick(rounds: int) -> None:
        for number in range(rounds):
            place = number % SHARDS
            router.pick(names[place], shards[place], number / 1e4)

    def note_answer(rounds: int) -> None:
        for number in range(rounds):
            place = number % SHARDS
            now = number / 1e4
            replica = shards[place][0]
            router.hedge_delay(names[place], now)
            budget.on_sent(now)
            router.on_sent(replica, now)
            router.on_reply(replica, 0.01, 0.5, now + 0.01)

    def note_loss(rounds: int) -> None:
        for number in range(rounds):
            replica = shards[number % SHARDS][0]
            router.on_sent(replica, number / 1e4)
            reason = FailureReason.cancelled
            router.on_failure(replica, reason, 0.01, number / 1e4)

    timed(f'{copies} replicas, pick', pick)
    timed(f'{copies} replicas, bookkeeping of an answer', note_answer)
    timed(f'{copies} replicas, bookkeeping of a loss', note_loss)


if __name__ == '__main__':
    measure(2)
    measure(4)

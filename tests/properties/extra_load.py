"""Bounds on the attempts sent after the first ones, over many queries."""

from itertools import product

from hypothesis import example, given
from hypothesis import strategies as st

from crocusroad_core.fronts import Replica, ShardMap
from crocusroad_core.gather import (
    AttemptFailure,
    AttemptRole,
    FailureReason,
    Gather,
    Plan,
    Policy,
    Send,
)
from crocusroad_core.routing import ExtraLoadBudget

REPLICAS = tuple(
    Replica(f'r{number}', '127.0.0.1:1', 'a', 2, 25) for number in range(4)
)
PLAN = Plan(ShardMap(1, {'s': REPLICAS}), 9, 1.0, True)
BURST_ATTEMPTS = 10
REPLACEMENT_BURST = 50  # attempts
UNREACHED = (
    FailureReason.connect_refused,
    FailureReason.connect_timeout,
    FailureReason.no_connection,
)
REPLACEMENT_SHARE = 0.01  # of the first attempts

# Numbers of queries with the failures that their attempts meet in turn.
histories = st.lists(
    st.tuples(
        st.integers(1, 200),
        st.lists(st.sampled_from(sorted(FailureReason)), min_size=1),
    ),
    min_size=1,
    max_size=4,
)


class Load:
    """Runs queries in sequence and counts their attempts."""

    def __init__(self, share):
        self.share = share
        self.budget = ExtraLoadBudget(share)
        self.first = self.additional = self.not_run = self.spend_calls = 0

    def spend(self, shard, now):
        self.spend_calls += 1
        return self.budget.spend(now)

    def policy(self):
        functions = {
            'pick': lambda shard, candidates, now: candidates[0],
            'hedge_delay': lambda shard, now: 0.005,
            'spend': self.spend,
            'allow_replacement': lambda ran, now: self.budget.allow_replacement(
                ran, now
            ),
        }
        return Policy(*map(functions.get, Policy._fields))

    def run_query(self, reasons):
        gather = Gather(PLAN, self.policy())
        commands, now, failure_count = gather.begin(0.0), 0.0, 0
        while not gather.is_finished:
            for command in commands:
                if isinstance(command, Send):
                    self.count(command.attempt)
            if gather.running and reasons:
                reason = reasons[failure_count % len(reasons)]
                failure_count += 1
                self.not_run += not reason.may_have_run
                commands = gather.on_failure(
                    AttemptFailure(max(gather.running), reason), now
                )
            else:
                now = gather.next_wake()
                commands = gather.on_tick(now)

    def count(self, attempt):
        self.budget.on_sent(0)
        is_first = attempt.role is AttemptRole.first
        self.first += is_first
        self.additional += not is_first
        bound = BURST_ATTEMPTS + self.share * self.first + self.not_run
        bound += REPLACEMENT_BURST + REPLACEMENT_SHARE * self.first
        assert self.additional <= bound + 1e-6, (
            self.additional,
            self.first,
            bound,
        )


@example(share=0.05, history=[(200, [FailureReason.broken])])
@given(share=st.sampled_from([0, 0.05, 0.3]), history=histories)
def additional_load_is_bounded(share, history):
    load = Load(share)
    for query_count, reasons in history:
        for _ in range(query_count):
            load.run_query(reasons)


def shed_attempt_is_replaced_once():
    """With the budget spent, a shed query sends one more attempt at most."""
    load = Load(0)
    while load.budget.spend(0):
        load.budget.on_sent(0)
    for _ in range(100):
        load.run_query([FailureReason.shed])
    assert load.additional <= 100, load.additional


def refused_hedge_backs_off():
    """With the budget spent, a hedge is requested only a few times a second."""
    load = Load(0)
    while load.budget.spend(0):
        load.budget.on_sent(0)
    load.run_query([])
    assert load.spend_calls <= 5, load.spend_calls


def unreached_replicas_cost_no_budget():
    """With the budget spent, a shard still reaches the last of four replicas.

    The attempts to the first three never reach their upstream.
    """
    for reasons in product(UNREACHED, repeat=len(REPLICAS) - 1):
        load = Load(0)
        while load.budget.spend(0):
            load.budget.on_sent(0)
        gather = Gather(PLAN, load.policy())
        commands = gather.begin(0.0)
        for reason in reasons:
            serial = commands[-1].attempt.serial
            commands = gather.on_failure(AttemptFailure(serial, reason), 0.001)
            assert isinstance(commands[-1], Send), (reasons, commands)
        assert commands[-1].attempt.replica == REPLICAS[-1]

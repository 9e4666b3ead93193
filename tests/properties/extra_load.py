"""The bound of all attempts beyond the first ones, over many queries."""

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
BURST = 10
ALLOWANCE = 50
UNREACHED = (
    FailureReason.connect_refused,
    FailureReason.connect_timeout,
    FailureReason.no_connection,
)
ALLOWANCE_SHARE = 0.01

waves = st.lists(
    st.tuples(
        st.integers(1, 200),
        st.lists(st.sampled_from(sorted(FailureReason)), min_size=1),
    ),
    min_size=1,
    max_size=4,
)


class Load:
    """Queries one after another, and what they sent."""

    def __init__(self, share):
        self.share = share
        self.budget = ExtraLoadBudget(share)
        self.first = self.beyond = self.not_run = self.asked = 0

    def spend(self, shard, now):
        self.asked += 1
        return self.budget.spend(now)

    def policy(self):
        choices = {
            'pick': lambda shard, some, now: some[0],
            'hedge_delay': lambda shard, now: 0.005,
            'spend': self.spend,
            'allow_replacement': lambda ran, now: self.budget.allow_replacement(
                ran, now
            ),
        }
        return Policy(*map(choices.get, Policy._fields))

    def query(self, reasons):
        gather = Gather(PLAN, self.policy())
        commands, now, losses = gather.begin(0.0), 0.0, 0
        while not gather.is_finished:
            for command in commands:
                if isinstance(command, Send):
                    self.note(command.attempt)
            if gather.running and reasons:
                reason = reasons[losses % len(reasons)]
                losses += 1
                self.not_run += not reason.may_have_run
                commands = gather.on_failure(
                    AttemptFailure(max(gather.running), reason), now
                )
            else:
                now = gather.next_wake()
                commands = gather.on_tick(now)

    def note(self, attempt):
        self.budget.on_sent(0)
        is_first = attempt.role is AttemptRole.first
        self.first += is_first
        self.beyond += not is_first
        bound = BURST + self.share * self.first + self.not_run
        bound += ALLOWANCE + ALLOWANCE_SHARE * self.first
        assert self.beyond <= bound + 1e-6, (self.beyond, self.first, bound)


@example(share=0.05, history=[(200, [FailureReason.broken])])
@given(share=st.sampled_from([0, 0.05, 0.3]), history=waves)
def extra_load_is_bounded(share, history):
    load = Load(share)
    for count, reasons in history:
        for _ in range(count):
            load.query(reasons)


def sheds_are_not_a_storm():
    """With the budget spent, one attempt beyond the first for a shard."""
    load = Load(0)
    while load.budget.spend(0):
        load.budget.on_sent(0)
    for _ in range(100):
        load.query([FailureReason.shed])
    assert load.beyond <= 100, load.beyond


def refused_hedge_pauses():
    """A hedge that the budget refuses is asked for a few times a second."""
    load = Load(0)
    while load.budget.spend(0):
        load.budget.on_sent(0)
    load.query([])
    assert load.asked <= 5, load.asked


def dead_replicas_cost_nothing():
    """With the budget spent, a shard reaches the last of four replicas."""
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

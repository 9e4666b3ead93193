"""Histories of one query: any order of replies, losses, ticks and repeats."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from crocusroad_core.fronts import Replica, ShardMap
from crocusroad_core.gather import (
    AttemptFailure,
    Cancel,
    FailureReason,
    Gather,
    Outcome,
    Plan,
    Policy,
    Reply,
    Send,
)

DEADLINE = 1.0
# An index version that was given up meets a query more often than the rest.
REASONS = sorted(FailureReason) + 9 * [FailureReason.wrong_version]
FAILED = {FailureReason.broken, FailureReason.silent}


def shard_map(version, shards, copies):
    return ShardMap(
        version,
        {
            shard: tuple(
                Replica(f'{shard}-{copy}', '127.0.0.1:1', 'a', 2, 25)
                for copy in range(copies)
            )
            for shard in shards
        },
    )


class Histories(RuleBasedStateMachine):
    @initialize(
        shards=st.integers(1, 4),
        copies=st.sampled_from([1, 1, 2, 3]),
        repeatable=st.sampled_from([True, True, False]),
        canary=st.sampled_from([False, False, True]),
        budget=st.integers(0, 4),
        other=st.sampled_from([None, ['s0', 's1x', 's1y'], ['s0']]),
        picky=st.sampled_from([False, False, False, True]),
    )
    def begin(self, shards, copies, repeatable, canary, budget, other, picky):
        names = [f's{number}' for number in range(shards)]
        self.maps = {1: shard_map(1, names, copies)}
        if other:
            self.maps[2] = shard_map(2, other, copies)
        self.budget = budget
        self.spent = self.extra = 0
        self.now = 0.0
        self.sent, self.gone, self.finishes = {}, {}, []
        self.accepted, self.cancelled = [], set()
        self.canary = canary
        self.plan = Plan(
            self.maps[1],
            100,
            DEADLINE,
            repeatable,
            canary,
            find_restart_map=lambda version, now: self.maps.get(2),
        )
        policy = Policy(
            pick=lambda shard, some, now: (
                None if picky and shard == 's0' else some[0]
            ),
            hedge_delay=lambda shard, now: 0.05,
            spend=self.spend,
            allow_replacement=lambda has_run, now: True,
        )
        self.gather = Gather(self.plan, policy)
        self.take(self.gather.begin(self.now))

    def spend(self, shard, now):
        is_left = self.spent < self.budget
        self.spent += is_left
        return is_left

    def take(self, commands):
        for command in commands:
            assert not self.finishes, f'{command} after the end'
            if isinstance(command, Send):
                self.check_send(command.attempt)
                self.sent[command.attempt.serial] = command.attempt
            elif isinstance(command, Cancel):
                self.cancelled.add(command.attempt.serial)
            else:
                self.finishes.append(command)
                self.check_finish(command)

    def in_flight(self):
        over = self.cancelled | self.gone.keys()
        return [one for one in self.sent if one not in over]

    def check_send(self, attempt):
        assert attempt.serial not in self.sent
        self.extra += attempt.is_extra
        assert self.extra <= self.spent <= self.budget
        assert self.now < DEADLINE
        before = [
            one
            for one in self.sent.values()
            if one.shard == attempt.shard and one.version == attempt.version
        ]
        if not self.plan.is_repeatable:
            for one in before:
                reason = self.gone.get(one.serial)
                assert reason and not reason.may_have_run, (one, reason)
        if self.canary and not self.accepted:
            risky = [
                one
                for one in self.sent
                if one not in self.cancelled
                and self.gone.get(one) in FAILED | {None}
            ]
            assert len(risky) < 2, 'a third upstream asked by a canary'

    def check_finish(self, finish):
        shards = self.maps[finish.version].shards
        own = {
            shard
            for shard, version in self.accepted
            if version == finish.version
        }
        missing = [one['shard'] for one in finish.coverage['missing']]
        assert len(missing) == len(set(missing))
        assert own | set(missing) == set(shards), (own, missing)
        assert not own & set(missing)
        assert finish.coverage['answered'] == len(own)
        assert finish.coverage['shards'] == len(shards)
        ids = sorted(record['id'] for record in finish.records)
        assert ids == sorted(f'{one}@{finish.version}' for one in own), ids
        assert (finish.outcome is Outcome.answered) == bool(own)
        if not finish.may_have_run:
            for serial in self.sent:
                reason = self.gone.get(serial)
                assert reason and not reason.may_have_run, 'it may have run'
        assert not self.in_flight(), 'attempts left behind'

    @rule(data=st.data(), crossed=st.sampled_from(['', '', '', 'shard', 'v']))
    def reply(self, data, crossed):
        if not self.in_flight():
            return
        serial = data.draw(st.sampled_from(self.in_flight()))
        attempt = self.sent[serial]
        shard = 'other' if crossed == 'shard' else attempt.shard
        version = 99 if crossed == 'v' else attempt.version
        if crossed:
            self.gone[serial] = FailureReason.crossed
        else:
            self.accepted.append((shard, version))
            self.gone[serial] = FailureReason.cancelled
        event = self.records(serial, shard, version)
        self.take(self.gather.on_reply(event, self.now))
        if not crossed:
            rivals = [self.sent[one].shard for one in self.in_flight()]
            is_same = self.gather.is_finished or shard not in rivals
            assert is_same, 'a loser was not cancelled'

    def records(self, serial, shard, version):
        record = {'id': f'{shard}@{version}', 'score': 1.0, 'fields': {}}
        return Reply(serial, shard, version, [record])

    @rule(data=st.data(), reason=st.sampled_from(REASONS))
    def lose(self, data, reason):
        if not self.in_flight():
            return
        serial = data.draw(st.sampled_from(self.in_flight()))
        self.gone[serial] = reason
        self.take(
            self.gather.on_failure(AttemptFailure(serial, reason), self.now)
        )

    @rule(data=st.data(), is_reply=st.booleans())
    def repeat(self, data, is_reply):
        """Deliver again, or late, what is over; nothing may come of it."""
        over = sorted(self.cancelled | self.gone.keys())
        if not over:
            return
        serial = data.draw(st.sampled_from(over))
        attempt = self.sent[serial]
        if is_reply:
            event = self.records(serial, attempt.shard, attempt.version)
            commands = self.gather.on_reply(event, self.now)
        else:
            event = AttemptFailure(serial, FailureReason.broken)
            commands = self.gather.on_failure(event, self.now)
        assert commands == []

    @rule(data=st.data())
    def move_on(self, data):
        """Let every attempt of one shard find its version gone."""
        if not self.in_flight():
            return
        chosen = self.sent[data.draw(st.sampled_from(self.in_flight()))]
        for serial in self.in_flight():
            if self.sent[serial].shard == chosen.shard:
                self.gone[serial] = FailureReason.wrong_version
                event = AttemptFailure(serial, FailureReason.wrong_version)
                self.take(self.gather.on_failure(event, self.now))

    @rule()
    def wake(self):
        self.now = max(self.now, min(self.gather.next_wake(), DEADLINE))
        self.take(self.gather.on_tick(self.now))

    @rule(seconds=st.floats(0, 0.2))
    def tick(self, seconds):
        self.now = min(self.now + seconds, DEADLINE)
        self.take(self.gather.on_tick(self.now))

    @invariant()
    def is_told_once(self):
        assert len(getattr(self, 'finishes', [])) <= 1

    def teardown(self):
        if hasattr(self, 'gather') and not self.finishes:
            self.now = DEADLINE
            self.take(self.gather.on_tick(self.now))
            assert len(self.finishes) == 1, 'the deadline brought no answer'


def check_histories(examples):
    run_state_machine_as_test(
        Histories,
        settings=settings(
            settings.get_profile('ci'),
            max_examples=examples,
            stateful_step_count=30,
        ),
    )


def finish_after_refused_restart():
    """Start over while a shard runs; be refused by the other version."""
    maps = {1: shard_map(1, ['s0', 's1'], 1), 2: shard_map(2, ['s0'], 1)}
    plan = Plan(
        maps[1], 9, DEADLINE, True, find_restart_map=lambda old, now: maps[2]
    )
    policy = Policy(
        pick=lambda shard, some, now: some[0],
        hedge_delay=lambda shard, now: 0.05,
        spend=lambda shard, now: True,
        allow_replacement=lambda has_run, now: True,
    )
    gather = Gather(plan, policy)
    gather.begin(0.0)
    gather.on_failure(AttemptFailure(2, FailureReason.wrong_version), 0.0)
    return gather.on_failure(
        AttemptFailure(3, FailureReason.wrong_version), 0.0
    )[-1]

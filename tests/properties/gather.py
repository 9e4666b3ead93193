"""Invariants of one query under random sequences of events."""

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
# Weighted, because queries meet a retired index version more often than any
# other failure.
REASONS = sorted(FailureReason) + 9 * [FailureReason.wrong_version]
CRASH_REASONS = {FailureReason.broken, FailureReason.silent}


def shard_map(version, shards, replica_count):
    return ShardMap(
        version,
        {
            shard: tuple(
                Replica(f'{shard}-{number}', '127.0.0.1:1', 'a', 2, 25)
                for number in range(replica_count)
            )
            for shard in shards
        },
    )


class QueryMachine(RuleBasedStateMachine):
    """Drives one query with random events and checks its invariants."""

    @initialize(
        shard_count=st.integers(1, 4),
        replica_count=st.sampled_from([1, 1, 2, 3]),
        repeatable=st.sampled_from([True, True, False]),
        canary=st.sampled_from([False, False, True]),
        budget=st.integers(0, 4),
        new_shards=st.sampled_from([None, ['s0', 's1x', 's1y'], ['s0']]),
        lacks_replica=st.sampled_from([False, False, False, True]),
    )
    def begin(
        self,
        shard_count,
        replica_count,
        repeatable,
        canary,
        budget,
        new_shards,
        lacks_replica,
    ):
        shards = [f's{number}' for number in range(shard_count)]
        self.maps = {1: shard_map(1, shards, replica_count)}
        if new_shards:
            self.maps[2] = shard_map(2, new_shards, replica_count)
        self.budget = budget
        self.spent = self.extra = 0
        self.now = 0.0
        self.sent, self.ended, self.finishes = {}, {}, []
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
            pick=lambda shard, candidates, now: (
                None if lacks_replica and shard == 's0' else candidates[0]
            ),
            hedge_delay=lambda shard, now: 0.05,
            spend=self.spend,
            allow_replacement=lambda may_have_run, now: True,
        )
        self.gather = Gather(self.plan, policy)
        self.handle(self.gather.begin(self.now))

    def spend(self, shard, now):
        is_available = self.spent < self.budget
        self.spent += is_available
        return is_available

    def handle(self, commands):
        for command in commands:
            assert not self.finishes, f'{command} after Finish'
            if isinstance(command, Send):
                self.check_send(command.attempt)
                self.sent[command.attempt.serial] = command.attempt
            elif isinstance(command, Cancel):
                self.cancelled.add(command.attempt.serial)
            else:
                self.finishes.append(command)
                self.check_finish(command)

    def in_flight(self):
        over = self.cancelled | self.ended.keys()
        return [serial for serial in self.sent if serial not in over]

    def check_send(self, attempt):
        assert attempt.serial not in self.sent
        self.extra += attempt.is_extra
        assert self.extra <= self.spent <= self.budget
        assert self.now < DEADLINE
        earlier = [
            other
            for other in self.sent.values()
            if other.shard == attempt.shard and other.version == attempt.version
        ]
        if not self.plan.is_repeatable:
            for other in earlier:
                reason = self.ended.get(other.serial)
                assert reason and not reason.may_have_run, (other, reason)
        if self.canary and not self.accepted:
            risky = [
                serial
                for serial in self.sent
                if serial not in self.cancelled
                and self.ended.get(serial) in CRASH_REASONS | {None}
            ]
            assert len(risky) < 2, 'a canary was sent to a third upstream'

    def check_finish(self, finish):
        shards = self.maps[finish.version].shards
        answered = {
            shard
            for shard, version in self.accepted
            if version == finish.version
        }
        missing = [entry['shard'] for entry in finish.coverage['missing']]
        assert len(missing) == len(set(missing))
        assert answered | set(missing) == set(shards), (answered, missing)
        assert not answered & set(missing)
        assert finish.coverage['answered'] == len(answered)
        assert finish.coverage['shards'] == len(shards)
        ids = sorted(record['id'] for record in finish.records)
        assert ids == sorted(
            f'{shard}@{finish.version}' for shard in answered
        ), ids
        assert (finish.outcome is Outcome.answered) == bool(answered)
        if not finish.may_have_run:
            for serial in self.sent:
                reason = self.ended.get(serial)
                assert reason and not reason.may_have_run, (
                    'an attempt may have run'
                )
        assert not self.in_flight(), 'attempts are in flight after Finish'

    @rule(data=st.data(), mismatch=st.sampled_from(['', '', '', 'shard', 'v']))
    def reply(self, data, mismatch):
        if not self.in_flight():
            return
        serial = data.draw(st.sampled_from(self.in_flight()))
        attempt = self.sent[serial]
        shard = 'other' if mismatch == 'shard' else attempt.shard
        version = 99 if mismatch == 'v' else attempt.version
        if mismatch:
            self.ended[serial] = FailureReason.crossed
        else:
            self.accepted.append((shard, version))
            self.ended[serial] = FailureReason.cancelled
        event = self.make_reply(serial, shard, version)
        self.handle(self.gather.on_reply(event, self.now))
        if not mismatch:
            running_shards = [
                self.sent[other].shard for other in self.in_flight()
            ]
            is_cancelled = (
                self.gather.is_finished or shard not in running_shards
            )
            assert is_cancelled, 'a superseded attempt was not cancelled'

    def make_reply(self, serial, shard, version):
        record = {'id': f'{shard}@{version}', 'score': 1.0, 'fields': {}}
        return Reply(serial, shard, version, [record])

    @rule(data=st.data(), reason=st.sampled_from(REASONS))
    def fail(self, data, reason):
        if not self.in_flight():
            return
        serial = data.draw(st.sampled_from(self.in_flight()))
        self.ended[serial] = reason
        self.handle(
            self.gather.on_failure(AttemptFailure(serial, reason), self.now)
        )

    @rule(data=st.data(), is_reply=st.booleans())
    def duplicate_event(self, data, is_reply):
        """Deliver an event of an attempt that is over; it has no effect."""
        over = sorted(self.cancelled | self.ended.keys())
        if not over:
            return
        serial = data.draw(st.sampled_from(over))
        attempt = self.sent[serial]
        if is_reply:
            event = self.make_reply(serial, attempt.shard, attempt.version)
            commands = self.gather.on_reply(event, self.now)
        else:
            event = AttemptFailure(serial, FailureReason.broken)
            commands = self.gather.on_failure(event, self.now)
        assert commands == []

    @rule(data=st.data())
    def retire_version(self, data):
        """Fail every attempt of one shard because its version is retired."""
        if not self.in_flight():
            return
        chosen = self.sent[data.draw(st.sampled_from(self.in_flight()))]
        for serial in self.in_flight():
            if self.sent[serial].shard == chosen.shard:
                self.ended[serial] = FailureReason.wrong_version
                event = AttemptFailure(serial, FailureReason.wrong_version)
                self.handle(self.gather.on_failure(event, self.now))

    @rule()
    def wake(self):
        self.now = max(self.now, min(self.gather.next_wake(), DEADLINE))
        self.handle(self.gather.on_tick(self.now))

    @rule(seconds=st.floats(0, 0.2))
    def tick(self, seconds):
        self.now = min(self.now + seconds, DEADLINE)
        self.handle(self.gather.on_tick(self.now))

    @invariant()
    def finishes_at_most_once(self):
        assert len(getattr(self, 'finishes', [])) <= 1

    def teardown(self):
        if hasattr(self, 'gather') and not self.finishes:
            self.now = DEADLINE
            self.handle(self.gather.on_tick(self.now))
            assert len(self.finishes) == 1, 'no Finish at the deadline'


def check_random_sequences(examples):
    run_state_machine_as_test(
        QueryMachine,
        settings=settings(
            settings.get_profile('ci'),
            max_examples=examples,
            stateful_step_count=30,
        ),
    )


def finish_after_refused_restart():
    """Restart while another shard is running, then fail the new version."""
    maps = {1: shard_map(1, ['s0', 's1'], 1), 2: shard_map(2, ['s0'], 1)}
    plan = Plan(
        maps[1],
        9,
        DEADLINE,
        True,
        find_restart_map=lambda version, now: maps[2],
    )
    policy = Policy(
        pick=lambda shard, candidates, now: candidates[0],
        hedge_delay=lambda shard, now: 0.05,
        spend=lambda shard, now: True,
        allow_replacement=lambda may_have_run, now: True,
    )
    gather = Gather(plan, policy)
    gather.begin(0.0)
    gather.on_failure(AttemptFailure(2, FailureReason.wrong_version), 0.0)
    return gather.on_failure(
        AttemptFailure(3, FailureReason.wrong_version), 0.0
    )[-1]

"""A state machine that checks at-most-once execution of actions.

The claim and action logic runs over a model KV. Hypothesis interleaves
requests, faults, pauses and restarts.
"""

from uuid import UUID

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from crocusroad_core.claims import (
    LEASE_TTL_SECONDS,
    MAX_CLOCK_SKEW_SECONDS,
    Action,
    ActionDone,
    ActionOutcome,
    Claim,
    ClaimDone,
    ClaimOutcome,
    ClaimRecord,
    ClaimState,
    KeyState,
    Lease,
    OutcomeRecorder,
    ReadClaim,
    SendAction,
    SwapClaim,
    decode_claim,
    encode_ended_claim,
    key_state,
)
from crocusroad_core.fronts import Replica
from crocusroad_core.kv import CallFault
from tests.standins.model_kv import CallFate, ModelKv
from tests.support import state_machines

NODES = 3
START = 1_000_000.0
DEADLINE = 5.0
REPLICAS = tuple(Replica(f'r{i}', f'h:{i}', 'a', 2, 25) for i in (1, 2))
ENDED = {
    ActionOutcome.answered: ClaimState.done,
    ActionOutcome.not_run: ClaimState.not_run,
    ActionOutcome.unknown: ClaimState.unknown,
}

fates = st.sampled_from(CallFate)
nodes = st.integers(0, NODES - 1)
places = st.integers(0, 9)


def uuid7(number, wall_time):
    value = (int(wall_time * 1000) << 80) | (7 << 76) | (2 << 62) | number
    return str(UUID(int=value))


def answer_of(request_id):
    coverage = {'shards': 1, 'answered': 1, 'missing': []}
    return {
        'request_id': request_id,
        'snapshot': 1,
        'records': [],
        'coverage': coverage,
    }


class ActionRun:
    """One request on one node, from its claim to the record of its outcome."""

    def __init__(self, machine, serial, key, node, body):
        self.machine, self.key, self.node = machine, key, node
        wall_time = machine.wall_time(node)
        self.deadline = machine.now + DEADLINE
        self.record = ClaimRecord(
            write_id=f'w{serial}',
            holder=f'node-{node}',
            body_sha256=body,
            not_after=wall_time + DEADLINE,
            state=ClaimState.claimed,
        )
        self.claim = machine.make_claim(self.record, self.deadline)
        self.command = self.claim.begin()
        self.phase = 'claim'
        self.has_sent = False
        self.answer = None
        self.reported = ''  # to the caller: 'no' (not run), 'unknown', 'answer'

    def step(self, fate):
        getattr(self, f'on_{self.phase}')(fate)

    def call(self, command, fate):
        machine = self.machine
        if isinstance(command, ReadClaim):
            return machine.kv.read(self.key, fate, machine.now)
        swap = command if isinstance(command, SwapClaim) else command.swap
        lease = machine.current_lease(self.node)
        event = machine.kv.swap(
            self.key, swap.value, swap.expected, lease, fate, machine.now
        )
        if event is CallFault.lease_gone:
            machine.leases[self.node].discard(lease)
        return event

    def on_claim(self, fate):
        event = self.call(self.command, fate)
        machine = self.machine
        command = self.claim.on_event(
            event, machine.now, machine.wall_time(self.node)
        )
        self.command = command
        if not isinstance(command, ClaimDone):
            return
        if command.outcome is ClaimOutcome.held:
            self.revision = command.revision
            self.action = machine.make_action(
                REPLICAS, lambda candidates, now: candidates[0], self.deadline
            )
            self.proceed(self.action.begin(machine.now))
            return
        self.phase = 'over'
        self.answer = command.answer
        self.reported = {
            ClaimOutcome.recorded: 'answer',
            ClaimOutcome.reused: 'no',
            ClaimOutcome.unavailable: 'no',
        }.get(command.outcome, 'unknown')
        if self.answer is not None:
            assert self.answer == machine.answers[self.key], (
                'the repeat got another answer'
            )

    def proceed(self, command):
        self.command = command
        if isinstance(command, SendAction):
            self.phase = 'check'
            return
        machine = self.machine
        self.answer = None
        if command.outcome is ActionOutcome.answered:
            self.answer = machine.answers[self.key]
        self.reported = {'answered': 'answer', 'not-run': 'no'}.get(
            command.outcome.value, 'unknown'
        )
        text = encode_ended_claim(
            self.record, ENDED[command.outcome], self.answer
        )
        self.recording = OutcomeRecorder(text, self.revision, machine.now + 60)
        self.command = self.recording.begin()
        self.phase = 'record'

    def on_check(self, fate):
        """Check both clocks before the first byte is sent."""
        machine = self.machine
        is_late = machine.now >= self.deadline
        if is_late or machine.wall_time(self.node) >= self.record['not_after']:
            command = self.action.on_failure(
                'deadline', machine.now, may_have_run=False
            )
            self.proceed(command)
        else:
            self.phase = 'send'

    def on_send(self, fate):
        """Send the request, which may arrive long after the clock check."""
        machine = self.machine
        if fate in (CallFate.refused, CallFate.stale):
            self.fail(may_have_run=False)
            return
        if fate is CallFate.lost_before:
            self.fail(may_have_run=True)
            return
        if machine.now > self.record['not_after'] + MAX_CLOCK_SKEW_SECONDS / 2:
            self.fail(
                may_have_run=False
            )  # the upstream refuses an expired request
            return
        machine.runs[self.key] = machine.runs.get(self.key, 0) + 1
        machine.answers[self.key] = answer_of(self.record['write_id'])
        self.has_sent = True
        if fate is CallFate.ok:
            self.proceed(self.action.on_answer([]))
        else:
            self.fail(may_have_run=True)

    def fail(self, *, may_have_run):
        now = self.machine.now
        self.proceed(
            self.action.on_failure('lost', now, may_have_run=may_have_run)
        )

    def on_record(self, fate):
        event = self.call(self.command, fate)
        self.command = self.recording.on_event(event, self.machine.now)
        if self.command is None:
            self.phase = 'over'


class ClaimMachine(RuleBasedStateMachine):
    """Repeated requests, pausing and crashing nodes, and a failing KV."""

    make_claim = Claim
    make_action = Action
    lease_ttl = LEASE_TTL_SECONDS
    key_state = staticmethod(key_state)

    @initialize()
    def begin(self):
        self.kv = ModelKv()
        self.now = START
        self.leases = [Lease() for _ in range(NODES)]
        self.serial = 0
        self.active = []
        self.ended = []
        self.runs = {}
        self.answers = {}
        self.keys = [uuid7(1, START), uuid7(2, START + 200)]

    def wall_time(self, node):
        """Return the wall time of a node; clocks differ up to the bound."""
        return self.now + (node - 1) * MAX_CLOCK_SKEW_SECONDS / 2

    def current_lease(self, node):
        lease = self.leases[node]
        if not lease.current(self.now):
            lease_id = self.kv.store.grant(self.lease_ttl, self.now)
            lease.renew(lease_id, self.now)
        return lease.current(self.now)

    @rule(
        place=st.integers(0, 1),
        node=nodes,
        body=st.sampled_from('aaab'),
        script=st.lists(
            st.tuples(fates, st.sampled_from((0, 0, 0, 1, 6, 120))),
            max_size=7,
        ),
    )
    def request(self, place, node, body, script):
        """Request an action and run its first steps, each after a pause."""
        key = self.keys[place]
        if self.key_state(key, self.wall_time(node)) is not KeyState.valid:
            return
        self.serial += 1
        run = ActionRun(self, self.serial, key, node, body)
        self.active.append(run)
        for fate, pause in script:
            self.now += pause
            self.step(run, fate)

    @rule(place=st.integers(0, 1), node=nodes, length=st.integers(0, 5))
    def request_without_faults(self, place, node, length):
        """Request an action without faults and stop after some steps."""
        self.request(place, node, 'a', [(CallFate.ok, 0)] * length)

    @rule(place=st.integers(0, 1), node=nodes, fate=fates)
    def repeat_after(self, place, node, fate):
        """Fail at the upstream, record the outcome, and repeat the request."""
        steps = [CallFate.ok, CallFate.ok, fate, CallFate.ok]
        self.request(place, node, 'a', [(step, 0) for step in steps])
        self.request_without_faults(place, (node + 1) % NODES, 5)

    @rule(place=st.integers(0, 1), node=nodes, pause=st.sampled_from((0, 130)))
    def repeat_after_crash(self, place, node, pause):
        """Crash the holder between run and record, and repeat the request."""
        self.request_without_faults(place, node, 3)
        self.restart(node)
        self.now += pause
        self.request_without_faults(place, (node + 1) % NODES, 5)

    @rule(place=places, fate=fates)
    def advance(self, place, fate):
        if self.active:
            self.step(self.active[place % len(self.active)], fate)

    def step(self, run, fate):
        if run.phase != 'over':
            run.step(fate)
        if run.phase == 'over' and run in self.active:
            self.active.remove(run)
            self.ended.append(run)

    @rule(place=places)
    def crash(self, place):
        if self.active:
            self.active.pop(place % len(self.active))

    @rule(node=nodes)
    def restart(self, node):
        self.active = [run for run in self.active if run.node != node]
        self.leases[node] = Lease()

    @rule(place=places)
    def apply_delayed(self, place):
        self.kv.apply_delayed(place, self.now)

    @rule()
    def refresh_stale_store(self):
        self.kv.refresh_stale_store()

    @rule(seconds=st.sampled_from((1, 20, 130, 3700, 82000)))
    def wait(self, seconds):
        self.now += seconds

    @invariant()
    def at_most_once(self):
        for key, count in self.runs.items():
            assert count <= 1, f'ran {count} times: {key}'

    @invariant()
    def not_run_is_true(self):
        for run in [*self.active, *self.ended]:
            assert not (run.reported == 'no' and run.has_sent), (
                'reported not run, but ran'
            )

    @invariant()
    def records_are_true(self):
        for key, value, _ in self.kv.writes:
            if value is not None:
                record = decode_claim(value)
                ran = record['state'] is ClaimState.done
                assert not ran or key in self.runs, 'recorded, but never ran'

    def teardown(self):
        if not hasattr(self, 'kv'):
            return
        while self.kv.delayed:
            self.kv.apply_delayed(0, self.now)
        for run in list(self.active):
            for _ in range(12):
                self.step(run, CallFate.ok)
            assert run.phase == 'over', 'the run does not end'
        self.at_most_once()
        self.not_run_is_true()


class _UnconfirmedClaim(Claim):
    """Sends the action after a lost reply, before the claim is confirmed."""

    def on_event(self, event, now, wall_time):
        if event is CallFault.lost:
            return ClaimDone(ClaimOutcome.held, 0)
        return super().on_event(event, now, wall_time)


class _NoReadBackClaim(Claim):
    """Repeats the swap after a lost reply and takes a conflict as success."""

    _is_lost = False

    def on_event(self, event, now, wall_time):
        if event is CallFault.lost:
            self._is_lost = True
            return self._swap
        if event is CallFault.conflict and self._is_lost:
            return ClaimDone(ClaimOutcome.held, 0)
        return super().on_event(event, now, wall_time)


class _TakeoverClaim(Claim):
    """Takes over a claim after its deadline."""

    def _resolve(self, revision, existing, wall_time):
        is_open = existing['state'] is ClaimState.claimed
        if (
            is_open
            and wall_time > existing['not_after'] + MAX_CLOCK_SKEW_SECONDS
        ):
            self._swap = self._swap._replace(expected=revision)
            return self._swap
        return super()._resolve(revision, existing, wall_time)


class _RetryingAction(Action):
    """Tries another replica after a lost reply."""

    def on_failure(self, reason, now, *, may_have_run):
        return super().on_failure(reason, now, may_have_run=False)


class _NotRunAction(Action):
    """Reports 'not run' after a lost reply."""

    def on_failure(self, reason, now, *, may_have_run):
        return ActionDone(ActionOutcome.not_run, reason, [])


VARIANTS = {
    'send before the claim is confirmed': ('make_claim', _UnconfirmedClaim),
    'no read-back': ('make_claim', _NoReadBackClaim),
    'take over an expired claim': ('make_claim', _TakeoverClaim),
    'a lease instead of a claim': ('lease_ttl', 10.0),
    'claims that expire before their key': ('lease_ttl', 7200.0),
    'keys that never expire': (
        'key_state',
        staticmethod(lambda key, wall_time: KeyState.valid),
    ),
    'retry after a lost reply': ('make_action', _RetryingAction),
    'report not run after a lost reply': ('make_action', _NotRunAction),
}


def run_machine(examples, steps):
    state_machines.run_machine(ClaimMachine, examples, steps)


def find_failure(name, examples, steps):
    """Return the fault that the state machine finds in a known-bad variant."""
    return state_machines.find_failure(
        ClaimMachine, VARIANTS[name], examples, steps
    )

"""Actions: the real decisions over a model KV, any interleaving."""

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
from tests.support import machines

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


def uuid7(number, wall):
    value = (int(wall * 1000) << 80) | (7 << 76) | (2 << 62) | number
    return str(UUID(int=value))


def answer_of(request_id):
    coverage = {'shards': 1, 'answered': 1, 'missing': []}
    return {
        'request_id': request_id,
        'snapshot': 1,
        'records': [],
        'coverage': coverage,
    }


class Run:
    """One request on one node, from its claim to its record."""

    def __init__(self, machine, serial, key, node, body):
        self.machine, self.key, self.node = machine, key, node
        wall = machine.wall(node)
        self.deadline = machine.now + DEADLINE
        self.record = ClaimRecord(
            write_id=f'w{serial}',
            holder=f'node-{node}',
            body_sha256=body,
            not_after=wall + DEADLINE,
            state=ClaimState.claimed,
        )
        self.claim = machine.make_claim(self.record, self.deadline)
        self.command = self.claim.begin()
        self.phase = 'claim'
        self.has_sent = False
        self.answer = None
        self.said = ''  # 'no', 'unknown' or 'answer'

    def step(self, fate):
        getattr(self, f'on_{self.phase}')(fate)

    def call(self, command, fate):
        machine = self.machine
        if isinstance(command, ReadClaim):
            return machine.kv.read(self.key, fate, machine.now)
        swap = command if isinstance(command, SwapClaim) else command.swap
        lease = machine.lease(self.node)
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
            event, machine.now, machine.wall(self.node)
        )
        self.command = command
        if not isinstance(command, ClaimDone):
            return
        if command.outcome is ClaimOutcome.held:
            self.revision = command.revision
            self.action = machine.make_action(
                REPLICAS, lambda some, now: some[0], self.deadline
            )
            self.go_on(self.action.begin(machine.now))
            return
        self.phase = 'over'
        self.answer = command.answer
        self.said = {
            ClaimOutcome.recorded: 'answer',
            ClaimOutcome.reused: 'no',
            ClaimOutcome.unavailable: 'no',
        }.get(command.outcome, 'unknown')
        if self.answer is not None:
            assert self.answer == machine.answers[self.key], 'other answer'

    def go_on(self, command):
        self.command = command
        if isinstance(command, SendAction):
            self.phase = 'check'
            return
        machine = self.machine
        self.answer = None
        if command.outcome is ActionOutcome.answered:
            self.answer = machine.answers[self.key]
        self.said = {'answered': 'answer', 'not-run': 'no'}.get(
            command.outcome.value, 'unknown'
        )
        text = encode_ended_claim(
            self.record, ENDED[command.outcome], self.answer
        )
        self.recording = OutcomeRecorder(text, self.revision, machine.now + 60)
        self.command = self.recording.begin()
        self.phase = 'record'

    def on_check(self, fate):
        """The last look at the clocks before the first byte."""
        machine = self.machine
        late = machine.now >= self.deadline
        if late or machine.wall(self.node) >= self.record['not_after']:
            lost = self.action.on_lost(
                'deadline', machine.now, may_have_run=False
            )
            self.go_on(lost)
        else:
            self.phase = 'send'

    def on_send(self, fate):
        """The request reaches the upstream, perhaps long after the look."""
        machine = self.machine
        if fate in (CallFate.refused, CallFate.stale):
            self.lose(may_have_run=False)
            return
        if fate is CallFate.lost_before:
            self.lose(may_have_run=True)
            return
        if machine.now > self.record['not_after'] + MAX_CLOCK_SKEW_SECONDS / 2:
            self.lose(may_have_run=False)  # the upstream sees that it expired
            return
        machine.runs[self.key] = machine.runs.get(self.key, 0) + 1
        machine.answers[self.key] = answer_of(self.record['write_id'])
        self.has_sent = True
        if fate is CallFate.ok:
            self.go_on(self.action.on_answer([]))
        else:
            self.lose(may_have_run=True)

    def lose(self, *, may_have_run):
        now = self.machine.now
        self.go_on(self.action.on_lost('lost', now, may_have_run=may_have_run))

    def on_record(self, fate):
        event = self.call(self.command, fate)
        self.command = self.recording.on_event(event, self.machine.now)
        if self.command is None:
            self.phase = 'over'


class ClaimMachine(RuleBasedStateMachine):
    """Callers that repeat, nodes that pause and die, a KV that fails."""

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
        self.live = []
        self.ended = []
        self.runs = {}
        self.answers = {}
        self.keys = [uuid7(1, START), uuid7(2, START + 200)]

    def wall(self, node):
        """Return the wall clock of a node; any two differ by the bound."""
        return self.now + (node - 1) * MAX_CLOCK_SKEW_SECONDS / 2

    def lease(self, node):
        lease = self.leases[node]
        if not lease.current(self.now):
            name = self.kv.store.grant(self.lease_ttl, self.now)
            lease.renew(name, self.now)
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
        """Ask for an action; take its first steps, each after a pause."""
        key = self.keys[place]
        if self.key_state(key, self.wall(node)) is not KeyState.valid:
            return
        self.serial += 1
        run = Run(self, self.serial, key, node, body)
        self.live.append(run)
        for fate, pause in script:
            self.now += pause
            self.step(run, fate)

    @rule(place=st.integers(0, 1), node=nodes, length=st.integers(0, 5))
    def smooth_request(self, place, node, length):
        """Ask for an action with nothing in its way, and stop at a step."""
        self.request(place, node, 'a', [(CallFate.ok, 0)] * length)

    @rule(place=st.integers(0, 1), node=nodes, fate=fates)
    def repeat_after(self, place, node, fate):
        """Meet a fault at the upstream, record it, and ask again."""
        steps = [CallFate.ok, CallFate.ok, fate, CallFate.ok]
        self.request(place, node, 'a', [(one, 0) for one in steps])
        self.smooth_request(place, (node + 1) % NODES, 5)

    @rule(place=st.integers(0, 1), node=nodes, pause=st.sampled_from((0, 130)))
    def repeat_after_crash(self, place, node, pause):
        """Lose the holder between the run and its record; ask again."""
        self.smooth_request(place, node, 3)
        self.restart(node)
        self.now += pause
        self.smooth_request(place, (node + 1) % NODES, 5)

    @rule(place=places, fate=fates)
    def step_one(self, place, fate):
        if self.live:
            self.step(self.live[place % len(self.live)], fate)

    def step(self, run, fate):
        if run.phase != 'over':
            run.step(fate)
        if run.phase == 'over' and run in self.live:
            self.live.remove(run)
            self.ended.append(run)

    @rule(place=places)
    def crash(self, place):
        if self.live:
            self.live.pop(place % len(self.live))

    @rule(node=nodes)
    def restart(self, node):
        self.live = [run for run in self.live if run.node != node]
        self.leases[node] = Lease()

    @rule(place=places)
    def land(self, place):
        self.kv.apply_delayed(place, self.now)

    @rule()
    def lag(self):
        self.kv.refresh_stale_store()

    @rule(seconds=st.sampled_from((1, 20, 130, 3700, 82000)))
    def wait(self, seconds):
        self.now += seconds

    @invariant()
    def at_most_once(self):
        for key, count in self.runs.items():
            assert count <= 1, f'ran {count} times: {key}'

    @invariant()
    def no_is_true(self):
        for run in [*self.live, *self.ended]:
            assert not (run.said == 'no' and run.has_sent), 'denied, but ran'

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
        for run in list(self.live):
            for _ in range(12):
                self.step(run, CallFate.ok)
            assert run.phase == 'over', 'does not end'
        self.at_most_once()
        self.no_is_true()


class _HopefulClaim(Claim):
    """Sends before the claim is known."""

    def on_event(self, event, now, wall):
        if event is CallFault.lost:
            return ClaimDone(ClaimOutcome.held, 0)
        return super().on_event(event, now, wall)


class _NoReadBackClaim(Claim):
    """Swaps again after a lost reply, and takes a conflict for its own."""

    _is_lost = False

    def on_event(self, event, now, wall):
        if event is CallFault.lost:
            self._is_lost = True
            return self._swap
        if event is CallFault.conflict and self._is_lost:
            return ClaimDone(ClaimOutcome.held, 0)
        return super().on_event(event, now, wall)


class _TakeoverClaim(Claim):
    """Takes over a claim whose time is past."""

    def _resolve(self, revision, existing, wall):
        is_open = existing['state'] is ClaimState.claimed
        if is_open and wall > existing['not_after'] + MAX_CLOCK_SKEW_SECONDS:
            self._swap = self._swap._replace(expected=revision)
            return self._swap
        return super()._resolve(revision, existing, wall)


class _RetryingAction(Action):
    """Asks another replica after silence."""

    def on_lost(self, reason, now, *, may_have_run):
        return super().on_lost(reason, now, may_have_run=False)


class _DenyingAction(Action):
    """Says 'not run' after silence."""

    def on_lost(self, reason, now, *, may_have_run):
        return ActionDone(ActionOutcome.not_run, reason, [])


VARIANTS = {
    'send before the claim is known': ('make_claim', _HopefulClaim),
    'no read-back': ('make_claim', _NoReadBackClaim),
    'take over an old claim': ('make_claim', _TakeoverClaim),
    'a lease instead of a claim': ('lease_ttl', 10.0),
    'claims that end before their key': ('lease_ttl', 7200.0),
    'keys that never expire': (
        'key_state',
        staticmethod(lambda key, wall: KeyState.valid),
    ),
    'retry after silence': ('make_action', _RetryingAction),
    'deny after silence': ('make_action', _DenyingAction),
}


def run_machine(examples, steps):
    machines.run_machine(ClaimMachine, examples, steps)


def variant_fault(name, examples, steps):
    """Return the fault that the machine finds in a known-bad variant."""
    return machines.variant_fault(ClaimMachine, VARIANTS[name], examples, steps)

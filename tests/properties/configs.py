"""State machine that tests the configuration logic on a model of the KV."""

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from crocusroad_core.configs import (
    Adoption,
    Change,
    FrontRegistry,
    FrontSynchronizer,
    FrontWrite,
    SwapKey,
    WriteDone,
    WriteOutcome,
    decode_stored_front,
    export_changes,
    import_changes,
)
from crocusroad_core.kv import CallFault
from tests.standins.model_kv import CallFate, ModelKv
from tests.support import state_machines

NAMES = ('north', 'south')
NODES = 3
WRITE_SECONDS = 5.0
UNWRITTEN = (
    WriteOutcome.conflict,
    WriteOutcome.unavailable,
    WriteOutcome.absent,
)

fates = st.sampled_from(CallFate)
names = st.sampled_from(NAMES)
nodes = st.integers(0, NODES - 1)


def spec(number):
    replica = {'name': 'r', 'address': f'10.0.0.1:{number}', 'zone': 'a'}
    shard = {'name': 's', 'replicas': [replica]}
    return {
        'shard_maps': [{'version': 1, 'shards': [shard]}],
        'callers': [],
        'kinds': [{'name': 'k'}],
    }


class ConfigMachine(RuleBasedStateMachine):
    """Interleaves writes, nodes, restarts and failures of the KV."""

    make_write = FrontWrite
    make_registry = FrontRegistry

    @initialize()
    def begin(self):
        self.kv = ModelKv()
        self.now = 0.0
        self.write_count = 0
        self.writes = {}  # id: [key, write, pending command]
        self.done = {}  # id: (key, base or None, outcome)
        self.nodes = []
        for _ in range(NODES):
            self.nodes.append(self.new_node())
        self.seen_revisions = [{} for _ in range(NODES)]
        self.payloads = []

    def new_node(self):
        registry = self.make_registry()
        return registry, FrontSynchronizer(registry)

    @rule(
        name=names,
        back=st.integers(0, 2),
        is_deletion=st.booleans(),
        script=st.lists(st.tuples(fates, st.booleans()), max_size=6),
    )
    def write(self, name, back, is_deletion, script):
        """Start a write and run its first steps, each with a given fate."""
        write_id = self.begin_write(name, back, is_deletion)
        for fate, is_applied in script:
            if is_applied:
                self.kv.apply_delayed(0, self.now)
            if write_id in self.writes:
                self.step(write_id, fate)

    @rule(name=names, node=nodes)
    def write_and_export(self, name, node):
        self.write(name, 0, False, [(CallFate.ok, False)] * 2)
        self.list_fronts(node, False)
        self.payloads.append(export_changes(self.nodes[node][0], 0))

    @rule(name=names, fate=fates)
    def apply_delayed_between_swaps(self, name, fate):
        """Apply a delayed swap after a read that did not see it."""
        steps = [(CallFate.ok, False), (CallFate.delayed, False)]
        self.write(name, 0, False, [*steps, (CallFate.ok, False), (fate, True)])

    def begin_write(self, name, back, is_deletion):
        history = [
            revision for key, _, revision in self.kv.writes if key == name
        ]
        expected = ([0, *history])[-1 - min(back, len(history))]
        self.write_count += 1
        number = self.write_count
        write = self.make_write(
            None if is_deletion else spec(number),
            expected,
            f'w{number}',
            self.now + WRITE_SECONDS,
        )
        self.writes[f'w{number}'] = [name, write, write.begin()]
        return f'w{number}'

    @rule(index=st.integers(0, 9), fate=fates)
    def step_write(self, index, fate):
        if self.writes:
            ids = sorted(self.writes)
            self.step(ids[index % len(ids)], fate)

    def step(self, write_id, fate):
        name, write, command = self.writes[write_id]
        if isinstance(command, SwapKey):
            event = self.kv.swap(
                name, command.value, command.expected, '', fate, self.now
            )
        else:
            event = self.kv.read(name, fate, self.now)
        command = write.on_event(event, self.now)
        self.writes[write_id][2] = command
        if isinstance(command, WriteDone):
            del self.writes[write_id]
            self.done[write_id] = (name, command)

    @rule(index=st.integers(0, 9))
    def abandon_write(self, index):
        if self.writes:
            ids = sorted(self.writes)
            del self.writes[ids[index % len(ids)]]

    @rule(index=st.integers(0, 9))
    def apply_delayed(self, index):
        self.kv.apply_delayed(index, self.now)

    @rule(seconds=st.sampled_from((0.1, 2.0, 6.0)))
    def wait(self, seconds):
        self.now += seconds

    @rule()
    def refresh_stale_store(self):
        self.kv.refresh_stale_store()

    @rule()
    def compact(self):
        self.kv.store.compact()

    @rule(node=nodes, is_stale=st.booleans())
    def list_fronts(self, node, is_stale):
        store = self.kv.stale_store if is_stale else self.kv.store
        reply = store.list('', self.now)
        self.nodes[node][1].on_list(reply['revision'], changes(reply))

    @rule(node=nodes, is_stale=st.booleans())
    def watch(self, node, is_stale):
        synchronizer = self.nodes[node][1]
        store = self.kv.stale_store if is_stale else self.kv.store
        reply = store.changes('', synchronizer.cursor, self.now)
        if reply is not None:
            synchronizer.on_changes(reply['revision'], changes(reply))

    @rule(node=nodes, back=st.integers(0, 3), size=st.sampled_from((1, 9999)))
    def export(self, node, back, size):
        registry = self.nodes[node][0]
        after = max(0, registry.position - back)
        self.payloads.append(export_changes(registry, after, size))

    @rule(node=nodes, index=st.integers(0, 9))
    def import_payload(self, node, index):
        if self.payloads:
            raw = self.payloads[index % len(self.payloads)]
            import_changes(self.nodes[node][0], raw)

    @rule(src=nodes, dst=nodes, back=st.integers(0, 3))
    def start_from_peer(self, src, dst, back):
        """Restart a node and import its first changes from a peer."""
        self.list_fronts(src, False)
        self.export(src, back, 9999)
        if src != dst:
            self.restart(dst)
            import_changes(self.nodes[dst][0], self.payloads[-1])

    @rule(node=nodes)
    def restart(self, node):
        self.nodes[node] = self.new_node()
        self.seen_revisions[node] = {}

    @invariant()
    def revisions_never_decrease(self):
        for (registry, _), seen in zip(
            self.nodes, self.seen_revisions, strict=True
        ):
            for name in NAMES:
                front = registry.find(name)
                revision = front.revision if front else registry.revision(name)
                assert revision >= seen.get(name, 0), 'revision decreased'
                seen[name] = revision
                if front:
                    assert front.revision == registry.revision(name)

    @invariant()
    def changes_are_known_up_to_position(self):
        for registry, _ in self.nodes:
            for key, _, revision in self.kv.writes:
                if revision <= registry.position:
                    assert registry.revision(key) >= revision, (
                        'gap below position'
                    )

    @invariant()
    def outcomes_are_true(self):
        revisions = {
            decode_stored_front(value)['lineage'][0].write_id: revision
            for _, value, revision in self.kv.writes
        }
        for write_id, (_, done) in self.done.items():
            if done.outcome is WriteOutcome.accepted:
                assert revisions.get(write_id) == done.revision, (
                    'accepted, but not written'
                )
            elif done.outcome in UNWRITTEN:
                assert write_id not in revisions, (
                    'written, but reported as not written'
                )

    @invariant()
    def each_base_is_replaced_once(self):
        bases = [
            (key, decode_stored_front(value)['lineage'][0].base)
            for key, value, _ in self.kv.writes
        ]
        assert len(bases) == len(set(bases))

    def teardown(self):
        if not hasattr(self, 'kv'):
            return
        while self.kv.delayed:
            self.kv.apply_delayed(0, self.now)
        self.outcomes_are_true()
        for write_id in list(self.writes):
            for _ in range(9):
                if write_id in self.writes:
                    self.step(write_id, CallFate.ok)
            assert write_id in self.done, 'write did not end'
        self.outcomes_are_true()
        reply = self.kv.store.list('', self.now)
        for registry, synchronizer in self.nodes:
            assert (
                synchronizer.on_list(reply['revision'], changes(reply))
                is not None
            )
            for entry in reply['entries']:
                spec_now = decode_stored_front(entry['value'])['spec']
                front = registry.find(entry['key'])
                assert (front is None) == (spec_now is None)
                if front:
                    assert front.revision == entry['revision']
        self.revisions_never_decrease()


def changes(reply):
    return [
        Change(entry['key'], entry['revision'], entry['value'])
        for entry in reply['entries']
    ]


class _LostMeansFailedWrite(FrontWrite):
    """Treats a lost reply as a write that did not take effect."""

    def on_event(self, result, now):
        if result is CallFault.lost and self._swap is not None:
            return WriteDone(WriteOutcome.unavailable, 0)
        return super().on_event(result, now)


class _LostMeansWrittenWrite(FrontWrite):
    """Treats a lost reply as a write that took effect."""

    def on_event(self, result, now):
        if result is CallFault.lost and self._swap is not None:
            return WriteDone(WriteOutcome.accepted, self._swap.expected + 1)
        return super().on_event(result, now)


class _NoReadBackWrite(FrontWrite):
    """Treats a conflict as another write without reading the key."""

    def on_event(self, result, now):
        if result is CallFault.conflict:
            return WriteDone(WriteOutcome.conflict, 0)
        return super().on_event(result, now)


class _NoComparisonRegistry(FrontRegistry):
    """Adopts every change without comparing revisions."""

    def adopt(self, change):
        self._newest_changes[change.name] = change
        return self._activate(change)


class _GapSkippingRegistry(FrontRegistry):
    """Advances the position to a change though earlier ones are unknown."""

    def adopt(self, change):
        adoption = super().adopt(change)
        if adoption is not Adoption.old:
            self.advance(change.revision)
        return adoption


VARIANTS = {
    'a lost reply means not written': ('make_write', _LostMeansFailedWrite),
    'a lost reply means written': ('make_write', _LostMeansWrittenWrite),
    'a conflict is not read back': ('make_write', _NoReadBackWrite),
    'revisions are not compared': ('make_registry', _NoComparisonRegistry),
    'the position skips a gap': ('make_registry', _GapSkippingRegistry),
}


def run_machine(examples, steps):
    state_machines.run_machine(ConfigMachine, examples, steps)


def find_failure(name, examples, steps):
    """Return the fault that the machine finds in a known-bad variant."""
    return state_machines.find_failure(
        ConfigMachine, VARIANTS[name], examples, steps
    )

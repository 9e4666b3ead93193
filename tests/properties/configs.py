"""Configuration: the real decisions over a model KV, any interleaving."""

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
from tests.support import machines

NAMES = ('north', 'south')
NODES = 3
SECONDS = 5.0  # a write's time
NEVER = (WriteOutcome.conflict, WriteOutcome.unavailable, WriteOutcome.absent)

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
    """Operators, nodes, restarts and a KV that fails."""

    make_write = FrontWrite
    make_book = FrontRegistry

    @initialize()
    def begin(self):
        self.kv = ModelKv()
        self.now = 0.0
        self.started = 0
        self.writes = {}  # id: [key, write, pending command]
        self.done = {}  # id: (key, base or None, outcome)
        self.nodes = []
        for _ in range(NODES):
            self.nodes.append(self.new_node())
        self.seen = [{} for _ in range(NODES)]
        self.payloads = []

    def new_node(self):
        book = self.make_book()
        return book, FrontSynchronizer(book)

    @rule(
        name=names,
        back=st.integers(0, 2),
        is_deletion=st.booleans(),
        script=st.lists(st.tuples(fates, st.booleans()), max_size=6),
    )
    def write(self, name, back, is_deletion, script):
        """Start a write and take its first steps, each with its fate."""
        write_id = self.start_write(name, back, is_deletion)
        for fate, lands in script:
            if lands:
                self.kv.land(0, self.now)
            if write_id in self.writes:
                self.step(write_id, fate)

    @rule(name=names, node=nodes)
    def write_and_spread(self, name, node):
        self.write(name, 0, False, [(CallFate.ok, False)] * 2)
        self.list_fronts(node, False)
        self.payloads.append(export_changes(self.nodes[node][0], 0))

    @rule(name=names, fate=fates)
    def land_between_swaps(self, name, fate):
        """A slow swap lands after a read that did not see it."""
        steps = [(CallFate.ok, False), (CallFate.delayed, False)]
        self.write(name, 0, False, [*steps, (CallFate.ok, False), (fate, True)])

    def start_write(self, name, back, is_deletion):
        history = [
            revision for key, _, revision in self.kv.truth if key == name
        ]
        expected = ([0, *history])[-1 - min(back, len(history))]
        self.started += 1
        number = self.started
        write = self.make_write(
            None if is_deletion else spec(number),
            expected,
            f'w{number}',
            self.now + SECONDS,
        )
        self.writes[f'w{number}'] = [name, write, write.begin()]
        return f'w{number}'

    @rule(place=st.integers(0, 9), fate=fates)
    def step_write(self, place, fate):
        if self.writes:
            ids = sorted(self.writes)
            self.step(ids[place % len(ids)], fate)

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

    @rule(place=st.integers(0, 9))
    def crash_writer(self, place):
        if self.writes:
            ids = sorted(self.writes)
            del self.writes[ids[place % len(ids)]]

    @rule(place=st.integers(0, 9))
    def land(self, place):
        self.kv.land(place, self.now)

    @rule(seconds=st.sampled_from((0.1, 2.0, 6.0)))
    def wait(self, seconds):
        self.now += seconds

    @rule()
    def lag(self):
        self.kv.lag()

    @rule()
    def compact(self):
        self.kv.store.compact()

    @rule(node=nodes, is_stale=st.booleans())
    def list_fronts(self, node, is_stale):
        store = self.kv.lagging if is_stale else self.kv.store
        found = store.list('', self.now)
        self.nodes[node][1].on_list(found['revision'], changes(found))

    @rule(node=nodes, is_stale=st.booleans())
    def watch(self, node, is_stale):
        feed = self.nodes[node][1]
        store = self.kv.lagging if is_stale else self.kv.store
        found = store.changes('', feed.cursor, self.now)
        if found is not None:
            feed.on_changes(found['revision'], changes(found))

    @rule(node=nodes, back=st.integers(0, 3), size=st.sampled_from((1, 9999)))
    def export(self, node, back, size):
        book = self.nodes[node][0]
        after = max(0, book.position - back)
        self.payloads.append(export_changes(book, after, size))

    @rule(node=nodes, place=st.integers(0, 9))
    def absorb(self, node, place):
        if self.payloads:
            raw = self.payloads[place % len(self.payloads)]
            import_changes(self.nodes[node][0], raw)

    @rule(src=nodes, dst=nodes, back=st.integers(0, 3))
    def start_from_peer(self, src, dst, back):
        """Restart a node; its first news comes from a peer."""
        self.list_fronts(src, False)
        self.export(src, back, 9999)
        if src != dst:
            self.restart(dst)
            import_changes(self.nodes[dst][0], self.payloads[-1])

    @rule(node=nodes)
    def restart(self, node):
        self.nodes[node] = self.new_node()
        self.seen[node] = {}

    @invariant()
    def never_back(self):
        for (book, _), seen in zip(self.nodes, self.seen, strict=True):
            for name in NAMES:
                front = book.find(name)
                revision = front.revision if front else book.revision(name)
                assert revision >= seen.get(name, 0), 'reverted'
                seen[name] = revision
                if front:
                    assert front.revision == book.revision(name)

    @invariant()
    def known_up_to_position(self):
        for book, _ in self.nodes:
            for key, _, revision in self.kv.truth:
                if revision <= book.position:
                    assert book.revision(key) >= revision, 'gap'

    @invariant()
    def outcomes_hold(self):
        landed = {
            decode_stored_front(value)['lineage'][0].write_id: revision
            for _, value, revision in self.kv.truth
        }
        for write_id, (_, done) in self.done.items():
            if done.outcome is WriteOutcome.accepted:
                assert landed.get(write_id) == done.revision, 'not accepted'
            elif done.outcome in NEVER:
                assert write_id not in landed, 'written, but denied'

    @invariant()
    def one_winner(self):
        bases = [
            (key, decode_stored_front(value)['lineage'][0].base)
            for key, value, _ in self.kv.truth
        ]
        assert len(bases) == len(set(bases))

    def teardown(self):
        if not hasattr(self, 'kv'):
            return
        while self.kv.delayed:
            self.kv.land(0, self.now)
        self.outcomes_hold()
        for write_id in list(self.writes):
            for _ in range(9):
                if write_id in self.writes:
                    self.step(write_id, CallFate.ok)
            assert write_id in self.done, 'does not end'
        self.outcomes_hold()
        found = self.kv.store.list('', self.now)
        for book, feed in self.nodes:
            assert feed.on_list(found['revision'], changes(found)) is not None
            for entry in found['entries']:
                spec_now = decode_stored_front(entry['value'])['spec']
                front = book.find(entry['key'])
                assert (front is None) == (spec_now is None)
                if front:
                    assert front.revision == entry['revision']
        self.never_back()


def changes(found):
    return [
        Change(entry['key'], entry['revision'], entry['value'])
        for entry in found['entries']
    ]


class _GuessingWrite(FrontWrite):
    """Takes a lost reply for a write that did not happen."""

    def on_event(self, result, now):
        if result is CallFault.lost and self._swap is not None:
            return WriteDone(WriteOutcome.unavailable, 0)
        return super().on_event(result, now)


class _HopefulWrite(FrontWrite):
    """Takes a lost reply for a write that happened."""

    def on_event(self, result, now):
        if result is CallFault.lost and self._swap is not None:
            return WriteDone(WriteOutcome.accepted, self._swap.expected + 1)
        return super().on_event(result, now)


class _BlindWrite(FrontWrite):
    """Takes a conflict for the work of another without looking."""

    def on_event(self, result, now):
        if result is CallFault.conflict:
            return WriteDone(WriteOutcome.conflict, 0)
        return super().on_event(result, now)


class _ForgetfulBook(FrontRegistry):
    """Adopts whatever comes, without comparing revisions."""

    def adopt(self, change):
        self._newest_changes[change.name] = change
        return self._activate(change)


class _LeapingBook(FrontRegistry):
    """Takes the newest change seen for all that came before it."""

    def adopt(self, change):
        adoption = super().adopt(change)
        if adoption is not Adoption.old:
            self.advance(change.revision)
        return adoption


VARIANTS = {
    'no read-back': ('make_write', _GuessingWrite),
    'lost means written': ('make_write', _HopefulWrite),
    'conflict without a look': ('make_write', _BlindWrite),
    'adopt without comparing': ('make_book', _ForgetfulBook),
    'position over a gap': ('make_book', _LeapingBook),
}


def run_machine(examples, steps):
    machines.run_machine(ConfigMachine, examples, steps)


def variant_fault(name, examples, steps):
    """Return the fault that the machine finds in a known-bad variant."""
    return machines.variant_fault(
        ConfigMachine, VARIANTS[name], examples, steps
    )

import json

from behave import given, then, when

from crocusroad_core.configs import (
    Adoption,
    Change,
    ChangeHistory,
    FrontEvent,
    FrontRegistry,
    FrontSynchronizer,
    FrontWrite,
    LineageEntry,
    SwapKey,
    WriteDone,
    encode_stored_front,
    export_changes,
    import_changes,
    is_watcher,
    poll_period,
)
from crocusroad_core.fronts import check_spec
from tests.properties import configs
from tests.standins.model_kv import CallFate, ModelKv

KEY = 'north'
LATER_WRITES = 32


@then('the configuration machine finds no fault in {count:d} histories')
def step_machine(context, count):
    configs.run_machine(count, 60)


@then('the configuration machine finds the fault "{fault}" if "{variant}"')
def step_variant(context, fault, variant):
    found = configs.find_failure(variant, 400, 60)
    assert found is not None and found.startswith(fault), found


def write_now(kv, number, now=0.0):
    """Write as another operator over the current revision."""
    entry = kv.store.read(KEY, now)
    expected = entry['revision'] if entry else 0
    write = FrontWrite(
        configs.spec(number), expected, f'other{number}', now + 9
    )
    command = write.begin()
    while not isinstance(command, WriteDone):
        command = write.on_event(call(kv, command, CallFate.ok, now), now)


def call(kv, command, fate, now):
    if isinstance(command, SwapKey):
        return kv.swap(KEY, command.value, command.expected, '', fate, now)
    return kv.read(KEY, fate, now)


@given('a front key at revision 3 after three writes')
def step_three_writes(context):
    context.kv = ModelKv()
    for number in (1, 2, 3):
        write_now(context.kv, number)


@when('the {call_name} of a write at revision 3 has the fate "{fate}"')
def step_write_with_fate(context, call_name, fate):
    kv, now = context.kv, 0.0
    write = FrontWrite(configs.spec(9), 3, 'mine', now + 5)
    command = write.begin()
    is_applied = False
    while not isinstance(command, WriteDone):
        now += 0.5
        is_due = isinstance(command, SwapKey) == (call_name == 'swap')
        event = None
        if is_due and not is_applied:
            is_applied = True
            event = call_with_fate(kv, command, fate, now)
        elif is_applied and fate.endswith('outage'):
            event = call(kv, command, CallFate.refused, now)
        command = write.on_event(
            event or call(kv, command, CallFate.ok, now), now
        )
    context.done = command


def call_with_fate(kv, command, fate, now):
    if fate == 'outage':
        return call(kv, command, CallFate.refused, now)
    if fate == 'raced':
        write_now(kv, 10)
        return call(kv, command, CallFate.ok, now)
    if fate.startswith('replaced'):
        event = call(kv, command, CallFate.lost_after, now)
        for number in range(LATER_WRITES if 'lineage' in fate else 1):
            write_now(kv, 10 + number)
        return event
    if fate == 'lost, then outage':
        return call(kv, command, CallFate.lost_after, now)
    event = call(kv, command, CallFate(fate), now)
    kv.apply_delayed(0, now)
    return event


@then('the configuration write ends as "{outcome}" after {count:d} effects')
def step_write_ends(context, outcome, count):
    revisions = [
        revision
        for _, value, revision in context.kv.writes
        if json.loads(value)['lineage'][0][1] == 'mine'
    ]
    assert context.done.outcome.value == outcome, context.done
    assert len(revisions) == count, revisions
    if outcome == 'accepted':
        assert revisions == [context.done.revision]


def stored(spec, revision):
    return encode_stored_front(
        spec, LineageEntry(revision - 1, f'w{revision}'), []
    )


@given('a node that adopted revision 5 of a front')
def step_adopted(context):
    context.registry = FrontRegistry()
    context.synchronizer = FrontSynchronizer(context.registry)
    change = Change(KEY, 5, stored(configs.spec(5), 5))
    assert (
        context.synchronizer.on_list(5, [change])[0].adoption
        is Adoption.adopted
    )


@when('its KV {event}')
def step_kv_answers(context, event):
    change = Change(KEY, 4, stored(configs.spec(4), 4))
    if event.startswith('watches'):
        context.applied = context.synchronizer.on_changes(4, [])
    elif event.startswith('lists'):
        context.applied = context.synchronizer.on_list(4, [change])
    else:
        context.applied = context.synchronizer.on_list(4, [])


@then('revision 5 stays active and the answer is rejected')
def step_answer_rejected(context):
    assert context.applied is None
    assert context.registry.find(KEY).revision == 5


@when('the node receives a change with "{value}" at revision {revision:d}')
def step_change(context, value, revision):
    values = {
        'a valid spec': stored(configs.spec(6), revision),
        'an invalid spec': stored(configs.spec(6) | {'kinds': []}, revision),
        'not JSON': '{',
        'a tombstone': stored(None, revision),
        'no key': None,
    }
    change = Change(KEY, revision, values[value])
    ((_, context.adoption),) = context.synchronizer.on_changes(6, [change])


@then('the change is "{adoption}" and revision {active:d} is active')
def step_active_revision(context, adoption, active):
    front = context.registry.find(KEY)
    assert context.adoption.value == adoption, context.adoption
    assert (front.revision if front else 0) == active


@then('a new node that pulls from it in pieces is synced at position 5')
def step_pull(context):
    change = Change('south', 3, stored(configs.spec(3), 3))
    context.registry.adopt(change)
    registry, is_last = FrontRegistry(), False
    while not is_last:
        assert not registry.is_synced
        raw = export_changes(context.registry, registry.position, 1)
        is_last = import_changes(registry, raw).is_last
    assert registry.is_synced and registry.position == 5
    assert registry.names == ['north', 'south']


@then('a new node that pulls from a node that is not synced is not synced')
def step_not_synced(context):
    registry = FrontRegistry()
    import_changes(registry, export_changes(FrontRegistry(), 0))
    assert not registry.is_synced


@then('the faults of a spec with seven faults have these paths')
def step_fault_paths(context):
    replica = {'name': 'r', 'address': 'nowhere', 'zone': 'a'}
    good = replica | {'address': 'h:1'}
    shards = [
        {'name': 's', 'replicas': [replica]},
        {'name': 's', 'replicas': [good]},
    ]
    spec = {
        'shard_maps': [{'version': 0, 'shards': shards}],
        'callers': [{'name': 'c', 'token_sha256': 'x'}],
        'kinds': [{'deadline_ms': 0}],
        'surplus': 1,
    }
    found = {fault['path'] for fault in check_spec(spec)}
    assert found == {row['path'] for row in context.table}, found
    assert not check_spec(configs.spec(1))


@then('{count:d} nodes hold at most 5 watches')
def step_watches(context, count):
    members = frozenset(f'node-{number}' for number in range(count))
    watching = [name for name in members if is_watcher(name, members)]
    assert len(watching) == min(5, count), watching
    context.members = count


@then('their polls stay under {rate:d} reads a second and {bound:d} seconds')
def step_polls(context, rate, bound):
    periods = [
        poll_period(context.members, percent / 100) for percent in range(101)
    ]
    assert max(periods) <= bound
    assert context.members / min(periods) <= rate


@then('a history of 3 events that recorded 5 starts after the second')
def step_history(context):
    history = ChangeHistory(3)
    for revision in range(1, 6):
        history.record(FrontEvent('f', revision, Adoption.adopted))
    assert history.between(1, 9) is None
    assert [event.revision for event in history.between(2, 4)] == [3, 4]

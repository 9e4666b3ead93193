import asyncio
from itertools import product

from behave import given, then, when
from returns.result import Success

from crocusroad_core.fronts import build_front
from crocusroad_core.gather import FailureReason, Policy
from crocusroad_node.serving import SearchCall, SearchService
from tests.support import fake_upstreams as fakes
from tests.support.virtual_loop import run_virtual

DEADLINE = 0.5
HEDGE = 0.05
NOT_SENT = {'connect-refused', 'connect-timeout', 'no-connection', 'shed'}
NOT_SENT |= {'draining', 'wrong-version', 'not-here', 'rejected'}


def behaviour(text):
    """Parse the words of a cell: what a replica does."""
    word, *rest = text.split()
    if word == 'whole':
        return fakes.whole
    if word == 'slow':
        return fakes.slow(float(rest[0]))
    if word == 'lose':
        times = int(rest[2]) if len(rest) > 2 else None
        return fakes.refused(rest[0], float(rest[1]), times)
    if word == 'crossed':
        return fakes.changed(
            **{rest[0]: {'shard': 'zz', 'version': 77}[rest[0]]}
        )
    return {
        'raise': fakes.raising(KeyError('x')),
        'runs-then-breaks': fakes.runs_then(FailureReason.broken),
        'runs-then-silent': fakes.runs_then(None),
        'late-after-cancel': fakes.late_after_cancel,
        'poison': fakes.poison,
    }[word]


def front_of(maps):
    shard_maps = [
        {
            'version': version,
            'shards': [
                {
                    'name': shard,
                    'replicas': [
                        {
                            'name': f'{shard}-{copy}',
                            'address': '127.0.0.1:1',
                            'zone': 'a',
                        }
                        for copy in 'ab'
                    ],
                }
                for shard in shards
            ],
        }
        for version, shards in maps.items()
    ]
    kinds = [{'name': 'look', 'deadline_ms': int(DEADLINE * 1000)}]
    kinds.append({**kinds[0], 'name': 'once', 'repeatable': False})
    spec = {
        'shard_maps': shard_maps,
        'callers': [{'name': 'c', 'token_sha256': 't', 'rate': 1e9}],
        'kinds': kinds,
    }
    return build_front('f', 1, spec)


class Book:
    def __init__(self, front):
        self.front = front

    def find(self, name):
        return self.front


class Trial:
    """One search over four shards; faults sit on the replicas of s1."""

    def __init__(self, maps=None, faults=None, versions=None, budget=9):
        self.maps = maps or {1: ['s0', 's1', 's2', 's3']}
        self.upstreams = fakes.FakeUpstreams(faults, versions)
        self.budget = budget
        self.spent = 0
        self.kind = 'look'
        self.canary = False
        self.hang_up_after = None
        self.result = None
        self.seconds = None
        self.finish = None

    def spend(self, shard, now):
        is_left = self.spent < self.budget
        self.spent += is_left
        return is_left

    def run(self):
        run_virtual(self._run())
        self.check()
        return self

    async def _run(self):
        policy = Policy(
            pick=lambda shard, some, now: some[0],
            hedge_delay=lambda shard, now: HEDGE,
            spend=self.spend,
            allow_replacement=lambda has_run, now: True,
        )
        front = front_of(self.maps)
        args = [Book(front), self.upstreams, lambda front: policy]
        service = SearchService(*args, **self._guard())
        body = {'kind': self.kind, 'query': {}, 'limit': 100}
        call = SearchCall('r', 'f', 't', body)
        loop = asyncio.get_running_loop()
        started = loop.time()
        task = loop.create_task(service.search(call))
        await asyncio.wait((task,), timeout=self.hang_up_after)
        task.cancel()
        await asyncio.wait((task,))
        self.seconds = loop.time() - started
        self.result = None if task.cancelled() else task.result()
        await asyncio.sleep(0.001)
        self.left_running = self.upstreams.running
        await asyncio.sleep(2 * DEADLINE)

    def _guard(self):
        if not self.canary:
            return {}
        from crocusroad_node.serving import CrashGuard

        def ended(call, finish):
            self.finish = finish

        lost = lambda call, attempt, reason, now: None  # noqa: E731
        return {'guard': CrashGuard(lambda call: True, lost, ended)}

    @property
    def answer(self):
        assert isinstance(self.result, Success), self.result
        return self.result.unwrap()

    def check(self):
        """Check what must hold whatever fails."""
        assert self.seconds <= DEADLINE + 0.002, f'not prompt: {self.seconds}'
        extra = sum(max(0, n - 1) for n in self.upstreams.ran.values())
        sent = sum(self.upstreams.ran.values())
        assert not self.left_running or self.stubborn, 'work left upstream'
        if self.result is None:
            return
        if not isinstance(self.result, Success):
            refusal = self.result.failure()
            assert refusal.ran != 'no' or not sent, refusal
            return
        answer = self.result.unwrap()
        coverage = answer['coverage']
        shards = set(self.maps[answer['snapshot']])
        missing = {one['shard'] for one in coverage['missing']}
        assert coverage['shards'] == len(shards), coverage
        assert coverage['answered'] == len(shards) - len(missing), coverage
        expected = {f'{one}@{answer["snapshot"]}' for one in shards - missing}
        ids = [one['id'] for one in answer['records']]
        assert sorted(ids) == sorted(expected), (ids, coverage)
        replaced = len(self.maps[1])
        assert extra <= self.spent + replaced, (extra, self.spent)

    @property
    def stubborn(self):
        faults = self.upstreams.faults.values()
        return fakes.late_after_cancel in faults


def trial_of(first, second, **kwargs):
    faults = {'s1-a': behaviour(first), 's1-b': behaviour(second)}
    return Trial(faults=faults, **kwargs)


@given('the replicas of one shard of four that "{first}" and "{second}"')
def step_replicas(context, first, second):
    context.trial = trial_of(first, second)


@given('replicas of that shard that "{first}" and "{second}" without budget')
def step_no_budget(context, first, second):
    context.trial = trial_of(first, second, budget=0)


@given('every replica would "{fault}"')
def step_all_faulty(context, fault):
    maps = {1: ['s0', 's1', 's2', 's3']}
    names = [f'{shard}-{copy}' for shard in maps[1] for copy in 'ab']
    context.trial = Trial(faults={name: behaviour(fault) for name in names})


@given('index versions "{served}" on the replicas and shard maps "{maps}"')
def step_versions(context, served, maps):
    # served: "s1-a=2 s1-b=1"; maps: "1=s0,s1 2=s0,s1"
    pairs = [one.split('=') for one in served.split()]
    versions = {
        name: [int(one) for one in held.split(',')] for name, held in pairs
    }
    shard_maps = [one.split('=') for one in maps.split()]
    shard_maps = {int(one): names.split(',') for one, names in shard_maps}
    context.trial = Trial(shard_maps, versions=versions)


@given('the query must be tried on one shard first')
def step_needs_canary(context):
    context.trial.canary = True


@when('a repeatable search is served')
def step_served(context):
    context.trial.run()


@when('a search that may not be repeated is served')
def step_served_once(context):
    context.trial.kind = 'once'
    context.trial.run()


@when('the caller hangs up after {seconds:g} s')
def step_hang_up(context, seconds):
    context.trial.hang_up_after = seconds
    context.trial.run()


@then('it answers {answered:d} shards, missing "{reason}"')
def step_answers(context, answered, reason):
    coverage = context.trial.answer['coverage']
    assert coverage['answered'] == answered, coverage
    reasons = {one['reason'] for one in coverage['missing']} or {'none'}
    assert reasons == {reason}, reasons


@then('it takes at most {seconds:g} s')
def step_takes(context, seconds):
    assert context.trial.seconds <= seconds + 1e-6, context.trial.seconds


@then('the answer comes from snapshot {version:d}')
def step_snapshot(context, version):
    assert context.trial.answer['snapshot'] == version


@then('the shard was asked {times:d} times')
def step_asked(context, times):
    asked = [one for one in context.trial.upstreams.asked if one[1] == 's1']
    assert len(asked) == times, asked


@then('it is refused as "{kind}", run "{ran}"')
def step_refused(context, kind, ran):
    refusal = context.trial.result.failure()
    assert (refusal.kind.value, refusal.ran) == (kind, ran), refusal


@then('at most {count:d} upstreams crashed')
def step_crashed(context, count):
    crashed = context.trial.upstreams.crashed
    assert 0 < len(crashed) <= count, crashed


@then('the suspects are named to the guard')
def step_suspects(context):
    names = {one.replica for one in context.trial.finish.suspects}
    assert names == context.trial.upstreams.crashed, names


@then('nothing is left running upstream')
def step_nothing_left(context):
    assert context.trial.left_running == 0


FAULTS = [
    'whole', 'slow 0.3', 'slow 9', 'lose connect-refused 0.001',
    'lose no-connection 0.001', 'lose shed 0.001', 'lose shed 0.001 1',
    'lose draining 0.001', 'lose wrong-version 0.001', 'lose broken 0.001',
    'lose broken 0.04', 'lose broken 0.2', 'lose garbled 0.006',
    'lose silent 0.1', 'crossed shard',
    'crossed version', 'raise', 'runs-then-breaks', 'runs-then-silent',
    'late-after-cancel',
]  # fmt: skip
LIVE = {'whole', 'slow 0.3', 'lose shed 0.001 1'}


@then('every pair of faults holds with budget {budget:d}')
def step_pairs(context, budget):
    wrong = []
    for first, second in product(FAULTS, FAULTS):
        trial = trial_of(first, second, budget=budget)
        try:
            trial.run()
            if budget and {first, second} & LIVE:
                assert not trial.answer['coverage']['missing'], trial.answer
        except (AssertionError, RuntimeError) as exc:
            wrong.append(f'{first} + {second}: {exc}')
    assert not wrong, f'{len(wrong)} pairs:\n' + '\n'.join(wrong[:20])

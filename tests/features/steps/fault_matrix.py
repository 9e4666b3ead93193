import asyncio
from itertools import product

from behave import given, then, when
from returns.result import Success

from crocusroad_core.fronts import build_front
from crocusroad_core.gather import FailureReason, Policy
from crocusroad_node.serving import SearchCall, SearchService
from tests.support import fake_upstreams as fakes
from tests.support.virtual_loop import run_virtual

DEADLINE_SECONDS = 0.5
HEDGE_SECONDS = 0.05
NOT_SENT = {'connect-refused', 'connect-timeout', 'no-connection', 'shed'}
NOT_SENT |= {'draining', 'wrong-version', 'not-here', 'rejected'}


def parse_fault(text):
    """Return the fault that a cell describes, for a replica."""
    name, *args = text.split()
    if name == 'healthy':
        return fakes.healthy
    if name == 'slow':
        return fakes.slow(float(args[0]))
    if name == 'fail':
        times = int(args[2]) if len(args) > 2 else None
        return fakes.fail_with(args[0], float(args[1]), times)
    if name == 'crossed':
        return fakes.answer_with(
            **{args[0]: {'shard': 'zz', 'version': 77}[args[0]]}
        )
    return {
        'raise': fakes.raise_error(KeyError('x')),
        'runs-then-breaks': fakes.run_then_fail(FailureReason.broken),
        'runs-then-silent': fakes.run_then_fail(None),
        'answers-after-cancel': fakes.answer_after_cancel,
        'crash': fakes.crash,
    }[name]


def build_test_front(maps):
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
    kinds = [{'name': 'look', 'deadline_ms': int(DEADLINE_SECONDS * 1000)}]
    kinds.append({**kinds[0], 'name': 'once', 'repeatable': False})
    spec = {
        'shard_maps': shard_maps,
        'callers': [{'name': 'c', 'token_sha256': 't', 'rate': 1e9}],
        'kinds': kinds,
    }
    return build_front('f', 1, spec)


class SingleFrontRegistry:
    def __init__(self, front):
        self.front = front

    def find(self, name):
        return self.front


class SearchTrial:
    """A search of four shards, where the replicas of s1 may have faults."""

    def __init__(self, maps=None, faults=None, versions=None, budget=9):
        self.maps = maps or {1: ['s0', 's1', 's2', 's3']}
        self.upstreams = fakes.FakeUpstreams(faults, versions)
        self.budget = budget
        self.spent = 0
        self.kind = 'look'
        self.needs_canary = False
        self.disconnect_after = None
        self.result = None
        self.seconds = None
        self.finish = None

    def spend(self, shard, now):
        has_budget = self.spent < self.budget
        self.spent += has_budget
        return has_budget

    def run(self):
        run_virtual(self._run())
        self.check()
        return self

    async def _run(self):
        policy = Policy(
            pick=lambda shard, candidates, now: candidates[0],
            hedge_delay=lambda shard, now: HEDGE_SECONDS,
            spend=self.spend,
            allow_replacement=lambda may_have_run, now: True,
        )
        front = build_test_front(self.maps)
        args = [
            SingleFrontRegistry(front),
            self.upstreams,
            lambda front: policy,
        ]
        service = SearchService(*args, **self._guard())
        body = {'kind': self.kind, 'query': {}, 'limit': 100}
        call = SearchCall('r', 'f', 't', body)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        task = loop.create_task(service.search(call))
        await asyncio.wait((task,), timeout=self.disconnect_after)
        task.cancel()
        await asyncio.wait((task,))
        self.seconds = loop.time() - started_at
        self.result = None if task.cancelled() else task.result()
        await asyncio.sleep(0.001)
        self.left_running = self.upstreams.running
        await asyncio.sleep(2 * DEADLINE_SECONDS)

    def _guard(self):
        if not self.needs_canary:
            return {}
        from crocusroad_node.serving import CrashGuard

        def on_query_end(call, finish):
            self.finish = finish

        on_attempt_failure = lambda call, attempt, reason, now: None  # noqa: E731
        return {
            'guard': CrashGuard(
                lambda call: True, on_attempt_failure, on_query_end
            )
        }

    @property
    def answer(self):
        assert isinstance(self.result, Success), self.result
        return self.result.unwrap()

    def check(self):
        """Check the guarantees that hold under every fault."""
        assert self.seconds <= DEADLINE_SECONDS + 0.002, (
            f'too late: {self.seconds}'
        )
        extra = sum(max(0, n - 1) for n in self.upstreams.run_counts.values())
        runs = sum(self.upstreams.run_counts.values())
        assert not self.left_running or self.answers_after_cancel, (
            'work is left upstream'
        )
        if self.result is None:
            return
        if not isinstance(self.result, Success):
            refusal = self.result.failure()
            assert refusal.ran != 'no' or not runs, refusal
            return
        answer = self.result.unwrap()
        coverage = answer['coverage']
        shards = set(self.maps[answer['snapshot']])
        missing = {entry['shard'] for entry in coverage['missing']}
        assert coverage['shards'] == len(shards), coverage
        assert coverage['answered'] == len(shards) - len(missing), coverage
        expected = {f'{name}@{answer["snapshot"]}' for name in shards - missing}
        ids = [record['id'] for record in answer['records']]
        assert sorted(ids) == sorted(expected), (ids, coverage)
        replacements = len(self.maps[1])
        assert extra <= self.spent + replacements, (extra, self.spent)

    @property
    def answers_after_cancel(self):
        faults = self.upstreams.faults.values()
        return fakes.answer_after_cancel in faults


def make_trial(first, second, **kwargs):
    faults = {'s1-a': parse_fault(first), 's1-b': parse_fault(second)}
    return SearchTrial(faults=faults, **kwargs)


@given('one shard of four whose replicas behave as "{first}" and "{second}"')
def step_replicas(context, first, second):
    context.trial = make_trial(first, second)


@given(
    'one shard of four whose replicas behave as "{first}" and "{second}", '
    'without retry budget'
)
def step_no_budget(context, first, second):
    context.trial = make_trial(first, second, budget=0)


@given('every replica behaves as "{fault}"')
def step_all_faulty(context, fault):
    maps = {1: ['s0', 's1', 's2', 's3']}
    names = [f'{shard}-{copy}' for shard in maps[1] for copy in 'ab']
    context.trial = SearchTrial(
        faults={name: parse_fault(fault) for name in names}
    )


@given('replicas that serve versions "{served}" and shard maps "{maps}"')
def step_versions(context, served, maps):
    # served: "s1-a=2 s1-b=1"; maps: "1=s0,s1 2=s0,s1"
    pairs = [entry.split('=') for entry in served.split()]
    versions = {
        name: [int(version) for version in listed.split(',')]
        for name, listed in pairs
    }
    shard_maps = [entry.split('=') for entry in maps.split()]
    shard_maps = {int(key): names.split(',') for key, names in shard_maps}
    context.trial = SearchTrial(shard_maps, versions=versions)


@given('the query needs a canary shard')
def step_needs_canary(context):
    context.trial.needs_canary = True


@when('a repeatable search is served')
def step_served(context):
    context.trial.run()


@when('a search that is not repeatable is served')
def step_served_once(context):
    context.trial.kind = 'once'
    context.trial.run()


@when('the caller disconnects after {seconds:g} s')
def step_disconnect(context, seconds):
    context.trial.disconnect_after = seconds
    context.trial.run()


@then('the search covers {answered:d} shards, missing "{reason}"')
def step_answers(context, answered, reason):
    coverage = context.trial.answer['coverage']
    assert coverage['answered'] == answered, coverage
    reasons = {entry['reason'] for entry in coverage['missing']} or {'none'}
    assert reasons == {reason}, reasons


@then('the search takes at most {seconds:g} s')
def step_takes(context, seconds):
    assert context.trial.seconds <= seconds + 1e-6, context.trial.seconds


@then('the answer comes from snapshot {version:d}')
def step_snapshot(context, version):
    assert context.trial.answer['snapshot'] == version


@then('the faulty shard was queried {times:d} times')
def step_asked(context, times):
    sent = [query for query in context.trial.upstreams.sent if query[1] == 's1']
    assert len(sent) == times, sent


@then('the search is refused as "{kind}", with ran "{ran}"')
def step_refused(context, kind, ran):
    refusal = context.trial.result.failure()
    assert (refusal.kind.value, refusal.ran) == (kind, ran), refusal


@then('at most {count:d} upstreams crashed')
def step_crashed(context, count):
    crashed = context.trial.upstreams.crashed
    assert 0 < len(crashed) <= count, crashed


@then('the guard receives the crashed upstreams as suspects')
def step_suspects_reported(context):
    names = {suspect.replica for suspect in context.trial.finish.suspects}
    assert names == context.trial.upstreams.crashed, names


@then('no sub-request is left running upstream')
def step_nothing_left(context):
    assert context.trial.left_running == 0


FAULTS = [
    'healthy', 'slow 0.3', 'slow 9', 'fail connect-refused 0.001',
    'fail no-connection 0.001', 'fail shed 0.001', 'fail shed 0.001 1',
    'fail draining 0.001', 'fail wrong-version 0.001', 'fail broken 0.001',
    'fail broken 0.04', 'fail broken 0.2', 'fail garbled 0.006',
    'fail silent 0.1', 'crossed shard',
    'crossed version', 'raise', 'runs-then-breaks', 'runs-then-silent',
    'answers-after-cancel',
]  # fmt: skip
ANSWERING_FAULTS = {'healthy', 'slow 0.3', 'fail shed 0.001 1'}


@then('every pair of faults passes the checks with budget {budget:d}')
def step_pairs(context, budget):
    failed_pairs = []
    for first, second in product(FAULTS, FAULTS):
        trial = make_trial(first, second, budget=budget)
        try:
            trial.run()
            if budget and {first, second} & ANSWERING_FAULTS:
                assert not trial.answer['coverage']['missing'], trial.answer
        except (AssertionError, RuntimeError) as exc:
            failed_pairs.append(f'{first} + {second}: {exc}')
    assert not failed_pairs, f'{len(failed_pairs)} pairs failed:\n' + '\n'.join(
        failed_pairs[:20]
    )

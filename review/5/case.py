"""A request that crashes each replica that runs it, and that comes again."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent.parent))

from review.fleet import BOUNDS, TROUBLE, route, run_case  # noqa: E402

BACK_SECONDS = 3.0  # "the replica is back after some seconds"
RETURNS = 20
RETURN_SECONDS = 1.5
STABLE_SECONDS = BOUNDS['StableWindowMs'] / 1000
MAX_RETRIES = 3


async def play(fleet):
    await fleet.start_store()
    crashes = []

    async def come_back(replica):
        await asyncio.sleep(BACK_SECONDS)
        await replica.start()
        fleet.record('back', replica.name)

    def on_run(replica, req):
        if TROUBLE and req.path == '/read/poison':
            crashes.append(fleet.now())
            fleet.record('crash', replica.name, req.headers['x-request-id'])
            asyncio.get_running_loop().call_soon(replica.end)
            tasks.append(asyncio.create_task(come_back(replica)))

    tasks = []
    for letter in 'abcdefgh':
        replica = await fleet.add_replica(
            f'i-{letter}', 'meter-field', lambda path: 0.171, max_conns=110
        )
        replica.on_run = on_run
    fleet.configure(
        [route('read', '/read/', Service='meter-field')], {'meter-field': 110}
    )
    names = ['g0', 'g1', 'g2']
    await fleet.spawn_ready(*names)
    await asyncio.sleep(5)
    poisoned = []
    others = []

    async def serve_others():
        while True:
            for name in names:
                _, status, _ = await fleet.ask(name, '/read/1')
                others.append(status)
            await asyncio.sleep(0.1)

    beside = asyncio.create_task(serve_others())
    for number in range(RETURNS):
        sent_at = fleet.now()
        answer = await fleet.ask(names[number % 3], '/read/poison')
        poisoned.append((sent_at, *answer))
        await asyncio.sleep(RETURN_SECONDS)
    beside.cancel()
    await asyncio.gather(beside, *tasks, return_exceptions=True)
    third = crashes[2] if len(crashes) > 2 else float('inf')
    late = [
        request_id
        for _, request_id, _, _ in poisoned
        if any(
            seen > third + STABLE_SECONDS for seen, _ in fleet.runs[request_id]
        )
    ]
    for request_id in late:
        fleet.record('BUDGET', request_id, fleet.runs[request_id])
    served = others.count(200)
    return len(late) > MAX_RETRIES, (
        f'{len(poisoned)} returns of one request, {len(crashes)} crashes; '
        f'returns that reached replicas later than {STABLE_SECONDS} s after '
        f'the third crash: {len(late)}, allowed {MAX_RETRIES}; other requests '
        f'served: {served} of {len(others)}'
    )


run_case(HERE, play)

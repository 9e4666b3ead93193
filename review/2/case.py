"""An entry of another writer beside the registrations of the replicas."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent.parent))

from review.fleet import BOUNDS, TROUBLE, route, run_case  # noqa: E402

DEPTH = 2000  # of the entry: 4 KB, where the store takes 1 MB
DRAIN_SECONDS = BOUNDS['DrainMs'] / 1000
NAMES = ('g0', 'g1', 'g2')


async def play(fleet):
    await fleet.start_store()
    for letter in 'abcd':
        await fleet.add_replica(
            f'i-{letter}', 'meter-field', lambda path: 0.05, max_conns=110
        )
    fleet.configure(
        [route('read', '/read/', Service='meter-field')], {'meter-field': 110}
    )
    await fleet.spawn_ready(*NAMES)
    await asyncio.sleep(5)
    results = {}

    async def read(name):
        while True:
            request_id, status, _ = await fleet.ask(name, '/read/1')
            results[request_id] = status
            await asyncio.sleep(0.1)

    reads = [asyncio.create_task(read(name)) for name in NAMES]
    if TROUBLE:
        value = '{"note": ' + '[' * DEPTH + ']' * DEPTH + '}'
        fleet.store.put('servers/i-other', value)
        fleet.record('store', 'i-other', f'{len(value)} bytes')
    await asyncio.sleep(5)
    leaving = fleet.replicas['i-a']
    fleet.register(leaving, 'draining')
    drained_at = fleet.now()
    await asyncio.sleep(DRAIN_SECONDS + 5)
    for task in reads:
        task.cancel()
    await asyncio.gather(*reads, return_exceptions=True)
    late = [
        request_id
        for request_id, runs in fleet.runs.items()
        if any(
            name == 'i-a' and seen > drained_at + DRAIN_SECONDS
            for seen, name in runs
        )
    ]
    for request_id in late:
        fleet.record('DRAIN', request_id, fleet.runs[request_id])
    # A gateway that is stopped and started as usual.
    fleet.procs['g0'].terminate()
    fleet.procs['g0'].wait(10)
    fleet.spawn('g0')
    await asyncio.sleep(12)
    is_ready = await fleet.is_ready('g0')
    fleet.record('g0 is ready 12 s after its restart:', is_ready)
    return bool(late), (
        f'run by the draining replica later than {DRAIN_SECONDS} s after the '
        f'acknowledgement: {len(late)}; a gateway is ready 12 s after a '
        f'restart: {is_ready}'
    )


run_case(HERE, play)

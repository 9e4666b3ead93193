"""A late second copy of a refusal on the connection of the same request."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent.parent))

from review.fleet import TROUBLE, route, run_case  # noqa: E402

# garble "extra late" of the site: at most 0.6 of the servers for 5 s at a time,
# and 3 % of their answers.
WINDOW_SECONDS = 5.0
GAP_SECONDS = 2.0
MAX_RATIO = 0.03
COPY_DELAY_SECONDS = 0.06
PLAY_SECONDS = 80.0
FILLERS = 9
PAYERS = ('g0', 'g2', 'g3')  # gateways that get payments
POST_SECONDS = 1.5  # between two payments at one of them
WORK_SECONDS = {'/read/1': 0.03, '/post/1': 0.171}  # as the sheet says


class Garble:
    """Sends a second copy of few of a replica's answers, some time later."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.base = 0
        self.copies = 0
        self.is_on = False

    def start_window(self, replica):
        self.base = replica.answers
        self.copies = 0
        self.is_on = True

    def on_answer(self, replica, req, status, raw, writer):
        answers = replica.answers - self.base
        is_due = (self.copies + 1) <= MAX_RATIO * answers
        if not (TROUBLE and self.is_on and is_due and req.method == 'POST'):
            return
        if status != 503:
            return
        self.copies += 1
        asyncio.get_running_loop().call_later(
            COPY_DELAY_SECONDS, self._send_copy, replica, req, raw, writer
        )

    def _send_copy(self, replica, req, raw, writer):
        if not writer.is_closing():
            writer.write(raw)
            self.fleet.record(
                'second copy', replica.name, req.headers['x-request-id'], 503
            )


async def play(fleet):
    await fleet.start_store()
    replicas = [
        await fleet.add_replica(
            f'i-{letter}', 'meter-field', WORK_SECONDS.get, queue=2,
            max_conns=110,
        )
        for letter in 'ab'
    ]
    fleet.configure(
        [
            route('read', '/read/', Service='meter-field'),
            route(
                'post',
                '/post/',
                Service='meter-field',
                Type='non_idempotent',
                MaxAttempts=1,
            ),
        ],
        {'meter-field': 110},
    )
    await fleet.spawn_ready('g1', *PAYERS)
    await asyncio.sleep(5)
    garble = Garble(fleet)
    replicas[0].on_answer = garble.on_answer
    end = fleet.now() + PLAY_SECONDS
    results = {}

    async def fill():
        while fleet.now() < end:
            _, status, _ = await fleet.ask('g1', '/read/1')
            await asyncio.sleep(0.02 if status == 200 else 0.1)

    async def post(name):
        while fleet.now() < end:
            request_id, status, _ = await fleet.ask(
                name, '/post/1', 'POST', b'payment'
            )
            results[request_id] = status
            await asyncio.sleep(POST_SECONDS)

    async def toggle():
        while fleet.now() < end:
            garble.start_window(replicas[0])
            await asyncio.sleep(WINDOW_SECONDS)
            garble.is_on = False
            await asyncio.sleep(GAP_SECONDS)

    await asyncio.gather(
        *(fill() for _ in range(FILLERS)),
        *(post(name) for name in PAYERS),
        toggle(),
    )
    await asyncio.sleep(1)
    twice = [key for key in results if len(fleet.runs[key]) > 1]
    refused = [
        key
        for key, status in results.items()
        if status in (408, 421, 429, 503) and fleet.runs[key]
    ]
    for key in twice:
        fleet.record('TWICE', key, results[key], fleet.runs[key])
    for key in refused:
        fleet.record('REFUSED', key, results[key], fleet.runs[key])
    counts = {s: list(results.values()).count(s) for s in set(results.values())}
    return bool(refused), (
        f'{len(results)} payments, answers {counts}; run twice: {len(twice)}; '
        f'answered as not run though they ran: {len(refused)}'
    )


run_case(HERE, play)

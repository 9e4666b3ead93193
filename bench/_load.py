"""Open-loop load on the nodes; every request is accounted for."""

import asyncio
import json
import random
import time
from typing import NamedTuple

from aiosonic import HTTPClient, TCPConnector
from aiosonic.pools import PoolConfig
from hdrh.histogram import HdrHistogram

from bench._profile import FrontSize, KindShare
from tests.support.cluster import CALLER_TOKEN

MAX_US = 60_000_000
CONNECTIONS = 1500
STATUS_OK = 200
WORDS = ('san', 'spl', 'new', 'dar', 'zag', 'kha', 'por', 'mar', 'ulaan', 'e')


class Arrival(NamedTuple):
    """One request of the schedule."""

    due: float  # seconds from the start
    front: FrontSize
    kind: KindShare
    word: str


class Tally:
    """What happened to the requests of one kind."""

    def __init__(self, worth: float) -> None:
        self.worth = worth
        self.sent = 0
        self.answered = 0
        self.whole = 0
        self.in_time = 0
        self.coverage = 0.0
        self.refusals: dict[str, int] = {}
        self.latency = HdrHistogram(1, MAX_US, 3)

    def refuse(self, reason: str) -> None:
        """Count a refusal or a cut."""
        self.refusals[reason] = self.refusals.get(reason, 0) + 1


def schedule(
    fronts: tuple[FrontSize, ...],
    multiple: float,
    seconds: float,
    seed: int,
    only: str = '',
) -> list[Arrival]:
    """Return Poisson arrivals at `multiple` of each front's capacity."""
    rng = random.Random(seed)
    arrivals = []
    for front in fronts:
        now = 0.0
        while (
            now := now + rng.expovariate(front.capacity * multiple)
        ) < seconds:
            kind = _draw(front.mix, rng)
            word = WORDS[min(int(rng.expovariate(0.5)), len(WORDS) - 1)]
            if not only or kind.name == only:
                arrivals.append(Arrival(now, front, kind, word))
    return sorted(arrivals, key=lambda arrival: arrival.due)


def _draw(mix: tuple[KindShare, ...], rng: random.Random) -> KindShare:
    return rng.choices(mix, [kind.share for kind in mix])[0]


async def run_load(
    nodes: list[str], arrivals: list[Arrival]
) -> dict[str, Tally]:
    """Send every arrival when it is due; return a tally by kind."""
    pool = PoolConfig(size=CONNECTIONS)
    client = HTTPClient(TCPConnector({':default': pool}))
    tallies: dict[str, Tally] = {}
    started = time.perf_counter()
    tasks = []
    for number, arrival in enumerate(arrivals):
        tally = tallies.setdefault(arrival.kind.name, Tally(arrival.kind.worth))
        await asyncio.sleep(max(0, started + arrival.due - time.perf_counter()))
        url = nodes[number % len(nodes)]
        due = started + arrival.due
        tasks.append(
            asyncio.create_task(_send(client, url, arrival, due, tally))
        )
    await asyncio.gather(*tasks)
    return tallies


async def _send(
    client: HTTPClient, url: str, arrival: Arrival, due: float, tally: Tally
) -> None:
    body = {
        'kind': arrival.kind.name,
        'query': {'text': arrival.word},
        'deadline_ms': arrival.kind.deadline_ms,
    }
    headers = {
        'authorization': f'Bearer {CALLER_TOKEN}',
        'content-type': 'application/json',
    }
    tally.sent += 1
    try:
        response = await client.post(
            f'{url}/fronts/{arrival.front.name}/search',
            data=json.dumps(body),
            headers=headers,
        )
        answer = json.loads(await response.content())
    except Exception as exc:
        tally.refuse(f'cut: {type(exc).__name__}')
        return
    if response.status_code != STATUS_OK:
        tally.refuse(answer['kind'])
        return
    _count(tally, answer['coverage'], time.perf_counter() - due, arrival.kind)


def _count(
    tally: Tally, coverage: dict[str, int], seconds: float, kind: KindShare
) -> None:
    share = coverage['answered'] / coverage['shards']
    tally.answered += 1
    tally.whole += share == 1
    tally.coverage += share
    tally.in_time += share == 1 and seconds * 1000 <= kind.deadline_ms * 1.1
    tally.latency.record_value(min(int(seconds * 1e6), MAX_US))

"""Cost of batched sub-requests: what an aggregating node would do for each.

Run: python -m bench.batch_cost
Encodes a batch of sub-requests, decodes a batch of answers and merges the
answers of a few shards into one, as JSON and as MessagePack.
"""

import time
from collections.abc import Callable

import msgspec

from crocusroad_core.gather._merge import merge_records
from crocusroad_wire import Record, UpstreamAnswer, UpstreamQuery

BATCH = 150  # sub-requests to one replica in 5 ms at 30,000 a second
SHARDS = 7  # replicas a node: 22,000 over 3,100
RECORDS = 10
SECONDS = 1.0


def query(number: int) -> UpstreamQuery:
    """Return a sub-request."""
    return UpstreamQuery(
        request_id=f'{number:032x}.{number}',
        shard='s0001',
        version=1,
        kind='lookup',
        query={'text': 'erdenet'},
        limit=RECORDS,
        deadline_ms=250,
        expires_at=1.7e9,
    )


def record(number: int) -> Record:
    """Return a record of about 100 bytes."""
    fields = {'name': f'station {number}', 'country': 'MN', 'state': 'checked'}
    return Record(id=str(number), score=float(number % 997), fields=fields)


def answer(number: int) -> UpstreamAnswer:
    """Return the answer to a sub-request."""
    records = [record(number * RECORDS + place) for place in range(RECORDS)]
    return UpstreamAnswer(
        request_id=f'{number:032x}.{number}',
        shard='s0001',
        version=1,
        records=records,
    )


def cost(work: Callable[[], object], units: int) -> float:
    """Return the microseconds that `work` takes for each of its units."""
    rounds = 0
    started = time.perf_counter()
    while time.perf_counter() - started < SECONDS:
        work()
        rounds += 1
    spent = time.perf_counter() - started
    return spent / rounds / units * 1e6


def main() -> None:
    """Print microseconds for each sub-request and bytes on the wire."""
    queries = [query(number) for number in range(BATCH)]
    answers = [answer(number) for number in range(BATCH)]
    parts = [reply['records'] for reply in answers[:SHARDS]]
    for name, codec in (('json', msgspec.json), ('msgpack', msgspec.msgpack)):
        raw = codec.encode(answers)
        decode = codec.Decoder(list[UpstreamAnswer]).decode
        out = cost(lambda codec=codec: codec.encode(queries), BATCH)
        back = cost(lambda decode=decode, raw=raw: decode(raw), BATCH)
        sent = len(codec.encode(queries)) / BATCH
        print(
            f'{name}: encode {out:.2f} us a sub-request of {sent:.0f} bytes, '
            f'decode {back:.2f} us an answer of {len(raw) / BATCH:.0f} bytes'
        )
    merge = cost(lambda: merge_records(parts, RECORDS), SHARDS)
    print(f'merge of {SHARDS} answers: {merge:.2f} us an answer')
    wide = [reply['records'] for reply in answers] * 2
    spent = cost(lambda: merge_records(wide[:211], RECORDS), 211)
    print(f'merge of 211 answers: {spent:.2f} us an answer')


if __name__ == '__main__':
    main()

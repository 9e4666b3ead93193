"""Merging of the records that the shards answer."""

from collections.abc import Iterable
from heapq import nlargest

from crocusroad_wire import Record


def merge_records(
    parts: Iterable[list[Record]],
    limit: int,
) -> list[Record]:
    """Return the best `limit` records, best first, ties by identity."""
    every = (record for part in parts for record in part)
    return nlargest(limit, every, key=_rank)


def _rank(record: Record) -> tuple[float, str]:
    return (record['score'], record['id'])

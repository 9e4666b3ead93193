"""Upstreams in memory, behind the node's port, with faults by script."""

import asyncio
import contextlib
from collections import Counter

from returns.result import Failure, Success

from crocusroad_core.gather import FailureReason

SERVICE_SECONDS = 0.005


class FakeUpstreams:
    """Answers as the replicas would.

    `faults` maps the name of a replica to an async function
    (upstreams, replica, message, timeout) -> result; a replica without one
    answers rightly after `SERVICE_SECONDS`. `versions` maps replicas to the
    index versions they serve (default: any).
    """

    def __init__(self, faults=None, versions=None):
        self.faults = faults or {}
        self.versions = versions or {}
        self.asked = []  # (replica, shard, version) in order
        self.ran = Counter()  # shard -> sub-requests run
        self.running = 0
        self.crashed = set()

    async def query(self, replica, message, timeout):
        self.asked.append((replica.name, message['shard'], message['version']))
        self.running += 1
        try:
            async with asyncio.timeout(timeout):
                fault = self.faults.get(replica.name, whole)
                return await fault(self, replica, message, timeout)
        except TimeoutError:
            return Failure(FailureReason.silent)
        finally:
            self.running -= 1

    async def health(self, replica, timeout):
        return Failure(FailureReason.silent)

    async def close(self):
        return None

    def serves(self, replica, version):
        known = self.versions.get(replica.name)
        return known is None or version in known

    def answer(self, replica, message, **changes):
        self.ran[message['shard']] += 1
        records = [
            {
                'id': f'{message["shard"]}@{message["version"]}',
                'score': 1.0,
                'fields': {},
            }
        ]
        body = {
            'request_id': message['request_id'],
            'shard': message['shard'],
            'version': message['version'],
            'records': records,
            'versions': self.versions.get(replica.name, [message['version']]),
        }
        return Success(body | changes)


async def whole(upstreams, replica, message, timeout):
    if not upstreams.serves(replica, message['version']):
        return Failure(FailureReason.wrong_version)
    await asyncio.sleep(SERVICE_SECONDS)
    return upstreams.answer(replica, message)


def refused(reason, seconds=0.001, times=None):
    """Fail with a reason after some seconds, the first `times` times."""
    left = [times]

    async def fault(upstreams, replica, message, timeout):
        if left[0] == 0:
            return await whole(upstreams, replica, message, timeout)
        if left[0] is not None:
            left[0] -= 1
        await asyncio.sleep(seconds)
        return Failure(FailureReason(reason))

    return fault


def slow(seconds):
    async def fault(upstreams, replica, message, timeout):
        await asyncio.sleep(seconds)
        return await whole(upstreams, replica, message, timeout)

    return fault


def changed(**changes):
    """Answer with other fields than were asked for."""

    async def fault(upstreams, replica, message, timeout):
        await asyncio.sleep(SERVICE_SECONDS)
        return upstreams.answer(replica, message, **changes)

    return fault


def raising(exc):
    async def fault(upstreams, replica, message, timeout):
        await asyncio.sleep(SERVICE_SECONDS)
        raise exc

    return fault


async def poison(upstreams, replica, message, timeout):
    """Crash while running the request."""
    await asyncio.sleep(SERVICE_SECONDS)
    upstreams.crashed.add(replica.name)
    return Failure(FailureReason.broken)


def runs_then(reason):
    """Run the request, then break, or stay silent if there is no reason."""

    async def fault(upstreams, replica, message, timeout):
        await asyncio.sleep(SERVICE_SECONDS)
        upstreams.answer(replica, message)
        if reason is None:
            await asyncio.sleep(timeout)
        return Failure(reason)

    return fault


async def late_after_cancel(upstreams, replica, message, timeout):
    """Answer although the call was cancelled."""
    with contextlib.suppress(asyncio.CancelledError):
        await asyncio.sleep(timeout)
    return upstreams.answer(replica, message)

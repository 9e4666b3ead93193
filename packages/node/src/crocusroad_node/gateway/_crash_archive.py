"""Crash reports in the store, for instances that all restart together."""

import asyncio
import logging
from collections.abc import Callable, Iterable
from time import monotonic, time
from typing import Final, NamedTuple

import msgspec
from returns.result import Success

from crocusroad_core.poison import PoisonTracker
from crocusroad_node.gateway._crash_reports import TimedReport, trim
from crocusroad_node.gateway._fleet_membership import FleetKeyValue
from crocusroad_node.kv import Entry
from crocusroad_node.logs import log_event
from crocusroad_wire import CrashReport, DecodeError, decode_json

_logger = logging.getLogger(__name__)

LEASE_SECONDS: Final = 600.0
WRITE_SECONDS: Final = 1.0  # least interval between two writes
# A listing may be seconds old, so what it lacked is read once more.
RESTORE_SECONDS: Final = 5.0
MAX_REPORTS: Final = 40  # in the entry of one instance
MAX_RETRY_SECONDS: Final = 32.0  # between listings that fail


class StoredReports(NamedTuple):
    """The crash reports in an entry of the store."""

    written_at: float  # Unix time in seconds
    reports: list[TimedReport]


class CrashArchive:
    """Keeps the crash reports of this instance in the store, under a lease.

    An instance that restarts alone learns from the others; those that restart
    together learn from the store.
    """

    def __init__(
        self,
        kv: FleetKeyValue,
        prefix: str,
        own_name: str,
        tracker: PoisonTracker,
        receive: Callable[[Iterable[TimedReport]], None],
    ) -> None:
        self._kv = kv
        self._prefix = prefix
        self._key = f'{prefix}{own_name}'
        self._tracker = tracker
        self._receive = receive
        self._own: dict[str, CrashReport] = {}  # by fingerprint
        self._revision = 0  # of the entry of this instance
        self._lease = ''
        self._has_news = asyncio.Event()

    def publish(self, report: CrashReport) -> None:
        """Write a report to the store, soon."""
        self._own[report.fingerprint] = report
        self._has_news.set()

    async def run(self) -> None:
        """Read what the store holds, and write reports as they come."""
        await asyncio.gather(self._restore_twice(), self._write_reports())

    async def _restore_twice(self) -> None:
        await self._restore()
        await asyncio.sleep(RESTORE_SECONDS)
        await self._restore()

    async def _restore(self) -> None:
        pause = WRITE_SECONDS
        listed = await self._kv.list_stale(self._prefix)
        while not isinstance(listed, Success):
            await asyncio.sleep(pause)
            pause = min(2 * pause, MAX_RETRY_SECONDS)
            listed = await self._kv.list_stale(self._prefix)
        for entry in listed.unwrap().entries:
            self._take(entry)

    def _take(self, entry: Entry) -> None:
        """Learn what an entry holds, and keep what this instance reported."""
        reports = decode_reports(entry, time())
        self._receive(reports)
        if entry.key == self._key:
            for timed in reports:
                self._own.setdefault(timed.report.fingerprint, timed.report)

    async def _write_reports(self) -> None:
        while True:
            await self._has_news.wait()
            self._has_news.clear()
            if not await self._write():
                self._has_news.set()
            await asyncio.sleep(WRITE_SECONDS)

    async def _write(self) -> bool:
        """Write the entry of this instance; return whether it was written."""
        if not await self._renew():
            return False
        written = await self._kv.swap(
            self._key, self._encode(monotonic()), self._revision, self._lease
        )
        if isinstance(written, Success):
            self._revision = written.unwrap()
            return True
        # An earlier process of this instance or a lost reply.
        known = (await self._kv.read(self._key)).value_or(None)
        self._revision = 0 if known is None else known.revision
        if known is not None:
            self._take(known)
        return False

    async def _renew(self) -> bool:
        if self._lease:
            renewed = await self._kv.renew(self._lease)
            if isinstance(renewed, Success):
                return True
        granted = await self._kv.grant(LEASE_SECONDS)
        self._lease = granted.value_or('')
        return bool(self._lease)

    def _encode(self, now: float) -> str:
        left = {
            name: self._tracker.seconds_left(name, now) for name in self._own
        }
        self._own = {
            name: report for name, report in self._own.items() if left[name] > 0
        }
        reports = [
            TimedReport(trim(report), left[name])
            for name, report in self._own.items()
        ]
        stored = StoredReports(time(), reports[-MAX_REPORTS:])
        return msgspec.json.encode(stored).decode()


def decode_reports(entry: Entry, now: float) -> list[TimedReport]:
    """Return the reports of an entry that still hold at the Unix time `now`.

    None if the entry can't be read.
    """
    try:
        stored = decode_json(StoredReports, entry.value or '')
    except DecodeError as exc:
        log_event(
            _logger, 'crash reports not understood', key=entry.key, error=exc
        )
        return []
    age = max(0, now - stored.written_at)
    return [
        timed._replace(seconds=timed.seconds - age)
        for timed in stored.reports
        if timed.seconds > age
    ]

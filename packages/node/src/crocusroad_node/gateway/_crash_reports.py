"""Exchange of crash reports between the instances of a fleet."""

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Iterable
from time import monotonic
from typing import Final, NamedTuple, Protocol

import msgspec
from returns.result import Result, Success

from crocusroad_core.poison import PoisonTracker
from crocusroad_core.sources import FleetMember, SourceSelector
from crocusroad_node.counters import POISON_EVENTS
from crocusroad_node.exchanges import Response
from crocusroad_node.gateway._reply import (
    Reply,
    SendReply,
    error_reply,
    noop_stop,
)
from crocusroad_node.gateway._request import CallerRequest
from crocusroad_node.kv import StoreFault
from crocusroad_node.logs import log_event
from crocusroad_wire import CrashReport, DecodeError, decode_json

_logger = logging.getLogger(__name__)

CRASHES_PATH: Final = '/crashes'
# Reports are sent to all members of a fleet of this size, and in a larger one
# to the readers, which pass them on with the data of the store.
MAX_DIRECT_MEMBERS: Final = 16
# How long a reader passes a report on: longer than followers wait for changes.
PASS_ON_SECONDS: Final = 5.0
SEND_SECONDS: Final = 1.0
BATCH_SECONDS: Final = 0.05  # to wait for more reports before a message
RETRY_SECONDS: Final = 0.5  # before a message that nobody got is sent again
# In one message. Of one report, this many upstreams of each kind are told; two
# are conclusive.
MAX_REPORTS: Final = 8
MAX_UPSTREAMS: Final = 4
# Waiting to be sent or passed on, and in the reply to an instance that starts.
MAX_KNOWN_REPORTS: Final = 1000


class TimedReport(NamedTuple):
    """A crash report and the seconds for which it holds."""

    report: CrashReport
    seconds: float


class CrashMessage(msgspec.Struct):
    """Crash reports as sent between instances."""

    reports: list[TimedReport]
    wants_all: bool = False  # whether the reply is to contain all reports


class PeerClient(Protocol):
    """Sends requests to another instance."""

    async def exchange(
        self, method: str, target: str, body: bytes, seconds: float
    ) -> Result[Response, StoreFault]:
        """Return the response, or a fault if none arrives in `seconds`."""


class CrashReports:
    """Tells the other instances of crashes, and learns of theirs."""

    def __init__(
        self,
        tracker: PoisonTracker,
        own_name: str,
        selector: SourceSelector,
        client: Callable[[FleetMember], PeerClient],
    ) -> None:
        self._tracker = tracker
        self._own_name = own_name
        self._selector = selector
        self._client = client
        self._others: tuple[FleetMember, ...] = ()
        self._has_others = asyncio.Event()
        self._queue: dict[str, CrashReport] = {}  # by fingerprint
        self._has_queued = asyncio.Event()
        self._passed_on: deque[tuple[float, CrashReport]] = deque(
            maxlen=MAX_KNOWN_REPORTS
        )

    def on_members(self, members: Iterable[FleetMember]) -> None:
        """Replace the instances that are told of crashes."""
        self._others = tuple(
            member for member in members if member.name != self._own_name
        )
        if self._others:
            self._has_others.set()

    def publish(self, report: CrashReport) -> None:
        """Tell the other instances of a crash, soon."""
        POISON_EVENTS.labels('reported').inc()
        self._pass_on(report, monotonic())
        if len(self._queue) < MAX_KNOWN_REPORTS:
            self._queue[report.fingerprint] = report
        self._has_queued.set()

    def recent(self, now: float) -> list[TimedReport]:
        """Return the reports that this instance passes on as a reader."""
        while self._passed_on and self._passed_on[0][0] < now - PASS_ON_SECONDS:
            self._passed_on.popleft()
        latest = {report.fingerprint: report for _, report in self._passed_on}
        return [self._timed(report, now) for report in latest.values()]

    def receive(self, reports: Iterable[TimedReport]) -> None:
        """Merge what another instance has told."""
        now = monotonic()
        for report, seconds in reports:
            if self._tracker.on_report(report, now, seconds):
                POISON_EVENTS.labels('report-received').inc()
                self._pass_on(report, now)

    def handle(
        self, req: CallerRequest, send_reply: SendReply
    ) -> Callable[[], None]:
        """Merge the reports of another instance and reply with what is known.

        So an instance that was restarted learns of the crashes before it.
        """
        try:
            message = decode_json(CrashMessage, req.body)
        except DecodeError as exc:
            POISON_EVENTS.labels('report-malformed').inc()
            send_reply(error_reply(400, f'not crash reports: {exc}'))
            return noop_stop
        self.receive(message.reports)
        told = {timed.report.fingerprint for timed in message.reports}
        known = [
            TimedReport(trim(report), seconds)
            for report, seconds in self._tracker.reports(monotonic())
            if message.wants_all or report.fingerprint in told
        ]
        reply = CrashMessage(known[-MAX_KNOWN_REPORTS:])
        send_reply(Reply(200, (), msgspec.json.encode(reply)))
        return noop_stop

    async def run(self) -> None:
        """Ask the others for all they know, then send reports as they come."""
        await self._has_others.wait()
        await self._send(CrashMessage([], wants_all=True))
        while True:
            await self._has_queued.wait()
            await asyncio.sleep(BATCH_SECONDS)
            await self._send_queued()

    async def _send_queued(self) -> None:
        """Send the reports that have waited for longest."""
        names = list(self._queue)[:MAX_REPORTS]
        reports = [self._queue.pop(name) for name in names]
        if not self._queue:
            self._has_queued.clear()
        now = monotonic()
        message = CrashMessage([self._timed(report, now) for report in reports])
        if await self._send(message):
            return
        await asyncio.sleep(RETRY_SECONDS)
        if not await self._send(message):
            POISON_EVENTS.labels('report-unacknowledged').inc()
            log_event(
                _logger, 'crash reports not delivered', count=len(reports)
            )

    async def _send(self, message: CrashMessage) -> bool:
        """Send a message; return whether another instance has got it."""
        recipients = self._others
        if len(recipients) > MAX_DIRECT_MEMBERS or message.wants_all:
            recipients = self._selector.other_readers
        raw = msgspec.json.encode(message)
        replies = await asyncio.gather(
            *(self._exchange(recipient, raw) for recipient in recipients)
        )
        return not recipients or any(replies)

    async def _exchange(self, recipient: FleetMember, raw: bytes) -> bool:
        reply = await self._client(recipient).exchange(
            'POST', CRASHES_PATH, raw, SEND_SECONDS
        )
        if not isinstance(reply, Success) or reply.unwrap().status != 200:
            return False
        POISON_EVENTS.labels('report-acknowledged').inc()
        try:
            known = decode_json(CrashMessage, reply.unwrap().body)
        except DecodeError:
            return False
        self.receive(known.reports)
        return True

    def _timed(self, report: CrashReport, now: float) -> TimedReport:
        seconds = self._tracker.seconds_left(report.fingerprint, now)
        return TimedReport(trim(report), seconds)

    def _pass_on(self, report: CrashReport, now: float) -> None:
        self._passed_on.append((now, report))


def trim(report: CrashReport) -> CrashReport:
    """Return a report that names as many upstreams as are of use."""
    return report._replace(
        canary=report.canary[:MAX_UPSTREAMS],
        fan_out=report.fan_out[:MAX_UPSTREAMS],
    )

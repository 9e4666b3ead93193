"""Publications: reports that go to every known member."""

import asyncio
import time
import uuid
from collections.abc import Callable
from typing import Final

from crocusroad_core.members import (
    KEY_LIMIT,
    Branch,
    Membership,
    PeerKind,
    RateLimit,
    split_range,
)
from crocusroad_node.peers._channel import PeerChannel
from crocusroad_node.peers._metrics import PEER_REPORTS
from crocusroad_wire import (
    DecodeError,
    Publication,
    Receipt,
    decode_peer,
    encode_peer,
)

MAX_PAYLOAD_BYTES: Final = 4096
REPORTS_PER_SECOND: Final = 2.0
REPORTS_BURST: Final = 20.0
FEW: Final = 16  # up to this many members, a report goes to each directly
WIDTH: Final = 8  # branches of the relay tree
TIMEOUT_SECONDS: Final = 2.0
RELAY_SHARE: Final = 0.7  # of the time left, for the branches below
MAX_SEEN: Final = 4096

Subscriber = Callable[[bytes, float], object]


class ReportBroadcaster:
    """Publishes reports and hands those of others to subscribers.

    A report may reach a node late, never, or after it expired elsewhere;
    subscribers treat it as a hint.
    """

    def __init__(self, members: Membership, channel: PeerChannel) -> None:
        self._members = members
        self._channel = channel
        self._subscribers: dict[str, list[Subscriber]] = {}
        self._own_rate = RateLimit(REPORTS_PER_SECOND, REPORTS_BURST)
        self._rates: dict[str, RateLimit] = {}
        self._seen: dict[str, float] = {}  # report id: when it expires

    def subscribe(self, topic: str, fn: Subscriber) -> None:
        """Call `fn(payload, now)` with each report of a topic."""
        self._subscribers.setdefault(topic, []).append(fn)

    async def publish(self, topic: str, payload: bytes) -> int:
        """Return how many members acknowledged a report; 0 if refused.

        Raises:
            ValueError: The payload is over MAX_PAYLOAD_BYTES.
        """
        if len(payload) > MAX_PAYLOAD_BYTES:
            raise ValueError(f'shorten the report to {MAX_PAYLOAD_BYTES} bytes')
        if not self._own_rate.allows(time.monotonic()):
            PEER_REPORTS.labels(topic, 'rate').inc()
            return 0
        PEER_REPORTS.labels(topic, 'published').inc()
        expires_at = time.time() + TIMEOUT_SECONDS
        report_id = uuid.uuid4().hex
        self._seen[report_id] = expires_at
        report = Publication(
            topic, report_id, 0, KEY_LIMIT, expires_at, payload
        )
        return await self._spread(report)

    async def on_publish(self, body: bytes, sender: str) -> bytes | None:
        """Take a report in, pass it on and return the receipt."""
        try:
            report = decode_peer(Publication, body)
        except DecodeError:
            return None
        if not self._is_welcome(report, sender):
            return encode_peer(Receipt(0))
        PEER_REPORTS.labels(report.topic, 'received').inc()
        for fn in self._subscribers[report.topic]:
            fn(report.payload, asyncio.get_running_loop().time())
        return encode_peer(Receipt(1 + await self._spread(report)))

    def _is_welcome(self, report: Publication, sender: str) -> bool:
        now = time.time()
        if report.topic not in self._subscribers:
            PEER_REPORTS.labels('other', 'unknown-topic').inc()
            return False
        refusal = self._refusal(report, sender, now)
        if refusal:
            PEER_REPORTS.labels(report.topic, refusal).inc()
            return False
        self._seen[report.report_id] = report.expires_at
        return True

    def _refusal(self, report: Publication, sender: str, now: float) -> str:
        self._forget(now)
        if not now < report.expires_at <= now + 2 * TIMEOUT_SECONDS:
            return 'expired'
        if len(report.payload) > MAX_PAYLOAD_BYTES:
            return 'too-large'
        if report.report_id in self._seen or len(self._seen) >= MAX_SEEN:
            return 'repeated'
        if len(self._rates) >= MAX_SEEN:
            self._rates.clear()
        rate = self._rates.setdefault(
            sender,
            RateLimit(REPORTS_PER_SECOND * WIDTH, REPORTS_BURST),
        )
        return '' if rate.allows(now) else 'rate'

    def _forget(self, now: float) -> None:
        over = [one for one, until in self._seen.items() if until < now]
        for report_id in over:
            self._seen.pop(report_id)

    async def _spread(self, report: Publication) -> int:
        present = self._members.present()
        width = FEW if len(present) <= FEW else WIDTH
        branches = split_range(present, report.low, report.high, width)
        counts = await asyncio.gather(
            *(self._hand_on(report, branch) for branch in branches),
        )
        return sum(counts)

    async def _hand_on(self, report: Publication, branch: Branch) -> int:
        left = report.expires_at - time.time()
        if left <= 0:
            return 0
        deadline = report.expires_at - left * (1 - RELAY_SHARE)
        part = report._replace(
            low=branch.low,
            high=branch.high,
            expires_at=deadline,
        )
        raw = await self._channel.request(
            branch.head.address,
            PeerKind.publish,
            encode_peer(part),
            left,
        )
        return _nodes(raw)


def _nodes(raw: bytes | None) -> int:
    if raw is None:
        return 0
    try:
        return decode_peer(Receipt, raw).nodes
    except DecodeError:
        return 0

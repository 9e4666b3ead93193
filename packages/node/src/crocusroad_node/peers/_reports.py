"""Broadcast of reports to every known member over a relay tree."""

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
REPORT_BURST: Final = 20.0
MAX_DIRECT_MEMBERS: Final = 16  # larger memberships use the relay tree
RELAY_FANOUT: Final = 8  # branches of each node of the relay tree
REPORT_TTL_SECONDS: Final = 2.0
RELAY_TIME_SHARE: Final = 0.7  # share of the remaining time for the subtree
MAX_TRACKED: Final = 4096  # report ids, and senders with a rate limit

Subscriber = Callable[[bytes, float], object]


class ReportBroadcaster:
    """Publishes reports and delivers the reports of peers to subscribers.

    Delivery is best effort: a report may arrive late, never, or after it
    expired on other nodes. Subscribers must treat it as a hint.
    """

    def __init__(self, members: Membership, channel: PeerChannel) -> None:
        self._members = members
        self._channel = channel
        self._subscribers: dict[str, list[Subscriber]] = {}
        self._publish_rate = RateLimit(REPORTS_PER_SECOND, REPORT_BURST)
        self._sender_rates: dict[str, RateLimit] = {}
        self._seen: dict[str, float] = {}  # expiry by report id

    def subscribe(self, topic: str, subscriber: Subscriber) -> None:
        """Call `subscriber(payload, now)` for each report of a topic."""
        self._subscribers.setdefault(topic, []).append(subscriber)

    async def publish(self, topic: str, payload: bytes) -> int:
        """Send a report to all members and return how many acknowledged it.

        Returns 0 if the rate limit of this node refuses the report.

        Raises:
            ValueError: The payload is larger than MAX_PAYLOAD_BYTES.
        """
        if len(payload) > MAX_PAYLOAD_BYTES:
            raise ValueError(
                f'report payload exceeds {MAX_PAYLOAD_BYTES} bytes'
            )
        if not self._publish_rate.allows(time.monotonic()):
            PEER_REPORTS.labels(topic, 'rate').inc()
            return 0
        PEER_REPORTS.labels(topic, 'published').inc()
        expires_at = time.time() + REPORT_TTL_SECONDS
        report_id = uuid.uuid4().hex
        self._seen[report_id] = expires_at
        report = Publication(
            topic, report_id, 0, KEY_LIMIT, expires_at, payload
        )
        return await self._relay(report)

    async def on_publish(self, body: bytes, sender: str) -> bytes | None:
        """Deliver and relay a report of a peer and return the receipt."""
        try:
            report = decode_peer(Publication, body)
        except DecodeError:
            return None
        if not self._accept(report, sender):
            return encode_peer(Receipt(0))
        PEER_REPORTS.labels(report.topic, 'received').inc()
        for subscriber in self._subscribers[report.topic]:
            subscriber(report.payload, asyncio.get_running_loop().time())
        return encode_peer(Receipt(1 + await self._relay(report)))

    def _accept(self, report: Publication, sender: str) -> bool:
        now = time.time()
        if report.topic not in self._subscribers:
            PEER_REPORTS.labels('other', 'unknown-topic').inc()
            return False
        reason = self._refusal_reason(report, sender, now)
        if reason:
            PEER_REPORTS.labels(report.topic, reason).inc()
            return False
        self._seen[report.report_id] = report.expires_at
        return True

    def _refusal_reason(
        self, report: Publication, sender: str, now: float
    ) -> str:
        self._remove_expired(now)
        if not now < report.expires_at <= now + 2 * REPORT_TTL_SECONDS:
            return 'expired'
        if len(report.payload) > MAX_PAYLOAD_BYTES:
            return 'too-large'
        if report.report_id in self._seen or len(self._seen) >= MAX_TRACKED:
            return 'repeated'
        if len(self._sender_rates) >= MAX_TRACKED:
            self._sender_rates.clear()
        rate = self._sender_rates.setdefault(
            sender,
            RateLimit(REPORTS_PER_SECOND * RELAY_FANOUT, REPORT_BURST),
        )
        return '' if rate.allows(now) else 'rate'

    def _remove_expired(self, now: float) -> None:
        expired = [
            seen_id
            for seen_id, expires_at in self._seen.items()
            if expires_at < now
        ]
        for report_id in expired:
            self._seen.pop(report_id)

    async def _relay(self, report: Publication) -> int:
        present = self._members.present()
        fanout = (
            MAX_DIRECT_MEMBERS
            if len(present) <= MAX_DIRECT_MEMBERS
            else RELAY_FANOUT
        )
        branches = split_range(present, report.low, report.high, fanout)
        counts = await asyncio.gather(
            *(self._relay_to_branch(report, branch) for branch in branches),
        )
        return sum(counts)

    async def _relay_to_branch(
        self, report: Publication, branch: Branch
    ) -> int:
        remaining = report.expires_at - time.time()
        if remaining <= 0:
            return 0
        deadline = report.expires_at - remaining * (1 - RELAY_TIME_SHARE)
        relayed = report._replace(
            low=branch.low,
            high=branch.high,
            expires_at=deadline,
        )
        raw = await self._channel.request(
            branch.head.address,
            PeerKind.publish,
            encode_peer(relayed),
            remaining,
        )
        return _acknowledged_count(raw)


def _acknowledged_count(raw: bytes | None) -> int:
    if raw is None:
        return 0
    try:
        return decode_peer(Receipt, raw).nodes
    except DecodeError:
        return 0

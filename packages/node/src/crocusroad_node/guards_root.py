"""The part of the composition root for crash guards and live instances."""

import asyncio

from crocusroad_core.admission import LiveInstanceCount
from crocusroad_core.poison import PoisonTracker
from crocusroad_node.counters import POISON_EVENTS
from crocusroad_node.peers import PeerService
from crocusroad_node.serving import CrashGuard, build_crash_guard
from crocusroad_wire import CrashReport, DecodeError, decode_peer, encode_peer

TOPIC_CRASHES = 'crashes'
LIVE_COUNT_PERIOD_SECONDS = 1.0


def build_fleet_crash_guard(peers: PeerService | None) -> CrashGuard:
    """Return a crash guard that exchanges its reports with the peers."""
    tracker = PoisonTracker()

    async def publish(report: CrashReport) -> None:
        if peers is not None:
            raw = encode_peer(report)
            count = await peers.reports.publish(TOPIC_CRASHES, raw)
            POISON_EVENTS.labels('report-acknowledged').inc(count)

    def receive(raw: bytes, now: float) -> None:
        try:
            report = decode_peer(CrashReport, raw)
        except DecodeError:
            POISON_EVENTS.labels('report-malformed').inc()
        else:
            POISON_EVENTS.labels('report-received').inc()
            tracker.on_report(report, now)

    if peers is not None:
        peers.reports.subscribe(TOPIC_CRASHES, receive)
    return build_crash_guard(tracker, publish)


async def watch_live_instances(
    live_count: LiveInstanceCount, peers: PeerService | None
) -> None:
    """Update the count of live instances, by which callers' rates are divided.

    Runs until cancelled; returns at once if there are no peers.
    """
    clock = asyncio.get_running_loop().time
    while peers is not None:
        live_members = [
            member for member in peers.members() if member.is_present
        ]
        live_count.observe(len(live_members) + 1, clock())
        await asyncio.sleep(LIVE_COUNT_PERIOD_SECONDS)

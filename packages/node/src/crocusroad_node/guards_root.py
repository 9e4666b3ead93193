"""The part of the composition root that guards instance and upstreams."""

import asyncio

from crocusroad_core.admission import LiveInstanceCount
from crocusroad_core.poison import PoisonTracker
from crocusroad_node.counters import POISON_EVENTS
from crocusroad_node.peers import PeerService
from crocusroad_node.serving import CrashGuard, build_crash_guard
from crocusroad_wire import CrashReport, DecodeError, decode_peer, encode_peer

TOPIC_CRASHES = 'crashes'
LIVE_SECONDS = 1.0  # between two looks at the members


def build_fleet_crash_guard(peers: PeerService | None) -> CrashGuard:
    """Return the crash guard, its reports passing between peers."""
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
    live: LiveInstanceCount, peers: PeerService | None
) -> None:
    """Count the live instances for the callers' rates, for ever."""
    clock = asyncio.get_running_loop().time
    while peers is not None:
        present = [one for one in peers.members() if one.is_present]
        live.observe(len(present) + 1, clock())
        await asyncio.sleep(LIVE_SECONDS)

"""The part of the composition root that depends on the peers."""

from collections.abc import Awaitable, Callable
from random import Random

from crocusroad_core.configs import FrontRegistry
from crocusroad_node.configs import WatchContext
from crocusroad_node.lifecycle import NodeLifecycle
from crocusroad_node.peers import PeerService
from crocusroad_node.settings import Settings
from crocusroad_wire import PeerStatus


def build_watch_context(
    cfg: Settings,
    lifecycle: NodeLifecycle,
    registry: FrontRegistry,
    peers: PeerService | None,
) -> WatchContext:
    """Return the context in which the node watches the stored fronts."""

    async def pull() -> bool:
        if peers is not None:
            await peers.pull_from_members()
        return registry.is_synced

    def members() -> frozenset[str]:
        known = () if peers is None else peers.members()
        names = [member.name for member in known if member.is_present]
        return frozenset((cfg.instance_name, *names))

    return WatchContext(
        own_name=cfg.instance_name,
        members=members,
        pull_from_peers=pull,
        on_synced=lifecycle.serve,
        rng=Random(),  # noqa: S311
    )


def make_leave_callback(
    peers: PeerService | None,
) -> Callable[[], Awaitable[None]]:
    """Return a function that notifies peers that this node is leaving."""

    async def leave() -> None:
        if peers is not None:
            await peers.leave()

    return leave


def member_positions(
    cfg: Settings,
    registry: FrontRegistry,
    peers: PeerService | None,
) -> dict[str, int]:
    """Return the position of this node and of each present member."""
    known = () if peers is None else peers.members()
    positions = {
        member.name: member.position for member in known if member.is_present
    }
    return positions | {cfg.instance_name: registry.position}


def peer_statuses(peers: PeerService | None) -> list[PeerStatus]:
    """Return the status of each known member for operators."""
    known = () if peers is None else peers.members()
    return [
        PeerStatus(
            name=member.name,
            zone=member.zone,
            state=member.state.name,
            position=member.position,
        )
        for member in known
    ]

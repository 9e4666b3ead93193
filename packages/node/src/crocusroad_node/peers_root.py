"""The part of the composition root that concerns peers."""

from collections.abc import Awaitable, Callable
from random import Random

from crocusroad_core.configs import FrontRegistry
from crocusroad_node.configs import Surroundings
from crocusroad_node.lifecycle import NodeLifecycle
from crocusroad_node.peers import PeerService
from crocusroad_node.settings import Settings
from crocusroad_wire import PeerStatus


def build_surroundings(
    cfg: Settings,
    life: NodeLifecycle,
    book: FrontRegistry,
    peers: PeerService | None,
) -> Surroundings:
    """Return what the adoption of fronts asks of peers."""

    async def pull() -> bool:
        if peers is not None:
            await peers.pull_from_members()
        return book.is_synced

    def members() -> frozenset[str]:
        seen = () if peers is None else peers.members()
        names = [one.name for one in seen if one.is_present]
        return frozenset((cfg.instance_name, *names))

    return Surroundings(
        own_name=cfg.instance_name,
        members=members,
        pull=pull,
        on_synced=life.serve,
        rng=Random(),  # noqa: S311
    )


def make_leave_callback(
    peers: PeerService | None,
) -> Callable[[], Awaitable[None]]:
    """Return what tells peers that this node is leaving."""

    async def leave() -> None:
        if peers is not None:
            await peers.leave()

    return leave


def member_positions(
    cfg: Settings,
    book: FrontRegistry,
    peers: PeerService | None,
) -> dict[str, int]:
    """Return the position of each node that is held to be running."""
    seen = () if peers is None else peers.members()
    positions = {one.name: one.position for one in seen if one.is_present}
    return positions | {cfg.instance_name: book.position}


def peer_statuses(peers: PeerService | None) -> list[PeerStatus]:
    """Return the other nodes as operators see them."""
    seen = () if peers is None else peers.members()
    return [
        PeerStatus(
            name=one.name,
            zone=one.zone,
            state=one.state.name,
            position=one.position,
        )
        for one in seen
    ]

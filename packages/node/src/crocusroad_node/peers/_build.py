"""Building of a node's part among its peers."""

import time
from collections.abc import Callable
from random import Random

from crocusroad_core.configs import (
    FrontRegistry,
    export_changes,
    import_changes,
)
from crocusroad_core.members import Membership
from crocusroad_node.configs import report_adopted
from crocusroad_node.peers._channel import Identity, PeerChannel
from crocusroad_node.peers._config_source import ConfigSource
from crocusroad_node.peers._fault import FrameFault
from crocusroad_node.peers._keys import parse_keys
from crocusroad_node.peers._metrics import PEER_FRAMES_DROPPED
from crocusroad_node.peers._service import PeerService
from crocusroad_node.settings import Settings
from crocusroad_wire import DecodeError, MemberUpdate

MS_PER_SECOND = 1000


def build_peers(
    cfg: Settings,
    book: FrontRegistry,
    rng: Random,
) -> PeerService | None:
    """Return the node's part among its peers; None if it has no keys."""
    keys = parse_keys(cfg.peers_keys)
    if keys is None:
        return None
    born = int(time.time() * MS_PER_SECOND)
    me = MemberUpdate(
        cfg.instance_name,
        born,
        beat=0,
        state=0,
        address=cfg.peers_listen,
        zone=cfg.instance_zone,
    )
    identity = Identity(cfg.instance_cluster, cfg.instance_name, born)
    return PeerService(
        Membership(me, rng.randrange),
        PeerChannel(identity, keys),
        build_config_source(book),
    )


def build_config_source(book: FrontRegistry) -> ConfigSource:
    """Return what peers may ask of the fronts in force."""

    def apply(payload: bytes, now: float) -> None:
        try:
            absorbed = import_changes(book, payload)
        except DecodeError:
            PEER_FRAMES_DROPPED.labels(FrameFault.malformed.value).inc()
            return
        report_adopted(absorbed.applied)

    return ConfigSource(
        position=_newest_revision(book),
        export=lambda after: export_changes(book, after),
        apply=apply,
    )


def _newest_revision(book: FrontRegistry) -> Callable[[], int]:
    """Return a reader of the newest front's revision.

    The position of the book itself rises with each write to the KV, also
    where no front changed.
    """
    seen = (0, 0)  # position of the book, revision of its newest front

    def newest() -> int:
        nonlocal seen
        upto = book.position
        if upto != seen[0]:
            known = [one.revision for one in book.newest_changes()]
            due = [one for one in known if one <= upto]
            seen = (upto, max(due, default=0))
        return seen[1]

    return newest

"""Construction of the peer service from the settings."""

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
    registry: FrontRegistry,
    rng: Random,
) -> PeerService | None:
    """Return the peer service, or None if no peer keys are configured."""
    keys = parse_keys(cfg.peers_keys)
    if keys is None:
        return None
    incarnation = int(time.time() * MS_PER_SECOND)
    own_update = MemberUpdate(
        cfg.instance_name,
        incarnation,
        beat=0,
        state=0,
        address=cfg.peers_listen,
        zone=cfg.instance_zone,
    )
    identity = Identity(cfg.instance_cluster, cfg.instance_name, incarnation)
    return PeerService(
        Membership(own_update, rng.randrange),
        PeerChannel(identity, keys),
        build_config_source(registry),
    )


def build_config_source(registry: FrontRegistry) -> ConfigSource:
    """Return the interface through which peers share the active fronts."""

    def apply(payload: bytes, now: float) -> None:
        try:
            imported = import_changes(registry, payload)
        except DecodeError:
            PEER_FRAMES_DROPPED.labels(FrameFault.malformed.value).inc()
            return
        report_adopted(imported.applied)

    return ConfigSource(
        position=_newest_revision_reader(registry),
        export=lambda after: export_changes(registry, after),
        apply=apply,
    )


def _newest_revision_reader(registry: FrontRegistry) -> Callable[[], int]:
    """Return a function that reads the revision of the newest front.

    The position of the registry itself increases with each write to the KV
    store, even if no front changed.
    """
    cached = (0, 0)  # registry position, revision of the newest front

    def newest_revision() -> int:
        nonlocal cached
        position = registry.position
        if position != cached[0]:
            revisions = [
                change.revision for change in registry.newest_changes()
            ]
            reached = [
                revision for revision in revisions if revision <= position
            ]
            cached = (position, max(reached, default=0))
        return cached[1]

    return newest_revision

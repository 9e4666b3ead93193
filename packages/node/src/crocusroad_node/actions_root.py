"""The construction of the service that runs actions."""

import uuid
from functools import partial

from crocusroad_core.admission import Door
from crocusroad_core.claims import Pick
from crocusroad_core.configs import FrontBook
from crocusroad_core.fronts import Front
from crocusroad_node.claims import ClaimKeeper
from crocusroad_node.platform import KeyValue
from crocusroad_node.serving import ActionService
from crocusroad_node.upstreams import RoutedUpstreams


def build_actions(
    instance_name: str,
    book: FrontBook,
    routed: RoutedUpstreams,
    kv: KeyValue,
    door: Door,
) -> ActionService:
    """Return the service; its name as a holder is of this incarnation."""

    def pick_for(front: Front, shard: str) -> Pick:
        return partial(routed.policy_for(front).pick, shard)

    holder = f'{instance_name}/{uuid.uuid4().hex}'
    keeper = ClaimKeeper(kv)
    return ActionService(
        book,
        routed.upstreams,
        keeper,
        pick_for,
        holder,
        door,
    )

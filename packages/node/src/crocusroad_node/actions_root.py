"""The construction of the service that runs actions."""

import uuid

from crocusroad_core.admission import AdmissionController
from crocusroad_core.configs import FrontRegistry
from crocusroad_node.claims import ClaimKeeper
from crocusroad_node.platform import KeyValue
from crocusroad_node.serving import ActionRunner, ActionService, CrashGuard
from crocusroad_node.upstreams import RoutedUpstreams


def build_actions(
    instance_name: str,
    book: FrontRegistry,
    routed: RoutedUpstreams,
    kv: KeyValue,
    controller: AdmissionController,
    guard: CrashGuard,
) -> ActionService:
    """Return the service; its name as a holder is of this incarnation."""
    holder = f'{instance_name}/{uuid.uuid4().hex}'
    keeper = ClaimKeeper(kv)
    runner = ActionRunner(routed.upstreams, routed.policy_for, guard)
    return ActionService(book, runner, keeper, holder, controller)

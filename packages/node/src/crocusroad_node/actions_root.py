"""The part of the composition root that builds the action service."""

import uuid

from crocusroad_core.admission import AdmissionController
from crocusroad_core.configs import FrontRegistry
from crocusroad_node.claims import ClaimStore
from crocusroad_node.platform import KeyValue
from crocusroad_node.serving import ActionRunner, ActionService, CrashGuard
from crocusroad_node.upstreams import RoutedUpstreams


def build_actions(
    instance_name: str,
    registry: FrontRegistry,
    routed: RoutedUpstreams,
    kv: KeyValue,
    controller: AdmissionController,
    guard: CrashGuard,
) -> ActionService:
    """Return the service that runs actions.

    Its claims name a holder that is unique to this run of the process.
    """
    holder = f'{instance_name}/{uuid.uuid4().hex}'
    claim_store = ClaimStore(kv)
    runner = ActionRunner(routed.upstreams, routed.policy_for, guard)
    return ActionService(registry, runner, claim_store, holder, controller)

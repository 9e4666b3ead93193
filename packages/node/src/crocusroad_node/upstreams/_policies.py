"""The policies by which queries are routed and hedged."""

from collections.abc import Callable
from itertools import count
from typing import Final

from crocusroad_core.fronts import Front, Replica
from crocusroad_core.gather import Policy
from crocusroad_core.routing import ExtraLoadBudget, Router
from crocusroad_node.counters import EXTRA_REFUSED
from crocusroad_node.settings import Settings

FIXED_HEDGE_SECONDS: Final = 0.05

Draw = Callable[[], float]
PickReplica = Callable[[str, tuple[Replica, ...], float], Replica | None]
HedgeSeconds = Callable[[str, float], float | None]
Spend = Callable[[str, float], bool]
Replace = Callable[[bool, float], bool]


def build_policies(
    cfg: Settings,
    router: Router,
    budget: ExtraLoadBudget,
    draw: Draw,
) -> Callable[[Front], Policy]:
    """Return the function that gives each front its policy."""
    pick = _pick(cfg.routing_pick, router, draw)
    hedge_delay = _hedge_delay(cfg.routing_hedge, router, budget)
    policies: dict[str, Policy] = {}

    def spend(shard: str, now: float) -> bool:
        is_allowed = budget.spend(now)
        if not is_allowed:
            EXTRA_REFUSED.inc()
        return is_allowed

    def replace(has_run: bool, now: float) -> bool:
        is_allowed = budget.allow_replacement(has_run, now)
        if not is_allowed:
            EXTRA_REFUSED.inc()
        return is_allowed

    limits = (spend, replace)

    def policy_for(front: Front) -> Policy:
        policy = policies.get(front.name)
        if policy is None:
            policy = _policy(front.name, pick, hedge_delay, limits)
            policies[front.name] = policy
        return policy

    return policy_for


def _policy(
    front: str,
    pick: PickReplica,
    hedge_delay: HedgeSeconds,
    limits: tuple[Spend, Replace],
) -> Policy:
    keys: dict[str, str] = {}

    def key(shard: str) -> str:
        found = keys.get(shard)
        if found is None:
            found = f'{front}/{shard}'
            keys[shard] = found
        return found

    return Policy(
        pick=lambda shard, candidates, now: pick(key(shard), candidates, now),
        hedge_delay=lambda shard, now: hedge_delay(key(shard), now),
        spend=limits[0],
        allow_replacement=limits[1],
    )


def _pick(name: str, router: Router, draw: Draw) -> PickReplica:
    if name == 'random':
        return lambda shard, candidates, now: candidates[
            int(draw() * len(candidates))
        ]
    if name == 'round-robin':
        turns = count()
        return lambda shard, candidates, now: candidates[
            next(turns) % len(candidates)
        ]
    return router.pick


def _hedge_delay(
    name: str, router: Router, budget: ExtraLoadBudget
) -> HedgeSeconds:
    if name == 'off':
        return lambda shard, now: None
    if name == 'fixed':
        return lambda shard, now: FIXED_HEDGE_SECONDS

    def adaptive(shard: str, now: float) -> float:
        # What is left of the budget is kept for the slowest attempts.
        if budget.is_scarce:
            return router.low_budget_hedge_delay(shard, now)
        return router.hedge_delay(shard, now)

    return adaptive

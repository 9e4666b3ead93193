"""Policies for routing and hedging the queries of each front."""

from collections.abc import Callable
from itertools import count
from typing import Final

from crocusroad_core.fronts import Front, Replica
from crocusroad_core.gather import Policy
from crocusroad_core.routing import ExtraLoadBudget, Router
from crocusroad_node.counters import EXTRA_REFUSED
from crocusroad_node.settings import Settings

FIXED_HEDGE_SECONDS: Final = 0.05

RandomFloat = Callable[[], float]
PickReplica = Callable[[str, tuple[Replica, ...], float], Replica | None]
HedgeDelay = Callable[[str, float], float | None]
SpendBudget = Callable[[str, float], bool]
AllowReplacement = Callable[[bool, float], bool]


def build_policies(
    cfg: Settings,
    router: Router,
    budget: ExtraLoadBudget,
    random: RandomFloat,
) -> Callable[[Front], Policy]:
    """Return a function that returns the policy of a front."""
    pick = _build_pick(cfg.routing_pick, router, random)
    hedge_delay = _build_hedge_delay(cfg.routing_hedge, router, budget)
    policies: dict[str, Policy] = {}

    def spend(shard: str, now: float) -> bool:
        is_allowed = budget.spend(now)
        if not is_allowed:
            EXTRA_REFUSED.inc()
        return is_allowed

    def allow_replacement(may_have_run: bool, now: float) -> bool:
        is_allowed = budget.allow_replacement(may_have_run, now)
        if not is_allowed:
            EXTRA_REFUSED.inc()
        return is_allowed

    budget_checks = (spend, allow_replacement)

    def policy_for(front: Front) -> Policy:
        policy = policies.get(front.name)
        if policy is None:
            policy = _build_policy(front.name, pick, hedge_delay, budget_checks)
            policies[front.name] = policy
        return policy

    return policy_for


def _build_policy(
    front: str,
    pick: PickReplica,
    hedge_delay: HedgeDelay,
    budget_checks: tuple[SpendBudget, AllowReplacement],
) -> Policy:
    shard_keys: dict[str, str] = {}

    def shard_key(shard: str) -> str:
        cached = shard_keys.get(shard)
        if cached is None:
            cached = f'{front}/{shard}'
            shard_keys[shard] = cached
        return cached

    return Policy(
        pick=lambda shard, candidates, now: pick(
            shard_key(shard), candidates, now
        ),
        hedge_delay=lambda shard, now: hedge_delay(shard_key(shard), now),
        spend=budget_checks[0],
        allow_replacement=budget_checks[1],
    )


def _build_pick(name: str, router: Router, random: RandomFloat) -> PickReplica:
    if name == 'random':
        return lambda shard, candidates, now: candidates[
            int(random() * len(candidates))
        ]
    if name == 'round-robin':
        turn_numbers = count()
        return lambda shard, candidates, now: candidates[
            next(turn_numbers) % len(candidates)
        ]
    return router.pick


def _build_hedge_delay(
    name: str, router: Router, budget: ExtraLoadBudget
) -> HedgeDelay:
    if name == 'off':
        return lambda shard, now: None
    if name == 'fixed':
        return lambda shard, now: FIXED_HEDGE_SECONDS

    def adaptive(shard: str, now: float) -> float:
        # A scarce budget is reserved for the slowest attempts.
        if budget.is_scarce:
            return router.low_budget_hedge_delay(shard, now)
        return router.hedge_delay(shard, now)

    return adaptive

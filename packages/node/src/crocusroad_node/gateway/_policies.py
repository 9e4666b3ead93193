"""Query policies of routes: replica choice, hedge timing and retry budget."""

from collections import defaultdict
from collections.abc import Callable

from crocusroad_core.fronts import Replica
from crocusroad_core.gather import AttemptRole, Policy
from crocusroad_core.lifecycle import StopWindow
from crocusroad_core.retry_budget import OpenRetries, RetryBudgets
from crocusroad_core.routes import Route
from crocusroad_core.routing import HedgeTiming, LatencyHistogram, Router
from crocusroad_node.counters import REPEAT_DECISIONS, RETRY_TOKENS
from crocusroad_node.gateway._directory import Directory


def follow_state(
    policy: Policy,
    directory: Directory,
    router: Router,
    stop_window: Callable[[], StopWindow],
) -> Policy:
    """Return the policy of a query, following the replicas and a stop."""
    return _follow_changes(
        _prefer_in_time(policy, router, stop_window), directory
    )


def _follow_changes(policy: Policy, directory: Directory) -> Policy:
    """Return the policy, without replicas that no longer accept work.

    The candidates of a query are those of its start; a replica may drain, leave
    or ask for a rest while it waits.
    """
    change_count = directory.change_count

    def pick(
        shard: str,
        candidates: tuple[Replica, ...],
        now: float,
    ) -> Replica | None:
        is_changed = directory.change_count != change_count
        if is_changed or directory.has_resting(now):
            candidates = tuple(
                replica
                for replica in candidates
                if directory.accepts_work(replica, now)
            )
        return policy.pick(shard, candidates, now)

    return policy._replace(pick=pick)


def _prefer_in_time(
    policy: Policy,
    router: Router,
    stop_window: Callable[[], StopWindow],
) -> Policy:
    """Return the policy, preferring replicas that answer before a stop ends."""

    def pick(
        shard: str,
        candidates: tuple[Replica, ...],
        now: float,
    ) -> Replica | None:
        window = stop_window()
        if window.is_open_ended:
            return policy.pick(shard, candidates, now)
        preferred = tuple(
            replica
            for replica in candidates
            if window.allows_replica(router.expected_seconds(replica, now), now)
            and not router.is_leaving(replica, now)
        )
        return policy.pick(shard, preferred or candidates, now)

    return policy._replace(pick=pick)


class RoutePolicies:
    """Builds the policies of routes and records the routes' latencies."""

    def __init__(self, router: Router, budget: RetryBudgets) -> None:
        self._router = router
        self._budget = budget
        # By route name.
        self._latencies: defaultdict[str, LatencyHistogram] = defaultdict(
            LatencyHistogram
        )
        self._asked_services: set[str] = set()
        self._timings: defaultdict[str, HedgeTiming] = defaultdict(HedgeTiming)

    def policy_for(
        self, route: Route, answer_by: float, retries: OpenRetries
    ) -> Policy:
        """Return the policy for a query that is due at `answer_by`."""
        latency = self._latencies[route.name]
        timing = self._timings[route.name]

        def hedge_delay(shard: str, now: float) -> float:
            return timing.delay(
                latency.hedge_delay,
                answer_by - now,
                route.objective_seconds,
                is_budget_scarce=self._budget.is_scarce(shard, now),
            )

        return Policy(
            pick=self._router.pick,
            hedge_delay=hedge_delay,
            spend=retries.spend,
            allow_replacement=lambda may_have_run, now: False,
            record_spend=self._record_spend,
        )

    def publish_tokens(self, now: float) -> None:
        """Set the gauges of the budgets that were asked for repeats."""
        for service in self._asked_services:
            tokens = self._budget.available(service, now)
            RETRY_TOKENS.labels(service).set(tokens)

    def record_latency(self, route: str, seconds: float) -> None:
        """Record the latency of an answer."""
        self._latencies[route].record(seconds)

    def record_hedge(
        self,
        route: str,
        seconds: float,
        *,
        is_answered: bool,
    ) -> None:
        """Record how long a hedge took, or how long it was waited for."""
        timing = self._timings[route]
        if is_answered:
            timing.record_latency(seconds)
        else:
            timing.record_abandoned(seconds)

    def _record_spend(
        self, service: str, role: AttemptRole, is_allowed: bool
    ) -> None:
        self._asked_services.add(service)
        decision = 'granted' if is_allowed else 'refused'
        REPEAT_DECISIONS.labels(service, role.value, decision).inc()

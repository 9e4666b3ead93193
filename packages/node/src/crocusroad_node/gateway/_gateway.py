"""The way of a caller's request through the gateway."""

from collections.abc import Callable
from typing import NamedTuple

from crocusroad_core.gather import Finish, Gather, LatenessEstimator
from crocusroad_core.retry_budget import RetryBudgets
from crocusroad_core.routes import Route, WeightedRoundRobin
from crocusroad_node.counters import QUERY_OUTCOMES, REFUSALS, REQUEST_SECONDS
from crocusroad_node.gateway._delegated_request import Given, Ways
from crocusroad_node.gateway._delegation_handler import Coordination
from crocusroad_node.gateway._delegator import Delegator, Job
from crocusroad_node.gateway._dialect import Dialect
from crocusroad_node.gateway._directory import Directory
from crocusroad_node.gateway._plans import (
    Allowance,
    Target,
    Times,
    build_plan,
    deadline_of,
)
from crocusroad_node.gateway._policies import RoutePolicies
from crocusroad_node.gateway._query import Query, ReplicaAccess
from crocusroad_node.gateway._query_reply import (
    UNKNOWN_SECONDS,
    internal_headers,
    reply_to,
)
from crocusroad_node.gateway._query_spec import task_for
from crocusroad_node.gateway._reply import (
    Reply,
    SendReply,
    error_reply,
    noop_stop,
)
from crocusroad_node.gateway._request import CallerRequest
from crocusroad_node.gateway._request_log import report

# Works on a request; returns what stops it.
Work = Callable[[CallerRequest, Target, SendReply], Callable[[], None]]


class GatewayDependencies(NamedTuple):
    """What the gateway works with."""

    dialect: Dialect
    directory: Directory
    reach: ReplicaAccess
    policies: RoutePolicies
    budget: RetryBudgets
    turns: WeightedRoundRobin
    delegations: Delegator
    add_work: Callable[[int], None]  # shards that this instance will read


class Gateway:
    """Finds the route of each request, asks replicas and answers."""

    def __init__(
        self, parts: GatewayDependencies, clock: Callable[[], float]
    ) -> None:
        self.in_flight = 0
        self._parts = parts
        self._clock = clock
        self._punctual: dict[
            bool, LatenessEstimator
        ] = {}  # by whether it fans out
        self._internal = internal_headers(parts.dialect.headers)

    def handle(
        self, req: CallerRequest, answer: SendReply
    ) -> Callable[[], None]:
        """Begin the work on a request; return what stops it."""
        return self._begin(req, answer, self._give)

    def coordinate(self, req: CallerRequest, answer: SendReply) -> Coordination:
        """Begin the work on a request that another instance gave.

        One replica of each shard is asked until that one confirms.
        """
        asked: list[tuple[Query, int]] = []

        def work(
            req: CallerRequest,
            target: Target,
            answer: SendReply,
        ) -> Callable[[], None]:
            query = self._query(req, target, answer, Allowance(1))
            asked.append((query, target.route.max_replicas))
            return self._start(req, target, query)

        stop = self._begin(req, answer, work)

        def confirm() -> None:
            for query, max_replicas in asked:
                query.allow(max_replicas)

        return Coordination(stop, confirm)

    def _begin(
        self,
        req: CallerRequest,
        answer: SendReply,
        work: Work,
    ) -> Callable[[], None]:
        table = self._parts.directory.table
        if table is None:
            REFUSALS.labels('no-configuration').inc()
            report(req, self._id(req), version=0, outcome='no configuration')
            answer(
                error_reply(503, 'no configuration is known', UNKNOWN_SECONDS)
            )
            return noop_stop
        version = table.version
        route = table.find(req.host, req.path)
        if route is None:
            REFUSALS.labels('no-route').inc()
            report(req, self._id(req), version=version, outcome='no route')
            answer(error_reply(404, 'no route'))
            return noop_stop
        if not self._id(req):
            REFUSALS.labels('no-id').inc()
            report(req, b'', version=version, outcome='no id')
            answer(error_reply(400, 'the request has no id'))
            return noop_stop
        shards = route.shards or (self._parts.turns.next_service(route),)
        return work(req, Target(table, route, shards), answer)

    def _give(
        self,
        req: CallerRequest,
        target: Target,
        answer: SendReply,
    ) -> Callable[[], None]:
        """Give a fan-out to a faster instance, or ask the replicas."""
        route = target.route
        # One replica of each shard is left for this instance to ask.
        is_givable = route.is_repeatable and route.max_replicas > 1
        if not route.is_fan_out or not is_givable:
            return self._ask(req, target, answer)
        header = self._parts.dialect.headers.deadline
        job = Job(
            req,
            self._id(req),
            target.table.version,
            len(target.shards),
            deadline_of(req, route, header),
        )
        ways = self._ways(req, target, answer)
        given = Given(ways, self._internal)
        given.stop_there = self._parts.delegations.begin(job, given)
        if given.stop_there is None:
            return self._ask(req, target, answer)
        self.in_flight += 1
        return given.stop

    def _ways(
        self,
        req: CallerRequest,
        target: Target,
        answer: SendReply,
    ) -> Ways:
        def ask(is_repeat: bool) -> Callable[[], None]:
            self.in_flight -= 1
            if not is_repeat:
                return self._ask(req, target, answer)
            allowance = Allowance(1, is_repeat=True)
            query = self._query(req, target, answer, allowance)
            return self._start(req, target, query)

        def end(reply: Reply, outcome: str, coordinator: str) -> None:
            self.in_flight -= 1
            answer(reply)
            took = self._clock() - req.received_at
            REQUEST_SECONDS.labels('fan-out').observe(took)
            report(
                req,
                self._id(req),
                route=target.route.name,
                version=target.table.version,
                outcome=outcome,
                status=reply.status,
                coordinator=coordinator,
                took_ms=round(took * 1000, 1),
            )

        return Ways(ask, end, lambda: self._left(req, target, sent=0))

    def _ask(
        self,
        req: CallerRequest,
        target: Target,
        answer: SendReply,
    ) -> Callable[[], None]:
        """Ask the replicas as often as the route allows."""
        allowance = Allowance(target.route.max_replicas)
        query = self._query(req, target, answer, allowance)
        return self._start(req, target, query)

    def _query(
        self,
        req: CallerRequest,
        target: Target,
        answer: SendReply,
        allowance: Allowance,
    ) -> Query:
        parts = self._parts
        route = target.route
        now = self._clock()
        for shard in target.shards:
            parts.budget.earn(shard, now)
        if route.is_fan_out:
            parts.add_work(len(target.shards))
        header = parts.dialect.headers.deadline
        times = Times(req.received_at, deadline_of(req, route, header))
        punctual = self._punctuality(route)
        plan = build_plan(
            target,
            parts.directory,
            times,
            punctual.margin,
            allowance,
        )
        query = Query(
            Gather(plan, parts.policies.policy_for(route, plan.answer_by)),
            task_for(req, route, parts.dialect),
            parts.reach,
            lambda finish: self._finish(
                req,
                target,
                query,
                finish,
                answer,
                plan.answer_by,
            ),
        )
        return query

    def _start(
        self,
        req: CallerRequest,
        target: Target,
        query: Query,
    ) -> Callable[[], None]:
        self.in_flight += 1
        query.begin()

        def leave() -> None:
            query.stop()
            self._left(req, target, query.sent)

        return leave

    def _punctuality(self, route: Route) -> LatenessEstimator:
        return self._punctual.setdefault(route.is_fan_out, LatenessEstimator())

    def _finish(
        self,
        req: CallerRequest,
        target: Target,
        query: Query,
        finish: Finish,
        answer: SendReply,
        due: float,
    ) -> None:
        self.in_flight -= 1
        QUERY_OUTCOMES.labels(finish.outcome.value).inc()
        kind = 'fan-out' if target.route.is_fan_out else 'one-replica'
        REQUEST_SECONDS.labels(kind).observe(self._clock() - req.received_at)
        names = self._parts.dialect.headers
        reply = reply_to(finish, query, target.route, names)
        answer(reply)
        late = self._clock() - due
        if late >= 0 and not query.has_waited:
            self._punctuality(target.route).record(late)
        report(
            req,
            self._id(req),
            route=target.route.name,
            version=target.table.version,
            outcome=finish.outcome.value,
            status=reply.status,
            shards=len(target.shards),
            answered=len(query.answers),
            sent=query.sent,
            took_ms=round((self._clock() - req.received_at) * 1000, 1),
            attempts=[one._asdict() for one in query.traces],
        )

    def _left(self, req: CallerRequest, target: Target, sent: int) -> None:
        self.in_flight -= 1
        report(
            req,
            self._id(req),
            route=target.route.name,
            version=target.table.version,
            outcome='caller left',
            sent=sent,
            took_ms=round((self._clock() - req.received_at) * 1000, 1),
        )

    def _id(self, req: CallerRequest) -> bytes:
        return req.header(self._parts.dialect.headers.request_id)

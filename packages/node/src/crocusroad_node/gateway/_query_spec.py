"""Builds the specification of a query from a caller's request."""

from functools import partial
from typing import Final

from crocusroad_core.gather import Plan
from crocusroad_core.queueing import WaitingRequest
from crocusroad_core.routes import Route
from crocusroad_node.gateway._plans import as_single_record, split_records
from crocusroad_node.gateway._platform_protocol import PlatformProtocol
from crocusroad_node.gateway._query import QuerySpec
from crocusroad_node.gateway._request import CallerRequest
from crocusroad_node.gateway._request_encoder import make_encoder

# A request that is not repeatable needs a new connection, or one whose last
# answer is at most this old. If the replica closed an idle connection while the
# request is sent, it would be unknown whether the request ran.
FRESH_SECONDS: Final = 1.0


def build_query_spec(
    req: CallerRequest,
    route: Route,
    plan: Plan,
    protocol: PlatformProtocol,
) -> QuerySpec:
    """Return the specification of a query for a request on a route."""
    return QuerySpec(
        route=route.name,
        request_id=req.header(protocol.headers.request_id),
        encode=make_encoder(req, protocol.headers),
        is_head=req.is_head,
        max_idle_seconds=None if route.is_repeatable else FRESH_SECONDS,
        must_be_success=route.is_repeatable,
        read_records=partial(split_records, size=protocol.record_bytes)
        if route.is_fan_out
        else as_single_record,
        waiting=WaitingRequest(
            req.received_at, route.priority, plan.answer_by, plan.deadline
        ),
    )

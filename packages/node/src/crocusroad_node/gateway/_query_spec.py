"""What a caller's request is to its query."""

from functools import partial
from typing import Final

from crocusroad_core.routes import Route
from crocusroad_node.gateway._dialect import Dialect
from crocusroad_node.gateway._plans import split_records, whole_response
from crocusroad_node.gateway._query import Task
from crocusroad_node.gateway._request import CallerRequest
from crocusroad_node.gateway._request_encoder import make_encoder

# A request that may run once only goes on a connection whose last answer is
# this fresh, in seconds, or on a new one: one that the other end closes
# meanwhile would leave open whether it ran.
FRESH_SECONDS: Final = 1.0


def task_for(req: CallerRequest, route: Route, dialect: Dialect) -> Task:
    """Return what a request is to its query, by its route."""
    return Task(
        route=route.name,
        request_id=req.header(dialect.headers.request_id),
        encode=make_encoder(req, dialect.headers),
        is_head=req.is_head,
        freshness=None if route.is_repeatable else FRESH_SECONDS,
        must_be_success=route.is_repeatable,
        read=partial(split_records, size=dialect.record_bytes)
        if route.is_fan_out
        else whole_response,
    )

"""The answer to a caller, from what came of its query."""

from http import HTTPStatus
from typing import Final

from crocusroad_core.gather import REASON_NO_REPLICA, Finish, Outcome
from crocusroad_core.routes import Route
from crocusroad_node.counters import REFUSALS
from crocusroad_node.gateway._dialect import HeaderNames
from crocusroad_node.gateway._query import Query
from crocusroad_node.gateway._reply import Reply, error_reply, pass_on

# Seconds after which a refused request may come again: replicas that were
# full have room again after a few runs.
BUSY_SECONDS: Final = 0.1
# And where nothing is known yet of routes or replicas.
UNKNOWN_SECONDS: Final = 0.5


def internal_headers(names: HeaderNames) -> frozenset[bytes]:
    """Return the headers of replicas that callers are not shown."""
    return frozenset((names.load, names.expected_replica))


def reply_to(
    finish: Finish,
    query: Query,
    route: Route,
    names: HeaderNames,
) -> Reply:
    """Return the answer to a caller."""
    if finish.outcome is Outcome.answered:
        if route.is_fan_out:
            return _merged(finish, query, names)
        only = next(iter(query.answers.values()))
        return pass_on(only, internal_headers(names))
    if not finish.may_have_run:
        REFUSALS.labels('no-replica').inc()
        return error_reply(503, 'no replica could run it', _pause_after(finish))
    if query.failure is not None and not route.is_fan_out:
        return pass_on(query.failure, internal_headers(names))
    return _failed(finish.outcome)


def _failed(outcome: Outcome) -> Reply:
    REFUSALS.labels(outcome.value).inc()
    if outcome is Outcome.expired:
        return error_reply(504, 'not answered in time')
    return error_reply(502, 'replicas failed')


def _pause_after(finish: Finish) -> float:
    """Return when a request that did not run may come again."""
    reasons = {one['reason'] for one in finish.coverage['missing']}
    return UNKNOWN_SECONDS if REASON_NO_REPLICA in reasons else BUSY_SECONDS


def _merged(finish: Finish, query: Query, names: HeaderNames) -> Reply:
    signatures = [
        one.header(names.signature) or b'' for one in query.answers.values()
    ]
    missing = finish.coverage['shards'] - len(signatures)
    headers = (
        (names.shard_signatures, b', '.join(signatures)),
        (names.missing_shards, b'%d' % missing),
    )
    return Reply(HTTPStatus.OK, headers, b''.join(finish.records))

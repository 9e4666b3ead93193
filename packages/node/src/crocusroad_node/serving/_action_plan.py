"""Checks of an action request, and the plan of how to run it."""

import time
from hashlib import sha256
from typing import NamedTuple

import msgspec
from returns.result import Failure, Result, Success

from crocusroad_core.claims import (
    ClaimRecord,
    ClaimState,
    KeyState,
    canonical_key,
    key_state,
)
from crocusroad_core.fronts import ShardMap
from crocusroad_core.refusals import Refusal, refuse
from crocusroad_node.claims import claim_key
from crocusroad_node.serving._call import SearchCall
from crocusroad_node.serving._target import Target
from crocusroad_wire import (
    ActionRequest,
    ProblemKind,
    SearchRequest,
    UpstreamQuery,
)

MS_PER_SECOND = 1000


class ActionCall(NamedTuple):
    """A caller's request to run an action."""

    request_id: str
    front: str
    token_sha256: str
    key: str  # idempotency key as the caller sent it
    request: ActionRequest


class ActionPlan(NamedTuple):
    """An action that passed the checks, with what is needed to run it."""

    call: ActionCall
    key: str  # idempotency key in canonical form
    claim_key: str  # key of the claim in the KV
    shard_map: ShardMap
    budget: float  # seconds
    record: ClaimRecord
    target: Target


def plan_action(
    call: ActionCall,
    target: Target,
    holder: str,
) -> Result[ActionPlan, Refusal]:
    """Check an action and return its plan, or the refusal."""
    front, caller, kind = target
    shard_map = front.shard_maps[max(front.shard_maps)]
    if kind.is_repeatable:
        detail = f'kind {kind.name!r} is for searches, not for actions'
        return Failure(refuse(ProblemKind.unknown_kind, detail))
    if call.request['shard'] not in shard_map.shards:
        detail = f'no shard {call.request["shard"]!r} in front {front.name!r}'
        return Failure(refuse(ProblemKind.unknown_shard, detail))
    key = canonical_key(call.key)
    if key is None:
        detail = f'Idempotency-Key {call.key[:64]!r} is not a UUID version 7'
        return Failure(refuse(ProblemKind.key_invalid, detail))
    wall_now = time.time()
    state = key_state(key, wall_now)
    if state is not KeyState.valid:
        return Failure(_make_key_refusal(state, key))
    requested_ms = call.request.get(
        'deadline_ms', kind.deadline * MS_PER_SECOND
    )
    budget = min(kind.deadline, requested_ms / MS_PER_SECOND)
    record = ClaimRecord(
        write_id=call.request_id,
        holder=holder,
        body_sha256=_compute_body_digest(call.request),
        not_after=wall_now + budget,
        state=ClaimState.claimed,
    )
    kv_key = claim_key(front.name, caller.name, key)
    return Success(
        ActionPlan(call, key, kv_key, shard_map, budget, record, target)
    )


def build_action_query(
    plan: ActionPlan,
    serial: int,
    seconds_left: float,
) -> UpstreamQuery:
    """Return the message that asks a replica to run an action.

    Args:
        plan: The action.
        serial: The number of the attempt, from 1.
        seconds_left: The time until the deadline of the action.
    """
    request = plan.call.request
    return UpstreamQuery(
        request_id=f'{plan.call.request_id}.{serial}',
        shard=request['shard'],
        version=plan.shard_map.version,
        kind=request['kind'],
        query=request['body'],
        limit=1,
        deadline_ms=int(seconds_left * MS_PER_SECOND),
        expires_at=plan.record['not_after'],
        idempotency_key=plan.key,
    )


def build_guard_call(call: ActionCall) -> SearchCall:
    """Return the search call that stands for an action in the crash guard.

    It omits the idempotency key, so that repeats of one action under new keys
    have one fingerprint.
    """
    request = call.request
    guarded_query = {'shard': request['shard'], 'body': request['body']}
    return SearchCall(
        call.request_id,
        call.front,
        call.token_sha256,
        SearchRequest(kind=request['kind'], query=guarded_query),
    )


def _make_key_refusal(state: KeyState, key: str) -> Refusal:
    if state is KeyState.expired:
        detail = f'idempotency key {key} is older than a day'
        return refuse(ProblemKind.key_expired, detail)
    detail = f'idempotency key {key} has a timestamp in the future'
    return refuse(ProblemKind.key_invalid, detail)


def _compute_body_digest(request: ActionRequest) -> str:
    hashed_fields = (request['kind'], request['shard'], request['body'])
    return sha256(
        msgspec.json.encode(hashed_fields, order='sorted')
    ).hexdigest()

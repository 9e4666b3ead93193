"""What one action needs, once it is admitted."""

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
    """One action of a caller."""

    request_id: str
    front: str
    token_sha256: str
    key: str  # as the caller sent it
    request: ActionRequest


class ActionPlan(NamedTuple):
    """An admitted action."""

    call: ActionCall
    key: str  # in its one spelling
    claim_key: str  # in the KV
    shard_map: ShardMap
    budget: float  # seconds
    record: ClaimRecord
    target: Target


def plan_action(
    call: ActionCall,
    target: Target,
    holder: str,
) -> Result[ActionPlan, Refusal]:
    """Return the plan of an action, or why it is refused."""
    front, caller, kind = target
    shard_map = front.shard_maps[max(front.shard_maps)]
    if kind.is_repeatable:
        detail = f'the kind {kind.name!r} is for searches'
        return Failure(refuse(ProblemKind.unknown_kind, detail))
    if call.request['shard'] not in shard_map.shards:
        detail = f'no shard {call.request["shard"]!r} in {front.name!r}'
        return Failure(refuse(ProblemKind.unknown_shard, detail))
    key = canonical_key(call.key)
    if key is None:
        detail = f'Idempotency-Key {call.key[:64]!r} is no UUID version 7'
        return Failure(refuse(ProblemKind.key_invalid, detail))
    wall = time.time()
    state = key_state(key, wall)
    if state is not KeyState.valid:
        return Failure(_key_refusal(state, key))
    wanted_ms = call.request.get('deadline_ms', kind.deadline * MS_PER_SECOND)
    budget = min(kind.deadline, wanted_ms / MS_PER_SECOND)
    record = ClaimRecord(
        write_id=call.request_id,
        holder=holder,
        body_sha256=_body_digest(call.request),
        not_after=wall + budget,
        state=ClaimState.claimed,
    )
    where = claim_key(front.name, caller.name, key)
    return Success(
        ActionPlan(call, key, where, shard_map, budget, record, target)
    )


def action_message(
    plan: ActionPlan,
    serial: int,
    left: float,
) -> UpstreamQuery:
    """Return the sub-request of an action; `left` in seconds."""
    request = plan.call.request
    return UpstreamQuery(
        request_id=f'{plan.call.request_id}.{serial}',
        shard=request['shard'],
        version=plan.shard_map.version,
        kind=request['kind'],
        query=request['body'],
        limit=1,
        deadline_ms=int(left * MS_PER_SECOND),
        expires_at=plan.record['not_after'],
        idempotency_key=plan.key,
    )


def guarded_call(call: ActionCall) -> SearchCall:
    """Return an action as the crash guard knows it: without its key."""
    request = call.request
    asked = {'shard': request['shard'], 'body': request['body']}
    return SearchCall(
        call.request_id,
        call.front,
        call.token_sha256,
        SearchRequest(kind=request['kind'], query=asked),
    )


def _key_refusal(state: KeyState, key: str) -> Refusal:
    if state is KeyState.expired:
        detail = f'the key {key} is older than a day'
        return refuse(ProblemKind.key_expired, detail)
    detail = f'the time of the key {key} lies in the future'
    return refuse(ProblemKind.key_invalid, detail)


def _body_digest(request: ActionRequest) -> str:
    parts = (request['kind'], request['shard'], request['body'])
    return sha256(msgspec.json.encode(parts, order='sorted')).hexdigest()

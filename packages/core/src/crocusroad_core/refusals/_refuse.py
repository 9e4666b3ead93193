"""Construction of refusals, with a remedy for each problem kind."""

from typing import Final

from crocusroad_core.refusals._refusal import Refusal
from crocusroad_wire import ProblemKind

REMEDIES: Final = {
    ProblemKind.malformed: 'correct the request and retry',
    ProblemKind.unauthorized: 'send a token of a caller of the front',
    ProblemKind.unknown_front: 'use the name of a configured front',
    ProblemKind.unknown_kind: 'use a request kind that the front accepts',
    ProblemKind.unknown_shard: 'use the name of a shard of the front',
    ProblemKind.invalid_spec: 'correct every listed fault and apply again',
    ProblemKind.conflict: 'read the resource and reapply the change to it',
    ProblemKind.revision_too_old: 'list again and watch from that revision',
    ProblemKind.not_ready: 'retry later or use another instance',
    ProblemKind.draining: 'retry; another instance serves the request',
    ProblemKind.caller_limit: 'send fewer requests per second',
    ProblemKind.kind_limit: 'send fewer concurrent requests of this kind',
    ProblemKind.overloaded: 'retry later',
    ProblemKind.deadline_too_short: 'set a longer deadline',
    ProblemKind.deadline_exceeded: 'set a longer deadline or retry later',
    ProblemKind.no_snapshot: 'retry when all shards serve one index version',
    ProblemKind.quarantined: 'do not send this request again; report it',
    ProblemKind.key_invalid: 'send a new UUID of version 7 as Idempotency-Key',
    ProblemKind.key_expired: 'check the outcome, then use a new key',
    ProblemKind.key_reused: 'use a new key for a different request',
    ProblemKind.claim_unavailable: 'retry with the same key',
    ProblemKind.in_progress: 'retry later with the same key',
    ProblemKind.upstream_unavailable: 'retry later',
    ProblemKind.outcome_unknown: 'check the outcome before repeating it',
    ProblemKind.store_unavailable: 'apply again later',
    ProblemKind.write_unknown: 'read the resource to see whether it changed',
}


def refuse(
    kind: ProblemKind,
    detail: str,
    *,
    may_have_run: bool = False,
    retry_after: float | None = None,
) -> Refusal:
    """Return a refusal with the remedy for its problem kind.

    Args:
        kind: Why the request is refused.
        detail: What was wrong, with the offending value.
        may_have_run: Whether an upstream may have run the request.
        retry_after: Seconds after which the caller may retry.
    """
    return Refusal(
        kind=kind,
        ran='unknown' if may_have_run else 'no',
        detail=detail,
        remedy=REMEDIES[kind],
        retry_after=retry_after,
    )

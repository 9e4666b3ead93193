"""The remedy of each kind of refusal."""

from typing import Final

from crocusroad_core.refusals._refusal import Refusal
from crocusroad_wire import ProblemKind

REMEDIES: Final = {
    ProblemKind.malformed: 'correct the request and send it again',
    ProblemKind.unauthorized: 'send a token that the front knows',
    ProblemKind.unknown_front: 'name a front that is in force',
    ProblemKind.unknown_kind: 'name a request kind that the front accepts',
    ProblemKind.unknown_shard: 'name a shard of the front',
    ProblemKind.invalid_spec: 'mend every listed fault and apply again',
    ProblemKind.conflict: 'read the resource and repeat the change on it',
    ProblemKind.revision_too_old: 'list again and watch from there',
    ProblemKind.not_ready: 'ask another instance, or wait',
    ProblemKind.draining: 'send the request again; another instance takes it',
    ProblemKind.caller_limit: 'send fewer requests a second',
    ProblemKind.kind_limit: 'send fewer requests of this kind at once',
    ProblemKind.overloaded: 'wait, then send again',
    ProblemKind.deadline_too_short: 'allow more time',
    ProblemKind.deadline_exceeded: 'allow more time or send again later',
    ProblemKind.no_snapshot: 'wait until one index version can be served',
    ProblemKind.quarantined: 'do not send this request again; report it',
    ProblemKind.key_invalid: 'send a new UUID of version 7 as Idempotency-Key',
    ProblemKind.key_expired: 'check the outcome, then use a new key',
    ProblemKind.key_reused: 'use a new key for another request',
    ProblemKind.claim_unavailable: 'send again with the same key',
    ProblemKind.in_progress: 'send again later with the same key',
    ProblemKind.upstream_unavailable: 'wait, then send again',
    ProblemKind.outcome_unknown: 'check the outcome before doing it again',
    ProblemKind.store_unavailable: 'wait, then apply again',
    ProblemKind.write_unknown: 'read the resource to see whether it changed',
}


def refuse(
    kind: ProblemKind,
    detail: str,
    *,
    has_run: bool = False,
    retry_after: float | None = None,
) -> Refusal:
    """Return a refusal with the remedy of its kind.

    Args:
        kind: Why the request is refused.
        detail: What was seen, with the offending value.
        has_run: Whether an upstream may have run the request.
        retry_after: Seconds after which to come again.
    """
    return Refusal(
        kind=kind,
        ran='unknown' if has_run else 'no',
        detail=detail,
        remedy=REMEDIES[kind],
        retry_after=retry_after,
    )

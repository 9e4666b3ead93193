"""At-most-once execution of actions: idempotency keys, claims and leases."""

from crocusroad_core.claims._action import (
    Action,
    ActionCommand,
    ActionDone,
    ActionOutcome,
    PickCandidate,
    SendAction,
)
from crocusroad_core.claims._claim import Claim
from crocusroad_core.claims._claim_command import (
    ClaimCommand,
    ClaimDone,
    ClaimOutcome,
    ReadClaim,
    RenewLease,
    SwapClaim,
)
from crocusroad_core.claims._key import (
    KEY_LIFETIME_SECONDS,
    MAX_CLOCK_SKEW_SECONDS,
    MAX_KEY_LEAD_SECONDS,
    KeyState,
    canonical_key,
    key_state,
)
from crocusroad_core.claims._lease import (
    LEASE_JOIN_SECONDS,
    LEASE_TTL_SECONDS,
    Lease,
)
from crocusroad_core.claims._outcome_recorder import OutcomeRecorder
from crocusroad_core.claims._record import (
    ClaimRecord,
    ClaimState,
    decode_claim,
    encode_claim,
    encode_ended_claim,
)

__all__ = [
    'KEY_LIFETIME_SECONDS',
    'LEASE_JOIN_SECONDS',
    'LEASE_TTL_SECONDS',
    'MAX_CLOCK_SKEW_SECONDS',
    'MAX_KEY_LEAD_SECONDS',
    'Action',
    'ActionCommand',
    'ActionDone',
    'ActionOutcome',
    'Claim',
    'ClaimCommand',
    'ClaimDone',
    'ClaimOutcome',
    'ClaimRecord',
    'ClaimState',
    'KeyState',
    'Lease',
    'OutcomeRecorder',
    'PickCandidate',
    'ReadClaim',
    'RenewLease',
    'SendAction',
    'SwapClaim',
    'canonical_key',
    'decode_claim',
    'encode_claim',
    'encode_ended_claim',
    'key_state',
]

"""Actions that run at most once: keys, claims, runs and their records."""

from crocusroad_core.claims._action import (
    Action,
    ActionCommand,
    ActionDone,
    ActionOutcome,
    Pick,
    RunAction,
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
    CLOCK_ERROR,
    KEY_AHEAD,
    KEY_LIFETIME,
    KeyState,
    canonical_key,
    key_state,
)
from crocusroad_core.claims._lease import LEASE_TTL, LEASE_USE, Lease
from crocusroad_core.claims._record import (
    ClaimRecord,
    ClaimState,
    decode_claim,
    encode_claim,
    ended_claim,
)
from crocusroad_core.claims._recording import Recording

__all__ = [
    'CLOCK_ERROR',
    'KEY_AHEAD',
    'KEY_LIFETIME',
    'LEASE_TTL',
    'LEASE_USE',
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
    'Pick',
    'ReadClaim',
    'Recording',
    'RenewLease',
    'RunAction',
    'SwapClaim',
    'canonical_key',
    'decode_claim',
    'encode_claim',
    'ended_claim',
    'key_state',
]

"""One fan-out query: attempts, hedges, retries and the merged answer."""

from crocusroad_core.gather._attempt import Attempt, AttemptRole
from crocusroad_core.gather._command import Cancel, Command, Finish, Send
from crocusroad_core.gather._event import AttemptFailure, FailureReason, Reply
from crocusroad_core.gather._final_answer import REASON_NO_REPLICA
from crocusroad_core.gather._gather import Gather
from crocusroad_core.gather._lateness import LatenessEstimator
from crocusroad_core.gather._outcome import Outcome, Suspect
from crocusroad_core.gather._plan import FindRestartMap, Plan
from crocusroad_core.gather._policy import Policy
from crocusroad_core.gather._travel import (
    DEFAULT_ROUND_TRIP_SECONDS,
    travel_seconds,
)

__all__ = [
    'DEFAULT_ROUND_TRIP_SECONDS',
    'REASON_NO_REPLICA',
    'Attempt',
    'AttemptFailure',
    'AttemptRole',
    'Cancel',
    'Command',
    'FailureReason',
    'FindRestartMap',
    'Finish',
    'Gather',
    'LatenessEstimator',
    'Outcome',
    'Plan',
    'Policy',
    'Reply',
    'Send',
    'Suspect',
    'travel_seconds',
]

"""One fan-out query: attempts out, replies in, one whole answer at the end."""

from crocusroad_core.gather._attempt import Attempt, AttemptRole
from crocusroad_core.gather._command import Cancel, Command, Finish, Send
from crocusroad_core.gather._conclude import REASON_NO_REPLICA
from crocusroad_core.gather._event import FailureReason, Lost, Reply
from crocusroad_core.gather._gather import Gather
from crocusroad_core.gather._outcome import Outcome, Suspect
from crocusroad_core.gather._plan import Another, Plan
from crocusroad_core.gather._policy import Policy
from crocusroad_core.gather._punctuality import Punctuality

__all__ = [
    'REASON_NO_REPLICA',
    'Another',
    'Attempt',
    'AttemptRole',
    'Cancel',
    'Command',
    'FailureReason',
    'Finish',
    'Gather',
    'Lost',
    'Outcome',
    'Plan',
    'Policy',
    'Punctuality',
    'Reply',
    'Send',
    'Suspect',
]

"""The next attempt of a shard whose attempts have all failed."""

from crocusroad_core.gather._attempt import AttemptRole
from crocusroad_core.gather._command import Command
from crocusroad_core.gather._flight import Flight
from crocusroad_core.gather._part import Part

PAUSE_SECONDS = 0.02  # before a replica that refused is asked again
MAX_BREAKS = 2  # upstreams of a shard that may break while they run a query


def retry(flight: Flight, part: Part, now: float) -> list[Command] | None:
    """Ask the shard once more, now or later; None if it may not be asked."""
    if not _may_repeat(flight, part, now):
        return None
    if not flight.canary.allows(len(flight.running)):
        return _pause(flight, part, now)
    replica = flight.choose(part, part.untried(), now)
    if replica is None:
        return _pause(flight, part, now) if part.second else None
    role = _role(flight, part, now)
    if role is None:
        return None
    return [flight.send(part, replica, now, role)]


def _may_repeat(flight: Flight, part: Part, now: float) -> bool:
    if part.may_have_run and not flight.plan.is_repeatable:
        return False
    return part.breaks < MAX_BREAKS and now < flight.plan.deadline


def _pause(flight: Flight, part: Part, now: float) -> list[Command]:
    flight.alarms.put(part.shard, now + PAUSE_SECONDS)
    return []


def _role(flight: Flight, part: Part, now: float) -> AttemptRole | None:
    """Return the role of one more attempt; None if the budget forbids."""
    if not part.may_have_run:
        return AttemptRole.replacement
    if flight.policy.spend(now):
        return AttemptRole.retry
    return AttemptRole.replacement if part.has_only_broken else None

"""The next attempt of a shard whose attempts have all failed."""

from crocusroad_core.gather._attempt import AttemptRole
from crocusroad_core.gather._command import Command
from crocusroad_core.gather._flight import Flight
from crocusroad_core.gather._part import Part

PAUSE_SECONDS = 0.02  # before a refusal is tried again; doubled each time
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
    part.pauses += 1
    pause = PAUSE_SECONDS * 2 ** (part.pauses - 1)
    flight.alarms.put(part.shard, now + pause)
    return []


def _role(flight: Flight, part: Part, now: float) -> AttemptRole | None:
    """Return the role of one more attempt; None if the budget forbids."""
    policy = flight.policy
    if part.losses[-1].is_unreached:
        # The lost attempt cost no upstream anything; this one is in its place.
        policy.allow_replacement(False, now)
        return AttemptRole.replacement
    has_run = part.may_have_run
    if has_run and policy.spend(part.shard, now):
        return AttemptRole.retry
    if _may_replace(part) and policy.allow_replacement(has_run, now):
        part.has_replaced = True
        return AttemptRole.replacement
    if not has_run and policy.spend(part.shard, now):
        return AttemptRole.retry
    return None


def _may_replace(part: Part) -> bool:
    if part.has_replaced:
        return False
    return part.has_only_broken or not part.may_have_run

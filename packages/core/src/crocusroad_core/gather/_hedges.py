"""The second attempt of a shard whose first one is slow."""

from crocusroad_core.gather._attempt import AttemptRole
from crocusroad_core.gather._command import Command
from crocusroad_core.gather._flight import Flight
from crocusroad_core.gather._part import Part

HEDGE_PAUSE_SECONDS = 0.1  # after the budget refused; doubled each time


def hedge(flight: Flight, part: Part, now: float) -> list[Command]:
    """Ask another replica of a slow shard if the budget allows.

    While a canary is out, another shard is asked first, which is no extra
    load.
    """
    if not flight.canary.allows(len(flight.running)):
        return []
    shard = flight.canary.next_shard() if flight.canary.is_out else None
    if shard is None:
        return _hedge(flight, part, now)
    return flight.first((shard,), now)


def _hedge(flight: Flight, part: Part, now: float) -> list[Command]:
    if not flight.plan.is_hedge_in_time(now):
        flight.alarms.put(part.shard, flight.plan.answer_by)
        return []
    if not part.untried():
        part.ask_again()
    replica = flight.choose(part, part.untried(), now)
    if replica is None:
        return []
    if flight.policy.spend(part.shard, now):
        return [flight.send(part, replica, now, AttemptRole.hedge)]
    part.pauses += 1
    pause = HEDGE_PAUSE_SECONDS * 2 ** (part.pauses - 1)
    flight.alarms.put(part.shard, now + pause)
    return []

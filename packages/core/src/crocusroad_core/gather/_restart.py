"""The start over of a query on another index version."""

from crocusroad_core.fronts import ShardMap
from crocusroad_core.gather._attempt import AttemptRole
from crocusroad_core.gather._command import Command
from crocusroad_core.gather._flight import Flight
from crocusroad_core.gather._part import Part


class Restart:
    """Starts a query over at most once."""

    def __init__(self, flight: Flight) -> None:
        self._flight = flight
        self._has_restarted = False

    def move_on(self, part: Part, now: float) -> list[Command]:
        """Start over on another version, or answer without the shard."""
        flight = self._flight
        shard_map = self._other_map(part, now)
        if shard_map is None:
            flight.give_up(part, part.losses[-1].value)
            return []
        self._has_restarted = True
        flight.alarms.clear_all()
        losers = flight.cancel(list(flight.running.values()))
        return losers + flight.start(shard_map, now, AttemptRole.restart)

    def _other_map(self, part: Part, now: float) -> ShardMap | None:
        if not self._may_restart(part, now):
            return None
        find_restart_map = self._flight.plan.find_restart_map
        version = self._flight.shard_map.version
        shard_map = (
            None if find_restart_map is None else find_restart_map(version, now)
        )
        if shard_map is None or shard_map.version == version:
            return None
        return shard_map

    def _may_restart(self, part: Part, now: float) -> bool:
        plan = self._flight.plan
        if self._has_restarted or now >= plan.deadline:
            return False
        if not part.has_moved_on:
            return False
        return plan.is_repeatable or not self._flight.may_have_run

"""The restart of a query on another index version."""

from crocusroad_core.fronts import ShardMap
from crocusroad_core.gather._attempt import AttemptRole
from crocusroad_core.gather._command import Command
from crocusroad_core.gather._query_state import QueryState
from crocusroad_core.gather._shard_state import ShardState


class Restart:
    """Restarts a query at most once."""

    def __init__(self, query: QueryState) -> None:
        self._query = query
        self._has_restarted = False

    def restart_or_give_up(
        self,
        shard_state: ShardState,
        now: float,
    ) -> list[Command]:
        """Restart on another version, or leave the shard out of the answer."""
        query = self._query
        shard_map = self._find_map(shard_state, now)
        if shard_map is None:
            query.give_up(shard_state, shard_state.failures[-1].value)
            return []
        self._has_restarted = True
        query.timers.cancel_all()
        cancels = query.cancel(list(query.running.values()))
        return cancels + query.start(shard_map, now, AttemptRole.restart)

    def _find_map(
        self,
        shard_state: ShardState,
        now: float,
    ) -> ShardMap | None:
        if not self._may_restart(shard_state, now):
            return None
        find = self._query.plan.find_restart_map
        version = self._query.shard_map.version
        shard_map = None if find is None else find(version, now)
        if shard_map is None or shard_map.version == version:
            return None
        return shard_map

    def _may_restart(self, shard_state: ShardState, now: float) -> bool:
        plan = self._query.plan
        if self._has_restarted or now >= plan.deadline:
            return False
        if not shard_state.has_wrong_version:
            return False
        return plan.is_repeatable or not self._query.may_have_run

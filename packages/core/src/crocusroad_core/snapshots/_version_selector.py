"""Selection of an index version by what each replica last reported."""

from collections.abc import Iterable
from typing import NamedTuple

from crocusroad_core.fronts import Front, Replica, ShardMap
from crocusroad_core.snapshots._replica_versions import (
    UNKNOWN_VERSIONS,
    ReplicaVersions,
)

MAX_CHOICE_AGE_SECONDS = 1.0
MIN_REFRESH_SECONDS = 1.0  # a repeated report within this time is ignored


class _Choice(NamedTuple):
    revision: int
    generation: int  # of the reports that the choice is based on
    chosen_at: float  # seconds, clock of the node
    version: int | None


class _Availability(NamedTuple):
    """How well replicas can serve a version; greater is better."""

    confirmed: float  # share of its shards with a replica that serves it
    possible: float  # share of its shards with a replica that may serve it
    version: int


class VersionSelector:
    """Tracks which index versions each replica serves and selects one.

    The recorded versions are only a hint: the version of an answer is verified
    on the answer itself.
    """

    def __init__(self) -> None:
        self._versions: dict[str, ReplicaVersions] = {}
        self._generation = 0
        self._choices: dict[str, _Choice] = {}

    @property
    def replicas(self) -> frozenset[str]:
        """Return the names of the replicas with recorded versions."""
        return frozenset(self._versions)

    def record_versions(
        self, replica: str, versions: Iterable[int], now: float
    ) -> None:
        """Record the complete list of versions that a replica reports."""
        served = frozenset(versions)
        report = ReplicaVersions(
            served, frozenset(), is_complete=True, updated_at=now
        )
        self._put(replica, report)

    def record_served(self, replica: str, version: int, now: float) -> None:
        """Record that a replica answered from a version."""
        old = self._versions.get(replica, UNKNOWN_VERSIONS)
        if version in old.served and now - old.updated_at < MIN_REFRESH_SECONDS:
            return
        self._put(
            replica,
            old._replace(
                served=old.served | {version},
                missing=old.missing - {version},
                updated_at=now,
            ),
        )

    def record_missing(self, replica: str, version: int, now: float) -> None:
        """Record that a replica refused a version that it does not serve."""
        old = self._versions.get(replica, UNKNOWN_VERSIONS)
        self._put(
            replica,
            old._replace(
                served=old.served - {version},
                missing=old.missing | {version},
                updated_at=now,
            ),
        )

    def retain(self, replicas: Iterable[str]) -> None:
        """Remove all replicas except the given ones."""
        retained = frozenset(replicas)
        for name in self._versions.keys() - retained:
            del self._versions[name]

    def choose(self, front: Front, now: float) -> int | None:
        """Return the version that can be served for the most shards.

        Prefers the newer of two equal versions. Returns None if no shard of
        any version can be served.
        """
        old = self._choices.get(front.name)
        if old is not None and self._is_valid(old, front, now):
            return old.version
        version = self._best_version(front.shard_maps.values(), now)
        self._choices[front.name] = _Choice(
            front.revision,
            self._generation,
            now,
            version,
        )
        return version

    def choose_alternative(
        self,
        front: Front,
        version: int,
        now: float,
    ) -> ShardMap | None:
        """Return the best shard map of another version, or None."""
        alternatives = [
            shard_map
            for shard_map in front.shard_maps.values()
            if shard_map.version != version
        ]
        best = self._best_version(alternatives, now)
        return None if best is None else front.shard_maps[best]

    def _put(self, replica: str, report: ReplicaVersions) -> None:
        old = self._versions.get(replica)
        self._versions[replica] = report
        if old is None or old[:-1] != report[:-1]:
            self._generation += 1

    def _is_valid(self, choice: _Choice, front: Front, now: float) -> bool:
        return (
            choice.revision == front.revision
            and choice.generation == self._generation
            and now - choice.chosen_at < MAX_CHOICE_AGE_SECONDS
        )

    def _best_version(
        self, shard_maps: Iterable[ShardMap], now: float
    ) -> int | None:
        candidates = [
            self._availability(shard_map, now) for shard_map in shard_maps
        ]
        best = max(candidates, default=None)
        if best is None or not best.possible:
            return None
        return best.version

    def _availability(self, shard_map: ShardMap, now: float) -> _Availability:
        confirmed = 0
        possible = 0
        for replicas in shard_map.shards.values():
            states = {
                self._serves(replica, shard_map.version, now)
                for replica in replicas
            }
            confirmed += True in states
            possible += bool(states - {False})
        total = max(1, len(shard_map.shards))
        return _Availability(
            confirmed / total, possible / total, shard_map.version
        )

    def _serves(
        self,
        replica: Replica,
        version: int,
        now: float,
    ) -> bool | None:
        report = self._versions.get(replica.name, UNKNOWN_VERSIONS)
        return report.serves(version, now)

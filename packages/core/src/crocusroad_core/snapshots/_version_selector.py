"""The index versions that each replica serves, as the node knows them."""

from collections.abc import Iterable
from typing import NamedTuple

from crocusroad_core.fronts import Front, Replica, ShardMap
from crocusroad_core.snapshots._replica_versions import NO_NEWS, VersionNews

MAX_CHOICE_AGE_SECONDS = 1.0
REFRESH_SECONDS = 1.0  # the same news is not taken again within this time


class _Choice(NamedTuple):
    revision: int
    generation: int  # of the news that it rests on
    chosen_at: float  # seconds, clock of the node
    version: int | None


class _Standing(NamedTuple):
    """How well a version can be served; the greater, the better."""

    known: float  # share of its shards with a replica that serves it
    possible: float  # share of its shards with a replica that may serve it
    version: int


class VersionSelector:
    """Learns which index versions each replica serves and chooses one.

    What it holds is a hint: each answer proves its own version.
    """

    def __init__(self) -> None:
        self._news: dict[str, VersionNews] = {}
        self._generation = 0
        self._choices: dict[str, _Choice] = {}

    @property
    def replicas(self) -> frozenset[str]:
        """Return the replicas that it heard of."""
        return frozenset(self._news)

    def record_versions(
        self, replica: str, versions: Iterable[int], now: float
    ) -> None:
        """Take the list of all versions that a replica says it serves."""
        served = frozenset(versions)
        news = VersionNews(served, frozenset(), is_whole=True, heard_at=now)
        self._put(replica, news)

    def record_served(self, replica: str, version: int, now: float) -> None:
        """Note that a replica answered from a version."""
        old = self._news.get(replica, NO_NEWS)
        if version in old.served and now - old.heard_at < REFRESH_SECONDS:
            return
        self._put(
            replica,
            old._replace(
                served=old.served | {version},
                lacking=old.lacking - {version},
                heard_at=now,
            ),
        )

    def record_missing(self, replica: str, version: int, now: float) -> None:
        """Note that a replica refused a version that it does not serve."""
        old = self._news.get(replica, NO_NEWS)
        self._put(
            replica,
            old._replace(
                served=old.served - {version},
                lacking=old.lacking | {version},
                heard_at=now,
            ),
        )

    def retain(self, replicas: Iterable[str]) -> None:
        """Forget every replica but these."""
        kept = frozenset(replicas)
        for name in self._news.keys() - kept:
            del self._news[name]

    def choose(self, front: Front, now: float) -> int | None:
        """Return the version that most shards can serve.

        The newer one of equals; None if no shard of any version can be
        served.
        """
        old = self._choices.get(front.name)
        if old is not None and self._holds(old, front, now):
            return old.version
        version = self._best(front.shard_maps.values(), now)
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
        """Return the best shard map of another version; None: none is."""
        others = [
            shard_map
            for shard_map in front.shard_maps.values()
            if shard_map.version != version
        ]
        best = self._best(others, now)
        return None if best is None else front.shard_maps[best]

    def _put(self, replica: str, news: VersionNews) -> None:
        old = self._news.get(replica)
        self._news[replica] = news
        if old is None or old[:-1] != news[:-1]:
            self._generation += 1

    def _holds(self, choice: _Choice, front: Front, now: float) -> bool:
        return (
            choice.revision == front.revision
            and choice.generation == self._generation
            and now - choice.chosen_at < MAX_CHOICE_AGE_SECONDS
        )

    def _best(self, shard_maps: Iterable[ShardMap], now: float) -> int | None:
        standings = [self._standing(one, now) for one in shard_maps]
        best = max(standings, default=None)
        if best is None or not best.possible:
            return None
        return best.version

    def _standing(self, shard_map: ShardMap, now: float) -> _Standing:
        known = 0
        possible = 0
        for replicas in shard_map.shards.values():
            states = {
                self._serves(replica, shard_map.version, now)
                for replica in replicas
            }
            known += True in states
            possible += bool(states - {False})
        total = max(1, len(shard_map.shards))
        return _Standing(known / total, possible / total, shard_map.version)

    def _serves(
        self,
        replica: Replica,
        version: int,
        now: float,
    ) -> bool | None:
        news = self._news.get(replica.name, NO_NEWS)
        return news.serves(version, now)

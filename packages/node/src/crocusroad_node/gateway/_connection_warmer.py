"""Connections opened ahead of the first requests to a service."""

import asyncio
from collections.abc import Callable
from hashlib import blake2b
from typing import Final

from crocusroad_core.fronts import Replica
from crocusroad_node.exchanges import ConnectionPool
from crocusroad_node.gateway._directory import Directory

# Opened at once, and the pause after them in seconds: a slow instance stays
# free for requests meanwhile.
BATCH: Final = 10
PAUSE_SECONDS: Final = 0.02
LOOK_SECONDS: Final = 0.2


class ConnectionWarmer:
    """Opens connections to services that routes name for the first time."""

    def __init__(
        self,
        instance: str,
        zone: str,
        directory: Directory,
        pool: Callable[[Replica], ConnectionPool],
        is_asked: Callable[[str], bool],
    ) -> None:
        self._instance = instance
        self._zone = zone
        self._directory = directory
        self._pool = pool
        self._is_asked = is_asked  # whether requests for a service go out here
        self._warmed: set[str] = set()  # services

    async def run(self) -> None:
        """Open what is wanted, for ever."""
        while True:
            wanted = self._wanted()
            while wanted:
                for replica in wanted[:BATCH]:
                    self._pool(replica).warm(1)
                wanted = wanted[BATCH:]
                await asyncio.sleep(PAUSE_SECONDS)
            await asyncio.sleep(LOOK_SECONDS)

    def _wanted(self) -> list[Replica]:
        table = self._directory.table
        if table is None:
            return []
        named = {one for one in table.services if self._is_asked(one)}
        self._warmed &= named
        wanted: list[Replica] = []
        for service in named - self._warmed:
            replicas = self._directory.replicas(service)
            if replicas:
                self._warmed.add(service)
                wanted.append(min(replicas, key=self._rank))
        return wanted

    def _rank(self, replica: Replica) -> tuple[bool, bytes]:
        # The own zone first; else each instance begins with other replicas,
        # so that together they open as many connections to each.
        text = f'{self._instance}/{replica.name}'
        digest = blake2b(text.encode(), digest_size=8).digest()
        return replica.zone != self._zone, digest

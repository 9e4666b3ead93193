"""Opening of connections before the first request to a service."""

import asyncio
from collections.abc import Callable
from hashlib import blake2b
from typing import Final

from crocusroad_core.fronts import Replica
from crocusroad_node.exchanges import ConnectionPool
from crocusroad_node.gateway._directory import Directory

# Connections are opened in small batches with a pause between them, so that
# the event loop of a slow instance stays free for requests.
BATCH_SIZE: Final = 10
BATCH_PAUSE_SECONDS: Final = 0.02
POLL_SECONDS: Final = 0.2


class ConnectionWarmer:
    """Opens a connection to each service that routes name for the first time.

    `is_used` tells whether this instance itself sends requests to a service.
    """

    def __init__(
        self,
        instance: str,
        zone: str,
        directory: Directory,
        pool: Callable[[Replica], ConnectionPool],
        is_used: Callable[[str], bool],
    ) -> None:
        self._instance = instance
        self._zone = zone
        self._directory = directory
        self._pool = pool
        self._is_used = is_used
        self._warmed: set[str] = set()  # services

    async def run(self) -> None:
        """Poll for new services and open connections until cancelled."""
        while True:
            pending = self._next_replicas()
            while pending:
                for replica in pending[:BATCH_SIZE]:
                    self._pool(replica).warm(1)
                pending = pending[BATCH_SIZE:]
                await asyncio.sleep(BATCH_PAUSE_SECONDS)
            await asyncio.sleep(POLL_SECONDS)

    def _next_replicas(self) -> list[Replica]:
        table = self._directory.table
        if table is None:
            return []
        used = {service for service in table.services if self._is_used(service)}
        self._warmed &= used
        pending: list[Replica] = []
        for service in used - self._warmed:
            replicas = self._directory.replicas(service)
            if replicas:
                self._warmed.add(service)
                pending.append(min(replicas, key=self._rank))
        return pending

    def _rank(self, replica: Replica) -> tuple[bool, bytes]:
        # Replicas of the own zone come first. The hash of both names spreads
        # the connections of all instances evenly over the replicas.
        text = f'{self._instance}/{replica.name}'
        digest = blake2b(text.encode(), digest_size=8).digest()
        return replica.zone != self._zone, digest

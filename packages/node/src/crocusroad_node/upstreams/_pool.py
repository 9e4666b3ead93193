"""The connections of this instance to one replica."""

import asyncio
from collections import deque

from crocusroad_core.fronts import Replica
from crocusroad_node.upstreams._link import Link


class LinkPool:
    """Links to one replica, at most `limit` of them in use at once."""

    def __init__(self, replica: Replica, limit: int, agent: str) -> None:
        self._replica = replica
        self._agent = agent
        self._idle: deque[Link] = deque()
        self._free = asyncio.Semaphore(limit)

    async def acquire(self) -> Link:
        """Return a link; wait until one is free."""
        await self._free.acquire()
        if self._idle:
            return self._idle.pop()
        return Link(self._replica, self._agent)

    def release(self, link: Link) -> None:
        """Give a link back."""
        self._free.release()
        if link.is_open:
            self._idle.append(link)

    def close(self) -> None:
        """Close the idle links."""
        while self._idle:
            self._idle.pop().close()

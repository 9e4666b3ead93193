"""Reloading of settings while a gateway runs."""

import asyncio
import logging
from collections.abc import Callable
from typing import Final, Generic, NamedTuple, TypeVar

from returns.result import Result, Success

from crocusroad_node.logs import log_event

_logger = logging.getLogger(__name__)

T = TypeVar('T', bound=NamedTuple)

# The file may change without a signal, so it is polled at this interval, well
# within the time in which a configuration has to be applied.
POLL_SECONDS: Final = 5.0


class SettingsReloader(Generic[T]):
    """Reads the settings again on a signal and at intervals.

    If they cannot be read, the fault is logged and the current settings stay.
    """

    def __init__(
        self,
        cfg: T,
        read: Callable[[], Result[T, str]],
        apply: Callable[[T], None],
    ) -> None:
        self.cfg = cfg
        self._read = read
        self._apply = apply
        self._fault = ''
        self.reload_requested = asyncio.Event()

    async def run(self) -> None:
        """Reload the settings until cancelled."""
        while True:
            is_requested = await self._wait()
            self._reload(is_requested=is_requested)

    async def _wait(self) -> bool:
        """Wait for a request or the interval; return whether requested."""
        try:
            async with asyncio.timeout(POLL_SECONDS):
                await self.reload_requested.wait()
        except TimeoutError:
            return False
        self.reload_requested.clear()
        return True

    def _reload(self, *, is_requested: bool) -> None:
        reply = self._read()
        if not isinstance(reply, Success):
            fault = reply.failure()
            if is_requested or fault != self._fault:
                log_event(_logger, 'settings not usable, kept', error=fault)
            self._fault = fault
            return
        cfg = reply.unwrap()
        changed = _changed_fields(self.cfg, cfg)
        if is_requested or changed:
            log_event(_logger, 'settings read again', changed=changed)
        self._fault = ''
        self.cfg = cfg
        if changed:
            self._apply(cfg)


def _changed_fields(old: T, new: T) -> list[str]:
    names = old._fields
    return [name for name in names if getattr(old, name) != getattr(new, name)]

"""Settings that change while a gateway runs."""

import asyncio
import logging
from collections.abc import Callable
from typing import Final, Generic, NamedTuple, TypeVar

from returns.result import Result, Success

from crocusroad_node.logs import log_event

_logger = logging.getLogger(__name__)

T = TypeVar('T', bound=NamedTuple)

# The file may change without a signal; it is looked at this often, in
# seconds: well within the time that a configuration may take.
LOOK_SECONDS: Final = 5.0


class SettingsReloader(Generic[T]):
    """Reads the settings again, on a signal and now and then."""

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
        self.signalled = asyncio.Event()

    async def run(self) -> None:
        """Look for changes for ever."""
        while True:
            is_asked = await self._wait()
            self._look(is_asked=is_asked)

    async def _wait(self) -> bool:
        try:
            async with asyncio.timeout(LOOK_SECONDS):
                await self.signalled.wait()
        except TimeoutError:
            return False
        self.signalled.clear()
        return True

    def _look(self, *, is_asked: bool) -> None:
        reply = self._read()
        if not isinstance(reply, Success):
            fault = reply.failure()
            if is_asked or fault != self._fault:
                log_event(_logger, 'settings not usable, kept', error=fault)
            self._fault = fault
            return
        cfg = reply.unwrap()
        changed = _changed(self.cfg, cfg)
        if is_asked or changed:
            log_event(_logger, 'settings read again', changed=changed)
        self._fault = ''
        self.cfg = cfg
        if changed:
            self._apply(cfg)


def _changed(old: T, new: T) -> list[str]:
    names = old._fields
    return [one for one in names if getattr(old, one) != getattr(new, one)]

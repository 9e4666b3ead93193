"""Asyncio event loop whose clock jumps to the next timer instead of waiting."""

import asyncio
import selectors


class _JumpingSelector(selectors.DefaultSelector):
    def __init__(self, advance):
        super().__init__()
        self._advance = advance

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError('deadlock: the loop has no timer to wait for')
        self._advance(timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop that runs timers without waiting.

    `time()` starts at 1,000 seconds.
    """

    def __init__(self):
        self._now = 1000.0
        super().__init__(_JumpingSelector(self._advance_clock))

    def time(self):
        return self._now

    def _advance_clock(self, seconds):
        if seconds > 0:
            self._now += seconds


def run_virtual(main):
    """Run a coroutine in virtual time.

    Raise RuntimeError if it waits for something that no timer ends.
    """
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(main)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()

"""An asyncio loop whose clock jumps to the next timer instead of waiting."""

import asyncio
import selectors


class _JumpingSelector(selectors.DefaultSelector):
    def __init__(self, advance):
        super().__init__()
        self._advance = advance

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError('the loop waits for nothing: a hang')
        self._advance(timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs timers in order at once; `time()` starts at 1,000 seconds."""

    def __init__(self):
        self._now = 1000.0
        super().__init__(_JumpingSelector(self._forward))

    def time(self):
        return self._now

    def _forward(self, seconds):
        if seconds > 0:
            self._now += seconds


def run_virtual(main):
    """Run a coroutine to its end in virtual time; fail on a hang."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(main)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()

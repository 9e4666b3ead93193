"""A loopback proxy that delays, resets, cuts one way or silences."""

import asyncio
from contextlib import suppress

MODES = ('pass', 'delay', 'reset', 'one-way', 'silent-open', 'dark')
DELAY_SECONDS = 0.08


class Proxy:
    """Carries connections to one place on; `mode` says how badly.

    one-way loses what the place answers; silent-open loses what goes over the
    connections that are open when it is set, while new ones work; dark takes
    connections and answers nothing.
    """

    def __init__(self, home, target):
        self.home = home
        self.target = target
        self.mode = 'pass'
        self.open = set()
        self.silent = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.home)

    def close(self):
        self.server.close()
        for writer in tuple(self.open):
            writer.transport.abort()

    def set_mode(self, mode):
        self.mode = mode
        if mode == 'reset':
            for writer in tuple(self.open):
                writer.transport.abort()
        if mode == 'silent-open':
            self.silent |= self.open

    async def serve(self, reader, writer):
        if self.mode == 'reset':
            writer.transport.abort()
            return
        self.open.add(writer)
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            self.open.discard(writer)
            writer.transport.abort()
            return
        there = self.pump(reader, far_writer, writer, is_back=False)
        back = self.pump(far_reader, writer, writer, is_back=True)
        try:
            await asyncio.gather(there, back)
        except asyncio.CancelledError:
            return
        finally:
            self.open.discard(writer)
            self.silent.discard(writer)

    async def pump(self, reader, writer, near, *, is_back):
        with suppress(OSError):
            while data := await reader.read(65536):
                if self.mode == 'delay':
                    await asyncio.sleep(DELAY_SECONDS)
                is_lost = near in self.silent or self.mode == 'dark'
                if is_lost or (is_back and self.mode == 'one-way'):
                    continue
                writer.write(data)
                await writer.drain()
        with suppress(OSError, RuntimeError):
            writer.close()

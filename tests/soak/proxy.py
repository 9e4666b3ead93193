"""TCP proxy on loopback that injects network faults."""

import asyncio
from contextlib import suppress

MODES = ('pass', 'delay', 'reset', 'one-way', 'silent-open', 'dark')
DELAY_SECONDS = 0.08


class Proxy:
    """A proxy to one endpoint; `mode` selects the fault.

    pass forwards everything; delay forwards late; reset aborts connections;
    one-way drops the data that the target sends; silent-open drops all data
    on the connections that are open when it is set, but new ones work; dark
    accepts connections and drops all data.
    """

    def __init__(self, listen_endpoint, target):
        self.listen_endpoint = listen_endpoint
        self.target = target
        self.mode = 'pass'
        self.open_writers = set()
        self.silent_writers = set()

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, *self.listen_endpoint
        )

    def close(self):
        self.server.close()
        for writer in tuple(self.open_writers):
            writer.transport.abort()

    def set_mode(self, mode):
        """Set the fault mode and apply it to open connections."""
        self.mode = mode
        if mode == 'reset':
            for writer in tuple(self.open_writers):
                writer.transport.abort()
        if mode == 'silent-open':
            self.silent_writers |= self.open_writers

    async def serve(self, reader, writer):
        if self.mode == 'reset':
            writer.transport.abort()
            return
        self.open_writers.add(writer)
        try:
            target_reader, target_writer = await asyncio.open_connection(
                *self.target
            )
        except OSError:
            self.open_writers.discard(writer)
            writer.transport.abort()
            return
        requests = self.pump(reader, target_writer, writer, is_response=False)
        responses = self.pump(target_reader, writer, writer, is_response=True)
        try:
            await asyncio.gather(requests, responses)
        except asyncio.CancelledError:
            return
        finally:
            self.open_writers.discard(writer)
            self.silent_writers.discard(writer)

    async def pump(self, reader, writer, client_writer, *, is_response):
        """Forward one direction of a connection until it ends."""
        with suppress(OSError):
            while data := await reader.read(65536):
                if self.mode == 'delay':
                    await asyncio.sleep(DELAY_SECONDS)
                is_lost = (
                    client_writer in self.silent_writers or self.mode == 'dark'
                )
                if is_lost or (is_response and self.mode == 'one-way'):
                    continue
                writer.write(data)
                await writer.drain()
        with suppress(OSError, RuntimeError):
            writer.close()

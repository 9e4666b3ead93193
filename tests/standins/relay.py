"""TCP relay that can stop forwarding on its open connections.

Run: python -m tests.standins.relay LISTEN TARGET, each HOST:PORT. On SIGUSR1
the relay stops forwarding on the connections that are open, without closing
them; new connections work.
"""

import asyncio
import signal
import sys


class Relay:
    """A relay to one target, HOST:PORT."""

    def __init__(self, target):
        self.host, _, self.port = target.rpartition(':')
        self.tasks = set()

    async def serve(self, reader, writer):
        target = await asyncio.open_connection(self.host, int(self.port))
        for streams in ((reader, target[1]), (target[0], writer)):
            task = asyncio.create_task(self.pump(*streams))
            self.tasks.add(task)

    async def pump(self, reader, writer):
        """Forward one direction of a connection until it ends."""
        try:
            while data := await reader.read(1 << 16):
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        writer.close()

    def silence(self):
        """Stop forwarding on open connections and leave their sockets open."""
        for task in self.tasks:
            task.cancel()


async def main(listen, target):
    host, _, port = listen.rpartition(':')
    relay = Relay(target)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, relay.silence)
    server = await asyncio.start_server(relay.serve, host, int(port))
    await server.serve_forever()


if __name__ == '__main__':
    asyncio.run(main(*sys.argv[1:]))

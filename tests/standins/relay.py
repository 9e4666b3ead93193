"""A TCP relay that can lose track of its open connections.

Run: python -m tests.standins.relay LISTEN TARGET, each HOST:PORT. At SIGUSR1
the connections then open go silent for good; new ones work.
"""

import asyncio
import signal
import sys


class Relay:
    def __init__(self, target):
        self.host, _, self.port = target.rpartition(':')
        self.tasks = set()

    async def serve(self, reader, writer):
        onward = await asyncio.open_connection(self.host, int(self.port))
        for pair in ((reader, onward[1]), (onward[0], writer)):
            task = asyncio.create_task(self.pump(*pair))
            self.tasks.add(task)

    async def pump(self, reader, writer):
        try:
            while data := await reader.read(1 << 16):
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        writer.close()

    def silence(self):
        """Stop every pump; the sockets stay open."""
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

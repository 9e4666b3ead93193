"""HTTP server of an interface."""

import asyncio
from contextlib import AbstractContextManager, nullcontext

import uvicorn
from starlette.types import ASGIApp

KEEP_ALIVE_SECONDS = 75
SHUTDOWN_SECONDS = 3  # to flush responses, which are complete by then


class _Server(uvicorn.Server):
    def capture_signals(self) -> AbstractContextManager[None]:  # type: ignore[override]
        """Install no signal handlers, since the node handles signals."""
        return nullcontext()


async def serve_app(
    app: ASGIApp,
    listen: str,
    stop: asyncio.Event,
) -> None:
    """Serve `app` on `listen` (host:port) until `stop` is set.

    Then finish the requests in progress.
    """
    host, _, port = listen.rpartition(':')
    cfg = uvicorn.Config(
        app,
        host=host,
        port=int(port),
        log_config=None,
        access_log=False,
        lifespan='off',
        timeout_keep_alive=KEEP_ALIVE_SECONDS,
        timeout_graceful_shutdown=SHUTDOWN_SECONDS,
    )
    server = _Server(cfg)
    task = asyncio.create_task(server._serve())
    await stop.wait()
    server.should_exit = True
    await task

"""Entry point of a gateway on the platform."""

import asyncio
import gc
import logging
import sys

import uvloop
from returns.result import Failure, Result, Success

from crocusroad_node.gateway import StoreHttpClient
from crocusroad_node.gateway_root import (
    GatewaySettings,
    PlatformAdapters,
    run_gateway,
)
from crocusroad_node.logs import configure_logs, log_event
from crocusroad_node.nonblocking_handler import NonBlockingHandler
from crocusroad_platform._metadata_store import MetadataStore
from crocusroad_platform._node_settings import (
    NodeSettings,
    SettingsError,
    read_settings,
    settings_path,
)
from crocusroad_platform._protocol import PLATFORM_PROTOCOL

_logger = logging.getLogger(__name__)

EXIT_BAD_SETTINGS = 78  # EX_CONFIG of sysexits.h
METRICS_PORT = (
    9464  # as in deploy/system.toml; the usual port of a metrics page
)


def main() -> None:
    """Run a gateway until SIGTERM."""
    # Later collections do not visit what the imports have created.
    gc.freeze()
    gc.enable()
    try:
        cfg = read_settings(settings_path())
    except SettingsError as exc:
        sys.stderr.write(f'{exc}\n')
        sys.exit(EXIT_BAD_SETTINGS)
    log_handler = NonBlockingHandler(sys.stdout.fileno())
    configure_logs('json', 'info', cfg.instance, log_handler)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_run(cfg))
    log_event(_logger, 'exit')


async def _run(cfg: NodeSettings) -> None:
    store = MetadataStore(StoreHttpClient(cfg.store))
    adapters = PlatformAdapters(PLATFORM_PROTOCOL, store, _reload_settings)
    await run_gateway(_gateway_settings(cfg), adapters)


def _reload_settings() -> Result[GatewaySettings, str]:
    try:
        return Success(_gateway_settings(read_settings(settings_path())))
    except SettingsError as exc:
        return Failure(str(exc))


def _gateway_settings(cfg: NodeSettings) -> GatewaySettings:
    return GatewaySettings(
        instance=cfg.instance,
        zone=cfg.zone,
        callers_listen=cfg.callers_listen,
        ready_listen=cfg.ready_listen,
        relay_listen=(cfg.ip, cfg.port_range[0]),
        metrics_listen=(cfg.ip, METRICS_PORT),
        link_mbps=cfg.link_mbps,
        cores=cfg.cores,
        grace=cfg.grace_seconds,
        repeats=cfg.retry_bounds,
    )

"""Runs a gateway on the users' machines."""

import asyncio
import sys

import uvloop

from crocusroad_node.gateway import StoreHttp
from crocusroad_node.gateway_root import GatewaySettings, run_gateway
from crocusroad_node.logs import configure_logs
from crocusroad_platform._dialect import DIALECT
from crocusroad_platform._fleet_store import FleetStore
from crocusroad_platform._node_settings import (
    NodeSettings,
    SettingsError,
    read_settings,
    settings_path,
)

EXIT_BAD_SETTINGS = 78  # EX_CONFIG of sysexits.h


def main() -> None:
    """Run a gateway until SIGTERM."""
    try:
        cfg = read_settings(settings_path())
    except SettingsError as exc:
        sys.exit(f'{exc}')
    configure_logs('json', 'info', cfg.instance, sys.stdout)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_run(cfg))


async def _run(cfg: NodeSettings) -> None:
    settings = GatewaySettings(
        instance=cfg.instance,
        zone=cfg.zone,
        callers_listen=cfg.callers_listen,
        relay_listen=(cfg.ip, cfg.free_ports[0]),
        ready_listen=cfg.ready_listen,
        link_mbps=cfg.link_mbps,
        grace=cfg.grace,
        repeats=cfg.repeats,
    )
    await run_gateway(settings, DIALECT, FleetStore(StoreHttp(cfg.store)))

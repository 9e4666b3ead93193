"""The command `crocusroad`: runs a node."""

import asyncio
from pathlib import Path
from typing import Annotated

import typer
import uvloop
from returns.result import Success

from crocusroad_node.logs import configure_logs
from crocusroad_node.root import run_node
from crocusroad_node.settings import Settings, load_settings

EXIT_BAD_SETTINGS = 78  # EX_CONFIG of sysexits.h

app = typer.Typer(
    help='The node of the crocusroad query tier.',
    no_args_is_help=True,
)
SettingsFile = Annotated[Path, typer.Argument(help='The settings file (INI).')]


@app.command()
def run(file: SettingsFile) -> None:
    """Run a node until SIGTERM.

    Example: crocusroad run node.ini
    """
    cfg = _load(file)
    configure_logs(cfg.logs_format, cfg.logs_level, cfg.instance_name)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run_node(cfg))


@app.command('check-settings')
def check_settings(file: SettingsFile) -> None:
    """Check a settings file and list every fault.

    Example: crocusroad check-settings node.ini
    """
    _load(file)
    typer.echo(f'{file}: no faults')


def _load(file: Path) -> Settings:
    loaded = load_settings(file)
    if isinstance(loaded, Success):
        cfg: Settings = loaded.unwrap()
        return cfg
    for fault in loaded.failure():
        typer.echo(str(fault), err=True)
    raise typer.Exit(EXIT_BAD_SETTINGS)

"""The command line of the bench: python -m bench --help."""

import asyncio
import os
import tempfile
import time
from pathlib import Path
from typing import Annotated, Any

import typer
from rich.console import Console

from bench._load import run_load, schedule
from bench._profile import PROFILES
from bench._report import figures, print_table, write_json, write_plot
from bench._rig import Rig

BASE_PORT = int(os.environ.get('CROCUSROAD_BASE_PORT', '31000'))
SETTLE_SECONDS = 1.0

POLICIES = {
    'adaptive': {},
    'no-hedge': {'hedge': 'off'},
    'random': {'pick': 'random', 'hedge': 'off'},
    'round-robin': {'pick': 'round-robin', 'hedge': 'off'},
    'fixed-timeout': {'pick': 'random', 'hedge': 'fixed'},
}

app = typer.Typer(help='Load a small cluster and report what callers saw.')


@app.command()
def run(
    profile: Annotated[str, typer.Option(help='erdenet or dalmacija')] = (
        'erdenet'
    ),
    policies: Annotated[
        str, typer.Option(help=f'of {", ".join(POLICIES)}')
    ] = ','.join(POLICIES),
    faults: Annotated[
        str, typer.Option(help='modes of the upstream stand-in')
    ] = 'up,straggle',
    loads: Annotated[
        str, typer.Option(help='multiples of the upstreams capacity')
    ] = '0.5',
    seconds: Annotated[float, typer.Option(help='of load a case')] = 10.0,
    seed: int = 1,
    only: Annotated[str, typer.Option(help='send this kind alone')] = '',
    out: Path = Path('out/bench'),
) -> None:
    """Run every case: policy by fault by load."""
    results: dict[str, Any] = {}
    for policy in policies.split(','):
        with tempfile.TemporaryDirectory() as folder:
            rig = Rig(folder, BASE_PORT, PROFILES[profile])
            try:
                rig.start(POLICIES[policy])
                for fault in faults.split(','):
                    for load in loads.split(','):
                        case = f'{policy}, {fault}, {load}x'
                        results[case] = _case(
                            rig, fault, float(load), seconds, seed, only
                        )
            finally:
                rig.close()
    console = Console(width=140)
    print_table(results, console)
    write_json(results, out / f'{profile}.json')
    write_plot(results, out / f'{profile}.png')
    console.print(f'written: {out}/{profile}.json and .png')


def _case(
    rig: Rig, fault: str, load: float, seconds: float, seed: int, only: str
) -> dict[str, Any]:
    rig.fault(fault)
    _warm(rig, load, seed)
    before = rig.node_counts('crocusroad_attempts_total')
    arrivals = schedule(rig.profile.fronts, load, seconds, seed, only)
    nodes = [pair[0] for pair in rig.nodes]
    tallies = asyncio.run(run_load(nodes, arrivals))
    time.sleep(SETTLE_SECONDS)
    after = rig.node_counts('crocusroad_attempts_total')
    return figures(tallies, _extra(before, after), seconds)


def _warm(rig: Rig, load: float, seed: int) -> None:
    warm = schedule(rig.profile.fronts, min(load, 0.5), 3, seed + 1)
    asyncio.run(run_load([pair[0] for pair in rig.nodes], warm))


def _extra(before: dict[str, float], after: dict[str, float]) -> float:
    grown = {
        name: number - before.get(name, 0) for name, number in after.items()
    }
    first = sum(n for name, n in grown.items() if '"first"' in name)
    return sum(grown.values()) / first - 1 if first else 0.0


if __name__ == '__main__':
    app()

"""Tables and JSON on standard output."""

from collections.abc import AsyncIterator, Iterable
from enum import StrEnum

import typer
from rich.console import Console
from rich.table import Table

from crocusroad_wire import (
    FrontChange,
    FrontResource,
    NodeStatus,
    encode_json_text,
)


class Layout(StrEnum):
    """How a command prints what it found."""

    table = 'table'
    json = 'json'


def show_fronts(
    found: FrontResource | list[FrontResource],
    layout: Layout,
) -> None:
    """Print one front or several."""
    if layout is Layout.json:
        typer.echo(encode_json_text(found))
        return
    fronts = found if isinstance(found, list) else [found]
    rows = (_front_row(front) for front in fronts)
    _print(('front', 'revision', 'shards', 'phase', 'in force'), rows)


def show_node(node: NodeStatus, layout: Layout) -> None:
    """Print the state of a node."""
    if layout is Layout.json:
        typer.echo(encode_json_text(node))
        return
    typer.echo(
        f'{node["instance"]} in zone {node["zone"]}: {node["state"]}, '
        + f'configuration at revision {node["position"]}',
    )
    rows = (
        (peer['name'], peer['zone'], peer['state'], str(peer['position']))
        for peer in node['peers']
    )
    _print(('peer', 'zone', 'state', 'position'), rows)


async def show_change(
    changes: AsyncIterator[FrontChange],
    count: int,
    layout: Layout,
) -> None:
    """Print changes as they come; end after `count` of them, 0: never."""
    seen = 0
    async for change in changes:
        typer.echo(_change_line(change, layout))
        seen += 1
        if seen == count:
            return


def _change_line(change: FrontChange, layout: Layout) -> str:
    if layout is Layout.json:
        return encode_json_text(change)
    return f'{change["revision"]:>8} {change["change"]:<8} {change["name"]}'


def _front_row(front: FrontResource) -> tuple[str, ...]:
    maps = front['spec']['shard_maps']
    newest = max(maps, key=lambda one: one['version'], default=None)
    shards = 0 if newest is None else len(newest['shards'])
    status = front.get('status')
    row = (front['name'], str(front['revision']), str(shards))
    if status is None:
        return (*row, '', '')
    spread = f'{status["instances_in_force"]} of {status["instances_seen"]}'
    return (*row, status['phase'], spread)


def _print(columns: Iterable[str], rows: Iterable[tuple[str, ...]]) -> None:
    table = Table(*columns, box=None, pad_edge=False)
    for row in rows:
        table.add_row(*row)
    Console().print(table)

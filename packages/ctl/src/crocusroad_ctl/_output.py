"""Output of tables and JSON to standard output."""

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


class OutputFormat(StrEnum):
    """Format in which a command prints its result."""

    table = 'table'
    json = 'json'


def show_fronts(
    result: FrontResource | list[FrontResource],
    output_format: OutputFormat,
) -> None:
    """Print one front or several."""
    if output_format is OutputFormat.json:
        typer.echo(encode_json_text(result))
        return
    fronts = result if isinstance(result, list) else [result]
    rows = (_front_row(front) for front in fronts)
    _print_table(('front', 'revision', 'shards', 'phase', 'in force'), rows)


def show_node(node: NodeStatus, output_format: OutputFormat) -> None:
    """Print the state of a node."""
    if output_format is OutputFormat.json:
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
    _print_table(('peer', 'zone', 'state', 'position'), rows)


async def show_changes(
    changes: AsyncIterator[FrontChange],
    count: int,
    output_format: OutputFormat,
) -> None:
    """Print changes as they arrive.

    Returns after `count` changes; 0 means that it never does.
    """
    shown = 0
    async for change in changes:
        typer.echo(_change_line(change, output_format))
        shown += 1
        if shown == count:
            return


def _change_line(change: FrontChange, output_format: OutputFormat) -> str:
    if output_format is OutputFormat.json:
        return encode_json_text(change)
    return f'{change["revision"]:>8} {change["change"]:<8} {change["name"]}'


def _front_row(front: FrontResource) -> tuple[str, ...]:
    maps = front['spec']['shard_maps']
    newest = max(maps, key=lambda shard_map: shard_map['version'], default=None)
    shards = 0 if newest is None else len(newest['shards'])
    status = front.get('status')
    row = (front['name'], str(front['revision']), str(shards))
    if status is None:
        return (*row, '', '')
    in_force = f'{status["instances_in_force"]} of {status["instances_seen"]}'
    return (*row, status['phase'], in_force)


def _print_table(
    columns: Iterable[str], rows: Iterable[tuple[str, ...]]
) -> None:
    table = Table(*columns, box=None, pad_edge=False)
    for row in rows:
        table.add_row(*row)
    Console().print(table)

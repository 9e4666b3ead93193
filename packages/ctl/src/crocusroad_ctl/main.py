"""Command-line tool `crocusctl`, which declares and watches fronts."""

import asyncio
from pathlib import Path
from typing import Annotated

import typer

from crocusroad_ctl._client import Call, send_call
from crocusroad_ctl._errors import body_or_exit, decode_or_exit, exit_with_error
from crocusroad_ctl._manifest import read_manifest
from crocusroad_ctl._output import (
    OutputFormat,
    show_changes,
    show_fronts,
    show_node,
)
from crocusroad_ctl._spec_check import exit_on_faults
from crocusroad_ctl._watch import watch_changes
from crocusroad_wire import FrontResource, NodeStatus, WriteReceipt

FRONTS_PATH = '/v1/fronts'

app = typer.Typer(
    help='Declare and watch the fronts of crocusroad.',
    no_args_is_help=True,
    rich_markup_mode=None,
)

Name = Annotated[str, typer.Argument(help='Name of the front.')]
File = Annotated[
    Path,
    typer.Argument(
        help='JSON file: a spec, or the output of `get --output json`.'
    ),
]
Server = Annotated[
    str,
    typer.Option(
        envvar='CROCUSROAD_SERVER',
        help="URL of a node's operators' interface.",
    ),
]
Token = Annotated[
    str,
    typer.Option(
        envvar='CROCUSROAD_TOKEN',
        help='Operator token; prefer the environment variable.',
        show_default=False,
    ),
]
Output = Annotated[
    OutputFormat, typer.Option('--output', '-o', help='Output format.')
]


@app.command()
def apply(
    name: Name,
    file: File,
    server: Server,
    token: Token = '',
    revision: Annotated[
        int | None,
        typer.Option(
            help='Revision the change is based on; default: the one in file; '
            + '0 creates the front.',
        ),
    ] = None,
    output: Output = OutputFormat.table,
) -> None:
    """Create a front, or change it if its revision is the expected one.

    Example: crocusctl get call-desk -o json > front.json, edit it, then
    crocusctl apply call-desk front.json
    """
    manifest = read_manifest(file)
    if revision is None:
        revision = manifest.revision
    call = Call(server, token, 'PUT', f'{FRONTS_PATH}/{name}', manifest.spec)
    _send_write(call._replace(revision=revision), output)


@app.command()
def delete(
    name: Name,
    revision: Annotated[
        int,
        typer.Option(help='Revision to delete, as `get` shows it.'),
    ],
    server: Server,
    token: Token = '',
    output: Output = OutputFormat.table,
) -> None:
    """Delete a front if its revision is the expected one.

    Example: crocusctl delete call-desk --revision 12
    """
    call = Call(server, token, 'DELETE', f'{FRONTS_PATH}/{name}')
    _send_write(call._replace(revision=revision), output)


@app.command()
def get(
    server: Server,
    name: Annotated[
        str,
        typer.Argument(help='Name of the front; default: all fronts.'),
    ] = '',
    token: Token = '',
    output: Output = OutputFormat.table,
) -> None:
    """Show a front, or all fronts.

    Example: crocusctl get call-desk -o json
    """
    path = f'{FRONTS_PATH}/{name}' if name else FRONTS_PATH
    raw = body_or_exit(asyncio.run(send_call(Call(server, token, 'GET', path))))
    if name:
        show_fronts(decode_or_exit(FrontResource, raw), output)
    else:
        show_fronts(decode_or_exit(list[FrontResource], raw), output)


@app.command()
def watch(
    server: Server,
    token: Token = '',
    after: Annotated[
        int,
        typer.Option(help='Revision to start after; -1: start now.'),
    ] = -1,
    count: Annotated[
        int,
        typer.Option(help='Number of changes to print; 0: unlimited.'),
    ] = 0,
    output: Output = OutputFormat.table,
) -> None:
    """Print each change of a front when it takes effect.

    An interrupted stream is resumed after the last change received.

    Example: crocusctl watch --after 12 -o json
    """
    changes = watch_changes(Call(server, token, 'GET', '/v1/watch'), after)
    try:
        asyncio.run(show_changes(changes, count, output))
    except KeyboardInterrupt:
        raise typer.Exit from None


@app.command()
def check(file: File) -> None:
    """Check a spec without a server and print every fault.

    Example: crocusctl check front.json
    """
    exit_on_faults(read_manifest(file).spec)
    typer.echo(f'{file}: no faults')


@app.command()
def status(
    server: Server,
    token: Token = '',
    output: Output = OutputFormat.table,
) -> None:
    """Show the state of a node, its peers and its fronts.

    Example: crocusctl status
    """
    call = Call(server, token, 'GET', '/v1/status')
    raw = body_or_exit(asyncio.run(send_call(call)))
    show_node(decode_or_exit(NodeStatus, raw), output)


def _send_write(call: Call, output: OutputFormat) -> None:
    if call.revision < 0:
        exit_with_error('--revision: give 0 or a revision that `get` shows')
    raw = body_or_exit(asyncio.run(send_call(call)))
    receipt = decode_or_exit(WriteReceipt, raw)
    if output is OutputFormat.json:
        typer.echo(raw.decode())
    else:
        typer.echo(
            f'{receipt["name"]} accepted, revision {receipt["revision"]}'
        )

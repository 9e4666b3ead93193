"""The command `crocusctl`: declares and watches fronts."""

import asyncio
from pathlib import Path
from typing import Annotated

import typer

from crocusroad_ctl._check import check_file
from crocusroad_ctl._client import Call, exchange
from crocusroad_ctl._manifest import read_manifest
from crocusroad_ctl._output import Layout, show_change, show_fronts, show_node
from crocusroad_ctl._report import answered, decoded, fail
from crocusroad_ctl._watch import watch_changes
from crocusroad_wire import FrontResource, NodeStatus, WriteReceipt

FRONTS = '/v1/fronts'

app = typer.Typer(
    help='Declare and watch the fronts of crocusroad.',
    no_args_is_help=True,
    rich_markup_mode=None,
)

Name = Annotated[str, typer.Argument(help='Name of the front.')]
File = Annotated[
    Path,
    typer.Argument(help='JSON: a spec, or what `get --output json` printed.'),
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
        help='Operator token; better given by the environment.',
        show_default=False,
    ),
]
Output = Annotated[Layout, typer.Option('--output', '-o', help='Layout.')]


@app.command()
def apply(
    name: Name,
    file: File,
    server: Server,
    token: Token = '',
    revision: Annotated[
        int | None,
        typer.Option(
            help="Revision the change builds on; the file's if not given; "
            + '0 creates the front.',
        ),
    ] = None,
    output: Output = Layout.table,
) -> None:
    """Create a front, or change it against the revision seen.

    Example: crocusctl get call-desk -o json > front.json, edit it, then
    crocusctl apply call-desk front.json
    """
    manifest = read_manifest(file)
    if revision is None:
        revision = manifest.revision
    call = Call(server, token, 'PUT', f'{FRONTS}/{name}', manifest.spec)
    _show_receipt(call._replace(revision=revision), output)


@app.command()
def delete(
    name: Name,
    revision: Annotated[
        int,
        typer.Option(help='Revision to delete, as `get` shows it.'),
    ],
    server: Server,
    token: Token = '',
    output: Output = Layout.table,
) -> None:
    """Delete a front at the revision seen.

    Example: crocusctl delete call-desk --revision 12
    """
    call = Call(server, token, 'DELETE', f'{FRONTS}/{name}')
    _show_receipt(call._replace(revision=revision), output)


@app.command()
def get(
    server: Server,
    name: Annotated[
        str,
        typer.Argument(help='Name of the front; every front if not given.'),
    ] = '',
    token: Token = '',
    output: Output = Layout.table,
) -> None:
    """Show a front, or every front.

    Example: crocusctl get call-desk -o json
    """
    path = f'{FRONTS}/{name}' if name else FRONTS
    raw = answered(asyncio.run(exchange(Call(server, token, 'GET', path))))
    if name:
        show_fronts(decoded(FrontResource, raw), output)
    else:
        show_fronts(decoded(list[FrontResource], raw), output)


@app.command()
def watch(
    server: Server,
    token: Token = '',
    after: Annotated[
        int,
        typer.Option(help='Revision to resume from; -1: from now on.'),
    ] = -1,
    count: Annotated[
        int,
        typer.Option(help='End after so many changes; 0: never.'),
    ] = 0,
    output: Output = Layout.table,
) -> None:
    """Print each change of a front as it comes into force.

    A cut stream is resumed from the last change seen.

    Example: crocusctl watch --after 12 -o json
    """
    changes = watch_changes(Call(server, token, 'GET', '/v1/watch'), after)
    try:
        asyncio.run(show_change(changes, count, output))
    except KeyboardInterrupt:
        raise typer.Exit from None


@app.command()
def check(file: File) -> None:
    """Check a spec without a server and list every fault.

    Example: crocusctl check front.json
    """
    check_file(read_manifest(file).spec)
    typer.echo(f'{file}: no faults')


@app.command()
def status(
    server: Server,
    token: Token = '',
    output: Output = Layout.table,
) -> None:
    """Show the state of a node, its peers and its fronts.

    Example: crocusctl status
    """
    call = Call(server, token, 'GET', '/v1/status')
    raw = answered(asyncio.run(exchange(call)))
    show_node(decoded(NodeStatus, raw), output)


def _show_receipt(call: Call, output: Layout) -> None:
    if call.revision < 0:
        fail('--revision: give 0 or a revision that `get` shows')
    raw = answered(asyncio.run(exchange(call)))
    receipt = decoded(WriteReceipt, raw)
    if output is Layout.json:
        typer.echo(raw.decode())
    else:
        typer.echo(
            f'{receipt["name"]} accepted, revision {receipt["revision"]}'
        )

"""The command `crocusctl`: declares and watches fronts."""

import asyncio
import os
import sys
from pathlib import Path
from typing import Annotated

import typer
from aiosonic import HTTPClient

EXIT_REFUSED = 1
HTTP_BAD = 400

app = typer.Typer(
    help='Declare and watch the fronts of crocusroad.',
    no_args_is_help=True,
)
Server = Annotated[
    str,
    typer.Option(envvar='CROCUSROAD_SERVER', help='URL of a node.'),
]
Revision = Annotated[
    int,
    typer.Option(help='Revision the change builds on; 0 creates.'),
]


@app.command()
def apply(
    name: str,
    file: Path,
    server: Server,
    revision: Revision = 0,
) -> None:
    """Apply a front from a JSON file."""
    _call('PUT', f'{server}/v1/fronts/{name}', file.read_bytes(), revision)


@app.command()
def get(name: str, server: Server) -> None:
    """Show a front."""
    _call('GET', f'{server}/v1/fronts/{name}', b'', 0)


def _call(method: str, url: str, body: bytes, revision: int) -> None:
    status, text = asyncio.run(_exchange(method, url, body, revision))
    if status >= HTTP_BAD:
        sys.stderr.write(f'{text}\n')
        raise typer.Exit(EXIT_REFUSED)
    typer.echo(text)


async def _exchange(
    method: str,
    url: str,
    body: bytes,
    revision: int,
) -> tuple[int, str]:
    token = os.environ.get('CROCUSROAD_TOKEN', '')
    response = await HTTPClient().request(
        url,
        method=method,
        headers={
            'authorization': f'Bearer {token}',
            'content-type': 'application/json',
            'if-match': str(revision),
        },
        data=body,
    )
    return response.status_code, await response.text()

"""Checking of a spec without a server."""

import typer

from crocusroad_core.fronts import check_spec
from crocusroad_ctl._exits import EXITS
from crocusroad_ctl._report import fail
from crocusroad_wire import ProblemKind, decode_json


def check_file(raw: bytes) -> None:
    """End the command with every fault of a spec, if it has any."""
    code = EXITS[ProblemKind.invalid_spec]
    faults = check_spec(decode_json(object, raw))
    for fault in faults:
        typer.echo(f'  {fault["path"]}: {fault["message"]}', err=True)
    if faults:
        fail(f'{len(faults)} faults; mend each', code)

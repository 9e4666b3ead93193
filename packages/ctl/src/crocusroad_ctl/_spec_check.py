"""Check of a spec without a server."""

import typer

from crocusroad_core.fronts import check_spec
from crocusroad_ctl._errors import exit_with_error
from crocusroad_ctl._exit_codes import EXIT_CODE_BY_KIND
from crocusroad_wire import ProblemKind, decode_json


def exit_on_faults(raw: bytes) -> None:
    """Print every fault of a spec, and exit if there is any."""
    code = EXIT_CODE_BY_KIND[ProblemKind.invalid_spec]
    faults = check_spec(decode_json(object, raw))
    for fault in faults:
        typer.echo(f'  {fault["path"]}: {fault["message"]}', err=True)
    if faults:
        exit_with_error(f'{len(faults)} faults; correct each', code)

"""Error messages of a command and the exit code that each leads to."""

from typing import NoReturn, TypeVar

import typer
from returns.result import Result, Success

from crocusroad_ctl._client import Reply
from crocusroad_ctl._exit_codes import EXIT_REFUSED, EXIT_UNREACHABLE, exit_code
from crocusroad_wire import DecodeError, Problem, decode_json

MessageT = TypeVar('MessageT')

FIRST_ERROR_STATUS = 400


def exit_with_error(text: str, code: int = EXIT_REFUSED) -> NoReturn:
    """Print an error and exit with a code."""
    typer.echo(f'error: {text}', err=True)
    raise typer.Exit(code)


def body_or_exit(result: Result[Reply, str]) -> bytes:
    """Return the body of a successful reply, or exit with an error."""
    if not isinstance(result, Success):
        text = f'no answer from the server ({result.failure()})'
        remedy = 'check --server; a write may have taken effect: use get'
        exit_with_error(f'{text}; {remedy}', EXIT_UNREACHABLE)
    reply: Reply = result.unwrap()
    if reply.status >= FIRST_ERROR_STATUS:
        exit_with_problem(reply.body)
    return reply.body


def exit_with_problem(body: bytes) -> NoReturn:
    """Print a problem document and exit with the code of its kind."""
    try:
        problem = decode_json(Problem, body)
    except DecodeError:
        exit_with_error(f'not a problem document: {body[:200]!r}')
    text = f'{problem["kind"]}: {problem["detail"]}'
    if 'revision' in problem:
        text = f'{text} (current revision {problem["revision"]})'
    for fault in problem.get('faults', []):
        typer.echo(f'  {fault["path"]}: {fault["message"]}', err=True)
    exit_with_error(f'{text}; {problem["remedy"]}', exit_code(problem['kind']))


def decode_or_exit(message_type: type[MessageT], raw: bytes) -> MessageT:
    """Decode the message of a reply, or exit with an error."""
    try:
        return decode_json(message_type, raw)
    except DecodeError as exc:
        exit_with_error(f'unexpected message from the server: {exc}')

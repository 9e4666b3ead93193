"""Errors of a command: what is printed and how it ends."""

from typing import NoReturn, TypeVar

import typer
from returns.result import Result, Success

from crocusroad_ctl._client import Reply
from crocusroad_ctl._exits import EXIT_REFUSED, EXIT_UNREACHABLE, exit_code
from crocusroad_wire import DecodeError, Problem, decode_json

T = TypeVar('T')

HTTP_BAD = 400


def fail(text: str, code: int = EXIT_REFUSED) -> NoReturn:
    """Print an error and end the command."""
    typer.echo(f'error: {text}', err=True)
    raise typer.Exit(code)


def answered(outcome: Result[Reply, str]) -> bytes:
    """Return the body of a good reply; end the command on any other."""
    if not isinstance(outcome, Success):
        text = f'no answer from the server ({outcome.failure()})'
        remedy = 'check --server; a write may have taken effect: use get'
        fail(f'{text}; {remedy}', EXIT_UNREACHABLE)
    reply: Reply = outcome.unwrap()
    if reply.status >= HTTP_BAD:
        refuse(reply.body)
    return reply.body


def refuse(body: bytes) -> NoReturn:
    """Print a problem document and end the command by its kind."""
    try:
        problem = decode_json(Problem, body)
    except DecodeError:
        fail(f'not a problem document: {body[:200]!r}')
    text = f'{problem["kind"]}: {problem["detail"]}'
    if 'revision' in problem:
        text = f'{text} (current revision {problem["revision"]})'
    for fault in problem.get('faults', []):
        typer.echo(f'  {fault["path"]}: {fault["message"]}', err=True)
    fail(f'{text}; {problem["remedy"]}', exit_code(problem['kind']))


def decoded(kind: type[T], raw: bytes) -> T:
    """Return the message of a reply; end the command if it is another."""
    try:
        return decode_json(kind, raw)
    except DecodeError as exc:
        fail(f'the server answered something else: {exc}')

"""Checks of values read from JSON; each yields every fault by its path."""

import re
from collections.abc import Callable, Iterator, Mapping
from typing import Any, NamedTuple

from crocusroad_wire import Fault

Check = Callable[[Any, str], Iterator[Fault]]


class Field(NamedTuple):
    """A field of an object."""

    check: Check
    is_required: bool = True


def text(pattern: str, remedy: str) -> Check:
    """Return a check that passes text which matches a pattern."""
    compiled = re.compile(pattern)

    def check(raw: Any, path: str) -> Iterator[Fault]:
        if not (isinstance(raw, str) and compiled.fullmatch(raw)):
            yield _fault(path, raw, remedy)

    return check


def whole(low: int, high: int) -> Check:
    """Return a check that passes a whole number within bounds."""

    def check(raw: Any, path: str) -> Iterator[Fault]:
        is_whole = isinstance(raw, int) and not isinstance(raw, bool)
        if not (is_whole and low <= raw <= high):
            yield _fault(path, raw, f'give a whole number {low} to {high}')

    return check


def number(low: float, high: float) -> Check:
    """Return a check that passes a number within bounds."""

    def check(raw: Any, path: str) -> Iterator[Fault]:
        is_number = isinstance(raw, int | float) and not isinstance(raw, bool)
        if not (is_number and low <= raw <= high):
            yield _fault(path, raw, f'give a number from {low} to {high}')

    return check


def boolean(raw: Any, path: str) -> Iterator[Fault]:
    """Pass true and false."""
    if not isinstance(raw, bool):
        yield _fault(path, raw, 'give true or false')


def items_of(
    check_item: Check,
    least: int,
    *unique: str,
) -> Check:
    """Return a check of a list whose items differ in the fields `unique`."""

    def check(raw: Any, path: str) -> Iterator[Fault]:
        if not isinstance(raw, list) or len(raw) < least:
            yield _fault(path, raw, f'give a list of at least {least}')
            return
        for place, item in enumerate(raw):
            yield from check_item(item, f'{path}[{place}]')
        for field in unique:
            yield from _repeated(raw, path, field)

    return check


def object_of(fields: Mapping[str, Field]) -> Check:
    """Return a check of an object with just these fields."""

    def check(raw: Any, path: str) -> Iterator[Fault]:
        if not isinstance(raw, dict):
            yield _fault(path, raw, 'give an object')
            return
        for name in sorted(raw.keys() - fields.keys()):
            yield _fault(f'{path}.{name}', raw[name], 'remove this field')
        for name, field in fields.items():
            where = f'{path}.{name}'.removeprefix('.')
            if name in raw:
                yield from field.check(raw[name], where)
            elif field.is_required:
                yield Fault(path=where, message='missing: add this field')

    return check


def _repeated(raw: list[Any], path: str, field: str) -> Iterator[Fault]:
    seen = set()
    for place, item in enumerate(raw):
        entry = repr(item.get(field)) if isinstance(item, dict) else ''
        if entry in seen:
            where = f'{path}[{place}].{field}'
            yield Fault(path=where, message=f'{entry} stands twice: rename it')
        seen.add(entry)


def _fault(path: str, raw: Any, remedy: str) -> Fault:
    seen = repr(raw)[:40]  # characters
    return Fault(path=path.removeprefix('.'), message=f'{seen}: {remedy}')

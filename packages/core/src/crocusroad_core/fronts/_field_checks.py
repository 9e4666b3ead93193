"""Checks of JSON values; each check yields all faults with their paths."""

import re
from collections.abc import Callable, Iterator, Mapping
from typing import Any, NamedTuple

from crocusroad_wire import Fault

Check = Callable[[Any, str], Iterator[Fault]]


class Field(NamedTuple):
    """The check of an object's field and whether the field is required."""

    check: Check
    is_required: bool = True


def string(pattern: str, remedy: str) -> Check:
    """Return a check for a string that matches a pattern in full."""
    compiled = re.compile(pattern)

    def check(raw: Any, path: str) -> Iterator[Fault]:
        if not (isinstance(raw, str) and compiled.fullmatch(raw)):
            yield _fault(path, raw, remedy)

    return check


def integer(low: int, high: int) -> Check:
    """Return a check for an integer within inclusive bounds."""

    def check(raw: Any, path: str) -> Iterator[Fault]:
        is_integer = isinstance(raw, int) and not isinstance(raw, bool)
        if not (is_integer and low <= raw <= high):
            yield _fault(path, raw, f'give a whole number from {low} to {high}')

    return check


def number(low: float, high: float) -> Check:
    """Return a check for a number within inclusive bounds."""

    def check(raw: Any, path: str) -> Iterator[Fault]:
        is_number = isinstance(raw, int | float) and not isinstance(raw, bool)
        if not (is_number and low <= raw <= high):
            yield _fault(path, raw, f'give a number from {low} to {high}')

    return check


def boolean(raw: Any, path: str) -> Iterator[Fault]:
    """Check for a boolean."""
    if not isinstance(raw, bool):
        yield _fault(path, raw, 'give true or false')


def list_of(
    check_item: Check,
    min_items: int,
    *unique: str,
) -> Check:
    """Return a check for a list whose items differ in each `unique` field."""

    def check(raw: Any, path: str) -> Iterator[Fault]:
        if not isinstance(raw, list) or len(raw) < min_items:
            yield _fault(
                path, raw, f'give a list of at least {min_items} items'
            )
            return
        for index, item in enumerate(raw):
            yield from check_item(item, f'{path}[{index}]')
        for field in unique:
            yield from _find_duplicates(raw, path, field)

    return check


def object_of(fields: Mapping[str, Field]) -> Check:
    """Return a check for an object that has no other fields than these."""

    def check(raw: Any, path: str) -> Iterator[Fault]:
        if not isinstance(raw, dict):
            yield _fault(path, raw, 'give an object')
            return
        for name in sorted(raw.keys() - fields.keys()):
            yield _fault(f'{path}.{name}', raw[name], 'remove this field')
        for name, field in fields.items():
            field_path = f'{path}.{name}'.removeprefix('.')
            if name in raw:
                yield from field.check(raw[name], field_path)
            elif field.is_required:
                yield Fault(path=field_path, message='missing: add this field')

    return check


def _find_duplicates(raw: list[Any], path: str, field: str) -> Iterator[Fault]:
    seen = set()
    for index, item in enumerate(raw):
        value = repr(item.get(field)) if isinstance(item, dict) else ''
        if value in seen:
            field_path = f'{path}[{index}].{field}'
            yield Fault(
                path=field_path, message=f'{value} is a duplicate: rename it'
            )
        seen.add(value)


def _fault(path: str, raw: Any, remedy: str) -> Fault:
    shown = repr(raw)[:40]  # characters
    return Fault(path=path.removeprefix('.'), message=f'{shown}: {remedy}')

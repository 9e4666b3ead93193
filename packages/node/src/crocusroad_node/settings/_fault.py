"""Fault in a settings file."""

from typing import NamedTuple


class SettingFault(NamedTuple):
    """Fault in a settings file, and how to correct it."""

    path: str
    section: str
    key: str
    value: str
    remedy: str

    def __str__(self) -> str:
        """Return the fault as a single line."""
        return '{}: [{}] {} = {!r}: {}'.format(*self)

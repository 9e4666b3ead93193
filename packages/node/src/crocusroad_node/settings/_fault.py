"""A fault of a settings file."""

from typing import NamedTuple


class SettingFault(NamedTuple):
    """One fault of a settings file, with what to do about it."""

    path: str
    section: str
    key: str
    value: str
    remedy: str

    def __str__(self) -> str:
        """Return the fault as one line."""
        return '{}: [{}] {} = {!r}: {}'.format(*self)

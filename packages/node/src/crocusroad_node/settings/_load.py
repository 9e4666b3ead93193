"""Reading and checking of a settings file."""

from collections.abc import Iterator
from configparser import ConfigParser, Error
from pathlib import Path

from returns.result import Failure, Result, Success

from crocusroad_node.settings._fault import SettingFault
from crocusroad_node.settings._schema import SCHEMA, Rule
from crocusroad_node.settings._settings import Settings

Faults = tuple[SettingFault, ...]

HIDDEN = '(hidden)'


def load_settings(path: Path) -> Result[Settings, Faults]:
    """Return the settings that a file holds, or every fault it has."""
    parser = ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text(encoding='utf-8'), str(path))
    except (OSError, UnicodeDecodeError) as exc:
        return Failure((_unreadable(path, exc, 'name a readable file'),))
    except Error as exc:
        return Failure((_unreadable(path, exc, 'mend the INI syntax'),))
    return _check(path, parser)


def _unreadable(path: Path, exc: Exception, remedy: str) -> SettingFault:
    return SettingFault(str(path), '', '', str(exc), remedy)


def _check(path: Path, parser: ConfigParser) -> Result[Settings, Faults]:
    faults = list(_unknown(path, parser))
    accepted: dict[str, str | float] = {}
    for section, rules in SCHEMA.items():
        for key, rule in rules.items():
            raw = parser.get(section, key, fallback=rule.default)
            parsed = None if raw is None else rule.check(raw)
            if parsed is None:
                faults.append(_bad(path, section, key, raw, rule))
            else:
                accepted[f'{section}_{key}'] = parsed
    if faults:
        return Failure(tuple(faults))
    return Success(Settings(**accepted))  # type: ignore[arg-type]


def _bad(
    path: Path,
    section: str,
    key: str,
    raw: str | None,
    rule: Rule,
) -> SettingFault:
    remedy = rule.remedy
    if raw is None:
        remedy = f'missing; {remedy}'
    shown = HIDDEN if raw and rule.is_secret else raw or ''
    return SettingFault(str(path), section, key, shown, remedy)


def _unknown(path: Path, parser: ConfigParser) -> Iterator[SettingFault]:
    where = str(path)
    for section in parser.sections():
        known = SCHEMA.get(section)
        if known is None:
            yield SettingFault(where, section, '', '', 'remove the section')
            continue
        for key, raw in parser.items(section):
            if key not in known:
                yield SettingFault(where, section, key, raw, 'remove the key')

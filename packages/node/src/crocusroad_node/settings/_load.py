"""Loading and validation of a settings file."""

from collections.abc import Iterator
from configparser import ConfigParser, Error
from pathlib import Path

from returns.result import Failure, Result, Success

from crocusroad_node.settings._fault import SettingFault
from crocusroad_node.settings._schema import SCHEMA, KeyRule
from crocusroad_node.settings._settings import Settings

Faults = tuple[SettingFault, ...]

HIDDEN_VALUE = '(hidden)'


def load_settings(path: Path) -> Result[Settings, Faults]:
    """Return the settings in a file, or all of its faults."""
    parser = ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text(encoding='utf-8'), str(path))
    except (OSError, UnicodeDecodeError) as exc:
        return Failure((_unreadable_file(path, exc, 'name a readable file'),))
    except Error as exc:
        return Failure((_unreadable_file(path, exc, 'correct the INI syntax'),))
    return _validate(path, parser)


def _unreadable_file(path: Path, exc: Exception, remedy: str) -> SettingFault:
    return SettingFault(str(path), '', '', str(exc), remedy)


def _validate(path: Path, parser: ConfigParser) -> Result[Settings, Faults]:
    faults = list(_unknown_keys(path, parser))
    accepted: dict[str, str | float] = {}
    for section, rules in SCHEMA.items():
        for key, rule in rules.items():
            text = parser.get(section, key, fallback=rule.default)
            parsed = None if text is None else rule.check(text)
            if parsed is None:
                faults.append(_invalid_value(path, section, key, text, rule))
            else:
                accepted[f'{section}_{key}'] = parsed
    if faults:
        return Failure(tuple(faults))
    return Success(Settings(**accepted))  # type: ignore[arg-type]


def _invalid_value(
    path: Path,
    section: str,
    key: str,
    text: str | None,
    rule: KeyRule,
) -> SettingFault:
    remedy = rule.remedy
    if text is None:
        remedy = f'missing; {remedy}'
    displayed = HIDDEN_VALUE if text and rule.is_secret else text or ''
    return SettingFault(str(path), section, key, displayed, remedy)


def _unknown_keys(path: Path, parser: ConfigParser) -> Iterator[SettingFault]:
    file = str(path)
    for section in parser.sections():
        known = SCHEMA.get(section)
        if known is None:
            yield SettingFault(file, section, '', '', 'remove the section')
            continue
        for key, text in parser.items(section):
            if key not in known:
                yield SettingFault(file, section, key, text, 'remove the key')

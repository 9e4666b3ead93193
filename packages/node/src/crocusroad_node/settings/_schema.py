"""Allowed values of each key of the settings file."""

import re
from collections.abc import Callable, Mapping
from typing import Final, NamedTuple

Parsed = str | float | None
Check = Callable[[str], Parsed]

_NAME = re.compile(r'^[a-z0-9][a-z0-9.-]{0,62}$')
_ADDRESS = re.compile(r'^[0-9.]+:\d{1,5}$')
_URL = re.compile(r'^https?://[0-9a-zA-Z.:-]+$')
_KEYS = re.compile(r'^([0-9a-f]{64}(,\s*[0-9a-f]{64}){0,3})?$')
_DIGEST = re.compile(r'^[0-9a-f]{64}$')
_LEVELS = frozenset(('debug', 'info', 'warning', 'error'))
_PICKS = frozenset(('adaptive', 'random', 'round-robin'))
_HEDGES = frozenset(('adaptive', 'fixed', 'off'))
_FORMATS = frozenset(('json', 'text'))


class KeyRule(NamedTuple):
    """Check of the value of a key, with its remedy and default."""

    check: Check
    remedy: str
    default: str | None = None  # None: the key is required
    is_secret: bool = False  # the value is hidden in faults


SectionRules = Mapping[str, KeyRule]


def matching(pattern: re.Pattern[str]) -> Check:
    """Return a check that accepts text matching `pattern`."""
    return lambda text: text if pattern.match(text) else None


def one_of(choices: frozenset[str]) -> Check:
    """Return a check that accepts the given choices."""
    return lambda text: text if text in choices else None


def number(low: float, high: float) -> Check:
    """Return a check that accepts a number from `low` to `high`."""

    def check(text: str) -> float | None:
        try:
            parsed = float(text)
        except ValueError:
            return None
        return parsed if low <= parsed <= high else None

    return check


_NAME_REMEDY = 'give 1 to 63 characters out of a-z, 0-9, dot and hyphen'
_LISTEN_REMEDY = 'give IP:port, for instance 127.0.0.1:8080'
_URL_REMEDY = 'give http://IP:port'

SCHEMA: Final[Mapping[str, SectionRules]] = {
    'instance': {
        'name': KeyRule(matching(_NAME), _NAME_REMEDY),
        'zone': KeyRule(matching(_NAME), _NAME_REMEDY),
        'cluster': KeyRule(matching(_NAME), _NAME_REMEDY),
    },
    'callers': {'listen': KeyRule(matching(_ADDRESS), _LISTEN_REMEDY)},
    'operators': {
        'listen': KeyRule(matching(_ADDRESS), _LISTEN_REMEDY),
        'token_sha256': KeyRule(
            matching(_DIGEST),
            'give the SHA-256 of the operator token as 64 hex digits',
        ),
    },
    'peers': {
        'listen': KeyRule(matching(_ADDRESS), _LISTEN_REMEDY),
        'keys': KeyRule(
            matching(_KEYS),
            'give 1 to 4 keys of 64 hex digits, separated by commas; '
            'the first one signs; empty: the node has no peers',
            default='',
            is_secret=True,
        ),
    },
    'platform': {
        'kv': KeyRule(matching(_URL), _URL_REMEDY),
        'instances': KeyRule(matching(_URL), _URL_REMEDY),
    },
    'limits': {
        'extra_load': KeyRule(number(0, 1), 'give a share from 0 to 1', '0.05'),
        'balancer_lag_seconds': KeyRule(
            number(0, 300),
            'give seconds from 0 to 300',
            '1',
        ),
        'drain_seconds': KeyRule(
            number(1, 3600),
            'give seconds from 1 to 3600',
            '30',
        ),
    },
    'routing': {
        'pick': KeyRule(
            one_of(_PICKS),
            'give adaptive, random or round-robin',
            'adaptive',
        ),
        'hedge': KeyRule(
            one_of(_HEDGES),
            'give adaptive, fixed or off',
            'adaptive',
        ),
    },
    'logs': {
        'format': KeyRule(one_of(_FORMATS), 'give json or text', 'json'),
        'level': KeyRule(
            one_of(_LEVELS),
            'give debug, info, warning or error',
            'info',
        ),
    },
}

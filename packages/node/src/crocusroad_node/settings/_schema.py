"""What each key of the settings file may hold."""

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


class Rule(NamedTuple):
    """The check of one key, its remedy and its default."""

    check: Check
    remedy: str
    default: str | None = None  # None: the key has to be given
    is_secret: bool = False  # a fault doesn't show the value


Rules = Mapping[str, Rule]


def matching(pattern: re.Pattern[str]) -> Check:
    """Return a check that passes text which matches the pattern."""
    return lambda raw: raw if pattern.match(raw) else None


def one_of(words: frozenset[str]) -> Check:
    """Return a check that passes one of the words."""
    return lambda raw: raw if raw in words else None


def number(low: float, high: float) -> Check:
    """Return a check that passes a number within the bounds."""

    def check(raw: str) -> float | None:
        try:
            parsed = float(raw)
        except ValueError:
            return None
        return parsed if low <= parsed <= high else None

    return check


_NAMED = 'give 1 to 63 of a-z, 0-9, dot and hyphen'
_LISTEN = 'give IP:port, for instance 127.0.0.1:8080'
_LOCATION = 'give http://IP:port'

SCHEMA: Final[Mapping[str, Rules]] = {
    'instance': {
        'name': Rule(matching(_NAME), _NAMED),
        'zone': Rule(matching(_NAME), _NAMED),
        'cluster': Rule(matching(_NAME), _NAMED),
    },
    'callers': {'listen': Rule(matching(_ADDRESS), _LISTEN)},
    'operators': {
        'listen': Rule(matching(_ADDRESS), _LISTEN),
        'token_sha256': Rule(
            matching(_DIGEST),
            'give the SHA-256 of the operator token as 64 hex digits',
        ),
    },
    'peers': {
        'listen': Rule(matching(_ADDRESS), _LISTEN),
        'keys': Rule(
            matching(_KEYS),
            'give 1 to 4 keys of 64 hex digits, split by commas; '
            'the first one signs; empty: the node has no peers',
            default='',
            is_secret=True,
        ),
    },
    'platform': {
        'kv': Rule(matching(_URL), _LOCATION),
        'instances': Rule(matching(_URL), _LOCATION),
    },
    'limits': {
        'extra_load': Rule(number(0, 1), 'give a share from 0 to 1', '0.05'),
        'balancer_lag_seconds': Rule(
            number(0, 300),
            'give seconds from 0 to 300',
            '1',
        ),
        'drain_seconds': Rule(
            number(1, 3600),
            'give seconds from 1 to 3600',
            '30',
        ),
    },
    'routing': {
        'pick': Rule(
            one_of(_PICKS),
            'give adaptive, random or round-robin',
            'adaptive',
        ),
        'hedge': Rule(
            one_of(_HEDGES),
            'give adaptive, fixed or off',
            'adaptive',
        ),
    },
    'logs': {
        'format': Rule(one_of(_FORMATS), 'give json or text', 'json'),
        'level': Rule(
            one_of(_LEVELS),
            'give debug, info, warning or error',
            'info',
        ),
    },
}

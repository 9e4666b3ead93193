"""Authentication by bearer tokens."""

import hmac
from hashlib import sha256

from starlette.requests import Request

_BEARER_PREFIX = 'Bearer '


def bearer_digest(req: Request) -> str:
    """Return the SHA-256 hex digest of the request's bearer token.

    The result is an empty string if the request has no token.
    """
    header = req.headers.get('authorization', '')
    if not header.startswith(_BEARER_PREFIX):
        return ''
    token = header.removeprefix(_BEARER_PREFIX)
    return sha256(token.encode()).hexdigest()


def is_same_digest(left: str, right: str) -> bool:
    """Return whether two digests are equal, comparing in constant time."""
    return hmac.compare_digest(left.encode(), right.encode())

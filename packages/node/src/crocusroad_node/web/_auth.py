"""Bearer tokens."""

import hmac
from hashlib import sha256

from starlette.requests import Request

_SCHEME = 'Bearer '


def bearer_digest(req: Request) -> str:
    """Return the SHA-256 of the request's token; empty if it has none."""
    header = req.headers.get('authorization', '')
    if not header.startswith(_SCHEME):
        return ''
    token = header.removeprefix(_SCHEME)
    return sha256(token.encode()).hexdigest()


def is_same_digest(left: str, right: str) -> bool:
    """Compare two digests in constant time."""
    return hmac.compare_digest(left.encode(), right.encode())

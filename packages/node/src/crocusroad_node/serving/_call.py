"""One search of a caller."""

from typing import NamedTuple

from crocusroad_wire import SearchRequest


class SearchCall(NamedTuple):
    """One search of a caller."""

    request_id: str
    front: str
    token_sha256: str
    request: SearchRequest

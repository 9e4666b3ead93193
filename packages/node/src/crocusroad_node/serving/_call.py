"""The call of a search."""

from typing import NamedTuple

from crocusroad_wire import SearchRequest


class SearchCall(NamedTuple):
    """A caller's request to search a front."""

    request_id: str
    front: str
    token_sha256: str
    request: SearchRequest

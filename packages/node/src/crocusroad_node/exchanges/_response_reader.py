"""One response on its way in."""

from collections.abc import Callable

import httptools

from crocusroad_node.exchanges._response import Response

STATUS_INFORMATIONAL = 200  # statuses below say that the answer comes later
_FRAMING = frozenset((b'content-length', b'transfer-encoding'))


class ResponseReader:
    """Reads the response to one request, past what belongs to others.

    A response that bears another request's id is skipped: it came late or
    was sent twice.
    """

    def __init__(
        self,
        id_header: bytes,
        request_id: bytes,
        *,
        is_head: bool = False,
    ) -> None:
        self.response: Response | None = None
        self.has_response_started = False  # bytes of any response came
        self.skipped = 0
        self.keeps_alive = False
        self.has_more = False  # bytes came after the whole response
        self.keep_alive: bytes = b''  # the header of that name
        self._id_header = id_header
        self._request_id = request_id
        self._is_head = is_head
        self._reset()
        self._parser = httptools.HttpResponseParser(self)
        self.feed: Callable[[bytes], None] = self._parser.feed_data

    def on_message_begin(self) -> None:
        """Take the start of a response."""
        self.has_response_started = True
        if self.response is not None:
            self.has_more = True

    def on_header(self, name: bytes, text: bytes) -> None:
        """Take a header."""
        self._headers.append((name.lower(), text))

    def on_headers_complete(self) -> None:
        """Take the end of the headers."""
        self._is_open_ended = not any(
            name in _FRAMING for name, _ in self._headers
        )
        self._has_headers = True
        if self._is_head:
            self._complete()

    def on_body(self, body: bytes) -> None:
        """Take a piece of the body."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Take the end of a response."""
        self._complete()

    def finish(self) -> None:
        """Take the orderly end of the connection."""
        if self.response is None and self._has_headers and self._is_open_ended:
            self._complete()
            self.keeps_alive = False

    def _complete(self) -> None:
        if self.response is not None:
            self.has_more = True
            return
        status = self._parser.get_status_code()
        if status >= STATUS_INFORMATIONAL:
            self._accept(status)
        self._reset()

    def _accept(self, status: int) -> None:
        headers = tuple(self._headers)
        fields = dict(reversed(headers))
        response = Response(status, headers, fields, b''.join(self._body))
        echoed = response.header(self._id_header)
        if echoed is not None and echoed != self._request_id:
            self.skipped += 1
            return
        self.response = response
        self.keeps_alive = self._parser.should_keep_alive()
        self.keep_alive = response.header(b'keep-alive') or b''

    def _reset(self) -> None:
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._has_headers = False
        self._is_open_ended = False

"""Incremental parser of the response to one request."""

from collections.abc import Callable

import httptools

from crocusroad_node.exchanges._response import Response

FIRST_FINAL_STATUS = 200  # lower statuses announce a later response
_FRAMING_HEADERS = frozenset((b'content-length', b'transfer-encoding'))


class ResponseReader:
    """Parses the response to one request from the bytes of a connection.

    A response that carries the id of another request is skipped: it arrived
    late or was sent twice.
    """

    def __init__(
        self,
        id_header: bytes,
        request_id: bytes,
        *,
        is_head: bool = False,
    ) -> None:
        self.response: Response | None = None
        self.has_response_started = False  # bytes of any response arrived
        self.skipped_count = 0
        self.keeps_alive = False
        self.has_extra_data = False  # bytes followed the complete response
        self.keep_alive_header: bytes = b''  # value of Keep-Alive
        self._id_header = id_header
        self._request_id = request_id
        self._is_head = is_head
        self._reset()
        self._parser = httptools.HttpResponseParser(self)
        self.feed: Callable[[bytes], None] = self._parser.feed_data

    def on_message_begin(self) -> None:
        """Handle the start of a response."""
        self.has_response_started = True
        if self.response is not None:
            self.has_extra_data = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Handle the end of the headers."""
        self._ends_with_connection = not any(
            name in _FRAMING_HEADERS for name, _ in self._headers
        )
        self._has_headers = True
        if self._is_head:
            self._complete()

    def on_body(self, body: bytes) -> None:
        """Collect a piece of the body."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Handle the end of a response."""
        self._complete()

    def finish(self) -> None:
        """Complete a response that ends with the connection's stream."""
        if (
            self.response is None
            and self._has_headers
            and self._ends_with_connection
        ):
            self._complete()
            self.keeps_alive = False

    def _complete(self) -> None:
        if self.response is not None:
            self.has_extra_data = True
            return
        status = self._parser.get_status_code()
        if status >= FIRST_FINAL_STATUS:
            self._accept(status)
        self._reset()

    def _accept(self, status: int) -> None:
        headers = tuple(self._headers)
        fields = dict(reversed(headers))
        response = Response(status, headers, fields, b''.join(self._body))
        echoed_id = response.header(self._id_header)
        if echoed_id is not None and echoed_id != self._request_id:
            self.skipped_count += 1
            return
        self.response = response
        self.keeps_alive = self._parser.should_keep_alive()
        self.keep_alive_header = response.header(b'keep-alive') or b''

    def _reset(self) -> None:
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._has_headers = False
        self._ends_with_connection = False

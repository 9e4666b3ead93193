"""Incremental parser of the response to one request."""

from typing import Final

import httptools

from crocusroad_node.exchanges._buffered_bytes import BufferedBytes
from crocusroad_node.exchanges._response import Response

FIRST_FINAL_STATUS = 200  # lower statuses announce a later response
# A server may send bytes without end. The largest valid response is a listing
# of all replicas that one instance relays to another.
MAX_HEAD_BYTES: Final = 65_536
MAX_RESPONSE_BYTES: Final = 8 * 1024 * 1024
# Bytes beside the bodies, such as heads and the lines before chunks, may be so
# many more than those of the bodies. Megabytes of short chunks or of
# informational responses would take seconds to parse.
MAX_EXCESS_FRAMING_BYTES: Final = 2 * MAX_HEAD_BYTES
# Shared by all readers, as the memory of the process is.
_buffered = BufferedBytes()
_FRAMING_HEADERS = frozenset((b'content-length', b'transfer-encoding'))


class ResponseTooLargeError(Exception):
    """Raised when a server sends more bytes than a response may have."""


class ResponseReader:
    """Parses the response to one request from the bytes of a connection.

    A response that carries the id of another request is skipped: it arrived
    late or was sent twice. Skipped and informational responses count towards
    the limit on the bytes of a response. A reader that is no longer used has to
    be released.
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
        self._received_bytes = 0
        self._body_bytes = 0  # of all responses received
        self._head_start = 0  # bytes received before the current head
        self._body = bytearray()
        self._reset()
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        Raises:
            httptools.HttpParserError: The bytes are not a response.
            ResponseTooLargeError: The head or the response exceeds its limit,
                or all responses together exceed theirs.
        """
        self._received_bytes += len(data)
        self._parser.feed_data(data)
        if self.response is None:
            self._check_size()

    def on_message_begin(self) -> None:
        """Handle the start of a response."""
        self.has_response_started = True
        self._head_start = self._received_bytes
        if self.response is not None:
            self.has_extra_data = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; trailers are ignored."""
        if self._has_headers:
            return
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
        self._body += body
        self._body_bytes += len(body)
        _buffered.total += len(body)

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

    def release(self) -> None:
        """Discard the body of a response that is not complete."""
        _buffered.total -= len(self._body)
        self._body = bytearray()

    def _check_size(self) -> None:
        excess = self._excess()
        if excess:
            raise ResponseTooLargeError(excess)

    def _excess(self) -> str:
        """Return which limit is exceeded; empty: none."""
        if not _buffered.allows(len(self._body)):
            return 'all responses together exceed the memory for them'
        if self._received_bytes > MAX_RESPONSE_BYTES:
            return f'response exceeds {MAX_RESPONSE_BYTES} bytes'
        head_bytes = self._received_bytes - self._head_start
        if not self._has_headers and head_bytes > MAX_HEAD_BYTES:
            return f'response head exceeds {MAX_HEAD_BYTES} bytes'
        framing_bytes = self._received_bytes - self._body_bytes
        if framing_bytes - self._body_bytes > MAX_EXCESS_FRAMING_BYTES:
            return f'response has {framing_bytes} bytes beside its body'
        return ''

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
        response = Response(status, headers, fields, bytes(self._body))
        echoed_id = response.header(self._id_header)
        if echoed_id is not None and echoed_id != self._request_id:
            self.skipped_count += 1
            return
        self.response = response
        self.keeps_alive = self._parser.should_keep_alive()
        self.keep_alive_header = response.header(b'keep-alive') or b''

    def _reset(self) -> None:
        self.release()
        self._headers: list[tuple[bytes, bytes]] = []
        self._has_headers = False
        self._ends_with_connection = False

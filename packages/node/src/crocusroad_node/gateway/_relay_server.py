"""Serving of the store's data to other instances."""

import asyncio
import zlib
from collections.abc import Callable
from time import monotonic
from typing import Final, NamedTuple
from urllib.parse import parse_qs, urlsplit

import msgspec

from crocusroad_core.kv import Entry
from crocusroad_core.sources import StoreCopy
from crocusroad_node.gateway._crash_reports import TimedReport
from crocusroad_node.gateway._reply import (
    Reply,
    SendReply,
    error_reply,
    noop_stop,
)
from crocusroad_node.gateway._request import CallerRequest
from crocusroad_node.kv import Batch

RELAY_PATH: Final = '/copy'
# A copy that the store has not confirmed for this long is not served. It
# covers a watch without changes, the delay after it, and some slack.
MAX_COPY_AGE_SECONDS: Final = 2.5
FULL_LISTING: Final = -1  # as `after` revision: return every entry
MAX_WAIT_SECONDS: Final = 5.0  # for a change, on behalf of one request
# How long an encoded listing is sent again. When a whole zone starts, its
# reader would otherwise compress the same listing for each instance.
LISTING_REUSE_SECONDS: Final = 0.2


class RelayBatch(msgspec.Struct):
    """A batch of entries as encoded between instances."""

    revision: int
    age: float  # seconds since the store itself confirmed the data
    entries: list[Entry]
    crashes: list[TimedReport] = []  # reports of the last seconds


class _PendingRequest(NamedTuple):
    after: int
    send_reply: SendReply
    timer: asyncio.TimerHandle


class _EncodedListing(NamedTuple):
    revision: int
    encoded_at: float
    reply: Reply


class RelayServer:
    """Answers other instances from copies of the store's data."""

    def __init__(
        self, recent_crashes: Callable[[float], list[TimedReport]]
    ) -> None:
        self._recent_crashes = recent_crashes  # takes `now`
        self._loop = asyncio.get_running_loop()
        self._copies: dict[str, StoreCopy] = {}  # by prefix
        self._pending: dict[str, list[_PendingRequest]] = {}
        self._listings: dict[str, _EncodedListing] = {}  # by prefix

    def apply(self, prefix: str, batch: Batch, *, is_listing: bool) -> None:
        """Apply a listing or a batch of changes to the copy of a prefix."""
        copy = self._copies.setdefault(prefix, StoreCopy())
        checked_at = monotonic() - batch.age
        if is_listing:
            copy.replace(batch.entries, batch.revision, checked_at)
        else:
            copy.apply(batch.entries, batch.revision, checked_at)
        if batch.entries:
            self._answer_pending(prefix)

    def invalidate(self, prefix: str) -> None:
        """Refuse requests for a prefix until the store answers again.

        Pending requests are refused at once, so that their senders ask
        another source before they miss a change.
        """
        copy = self._copies.get(prefix)
        if copy is not None:
            copy.checked_at = float('-inf')
        self._answer_pending(prefix)

    def handle(
        self,
        req: CallerRequest,
        send_reply: SendReply,
    ) -> Callable[[], None]:
        """Answer another instance, at once or after the next change."""
        url = urlsplit(req.target.decode('latin-1'))
        query = parse_qs(url.query)
        try:
            prefix = query['prefix'][0]
            after = int(query['after'][0])
            wait = min(MAX_WAIT_SECONDS, float(query['wait'][0]))
        except (KeyError, ValueError):
            send_reply(
                error_reply(
                    400,
                    'prefix, after and wait are required',
                ),
            )
            return noop_stop
        if url.path != RELAY_PATH:
            send_reply(error_reply(404, 'not found'))
            return noop_stop
        return self._answer(prefix, after, wait, send_reply)

    def _answer(
        self,
        prefix: str,
        after: int,
        wait: float,
        send_reply: SendReply,
    ) -> Callable[[], None]:
        reply = self._build_reply(prefix, after, is_wait_over=wait <= 0)
        if reply is not None:
            send_reply(reply)
            return noop_stop
        pending = self._pending.setdefault(prefix, [])

        def expire() -> None:
            pending.remove(request)
            send_reply(
                self._build_reply(prefix, after, is_wait_over=True)
                or error_reply(503, ''),
            )

        request = _PendingRequest(
            after,
            send_reply,
            self._loop.call_later(wait, expire),
        )
        pending.append(request)

        def stop() -> None:
            request.timer.cancel()
            if request in pending:
                pending.remove(request)

        return stop

    def _answer_pending(self, prefix: str) -> None:
        pending = self._pending.get(prefix, [])
        for request in tuple(pending):
            reply = self._build_reply(prefix, request.after, is_wait_over=False)
            if reply is not None:
                request.timer.cancel()
                pending.remove(request)
                request.send_reply(reply)

    def _build_reply(
        self,
        prefix: str,
        after: int,
        *,
        is_wait_over: bool,
    ) -> Reply | None:
        """Return the reply; None if the request waits for a change."""
        copy = self._copies.get(prefix)
        now = monotonic()
        if copy is None or now - copy.checked_at > MAX_COPY_AGE_SECONDS:
            return error_reply(503, 'the copy of the store is out of date')
        if after == FULL_LISTING:
            return self._encode_listing(prefix, copy, now)
        changes = copy.changes_since(after)
        if changes is None:
            return error_reply(410, 'the changes have been compacted')
        if changes or is_wait_over:
            age = now - copy.checked_at
            return _encode(copy, changes, age, self._recent_crashes(now))
        return None

    def _encode_listing(
        self, prefix: str, copy: StoreCopy, now: float
    ) -> Reply:
        """Return every entry; the age is that at the end of the reuse."""
        listing = self._listings.get(prefix)
        if (
            listing is None
            or listing.revision != copy.revision
            or now - listing.encoded_at > LISTING_REUSE_SECONDS
        ):
            age = now - copy.checked_at + LISTING_REUSE_SECONDS
            crashes = self._recent_crashes(now)
            reply = _encode(copy, copy.live_entries(), age, crashes)
            listing = _EncodedListing(copy.revision, now, reply)
            self._listings[prefix] = listing
        return listing.reply


def _encode(
    copy: StoreCopy,
    entries: list[Entry],
    age: float,
    crashes: list[TimedReport],
) -> Reply:
    batch = RelayBatch(copy.revision, age, entries, crashes)
    # Uncompressed, a configuration of hundreds of services that is sent to a
    # whole zone at once occupies a slow link for most of a second.
    return Reply(200, (), zlib.compress(msgspec.json.encode(batch), 1))

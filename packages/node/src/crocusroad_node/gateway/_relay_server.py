"""What this instance knows of the store, told to the others."""

import asyncio
import zlib
from collections.abc import Callable
from time import monotonic
from typing import Final, NamedTuple
from urllib.parse import parse_qs, urlsplit

import msgspec

from crocusroad_core.kv import Entry
from crocusroad_core.sources import StoreCopy
from crocusroad_node.gateway._reply import (
    Reply,
    SendReply,
    error_reply,
    noop_stop,
)
from crocusroad_node.gateway._request import CallerRequest
from crocusroad_node.kv import Batch

RELAY_PATH: Final = '/copy'
# An own copy that the store has not borne out for this long, in seconds, is
# not told on: a watch that found nothing, the rest after it, and its slack.
FRESH_SECONDS: Final = 2.5
LIST: Final = -1  # in the place of a revision: tell everything
MAX_WAIT: Final = 5.0  # seconds that an instance may wait for a change


class RelayBatch(msgspec.Struct):
    """A batch as it goes from one instance to another."""

    revision: int
    age: float  # seconds since the store itself said so
    entries: list[Entry]


class _Waiting(NamedTuple):
    after: int
    answer: SendReply
    timer: asyncio.TimerHandle


class RelayServer:
    """Answers other instances from copies of what the store holds."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._copies: dict[str, StoreCopy] = {}  # by prefix
        self._waiting: dict[str, list[_Waiting]] = {}

    def take(self, prefix: str, batch: Batch, *, is_listing: bool) -> None:
        """Take what was learned of the store."""
        copy = self._copies.setdefault(prefix, StoreCopy())
        checked_at = monotonic() - batch.age
        if is_listing:
            copy.replace(batch.entries, batch.revision, checked_at)
        else:
            copy.apply(batch.entries, batch.revision, checked_at)
        if batch.entries:
            self._wake(prefix)

    def doubt(self, prefix: str) -> None:
        """Tell nothing more until the store has answered again.

        Those who wait are told at once, so that they ask elsewhere before
        they miss a change.
        """
        copy = self._copies.get(prefix)
        if copy is not None:
            copy.checked_at = float('-inf')
        self._wake(prefix)

    def begin(
        self, req: CallerRequest, answer: SendReply
    ) -> Callable[[], None]:
        """Answer another instance, at once or after a change."""
        parts = urlsplit(req.target.decode('latin-1'))
        query = parse_qs(parts.query)
        try:
            prefix = query['prefix'][0]
            after = int(query['after'][0])
            wait = min(MAX_WAIT, float(query['wait'][0]))
        except (KeyError, ValueError):
            answer(error_reply(400, 'wanted: prefix, after and wait'))
            return noop_stop
        if parts.path != RELAY_PATH:
            answer(error_reply(404, 'no such page'))
            return noop_stop
        return self._tell(prefix, after, wait, answer)

    def _tell(
        self,
        prefix: str,
        after: int,
        wait: float,
        answer: SendReply,
    ) -> Callable[[], None]:
        reply = self._reply(prefix, after, is_due=wait <= 0)
        if reply is not None:
            answer(reply)
            return noop_stop
        waiting = self._waiting.setdefault(prefix, [])

        def expire() -> None:
            waiting.remove(entry)
            answer(
                self._reply(prefix, after, is_due=True) or error_reply(503, '')
            )

        entry = _Waiting(after, answer, self._loop.call_later(wait, expire))
        waiting.append(entry)

        def stop() -> None:
            entry.timer.cancel()
            if entry in waiting:
                waiting.remove(entry)

        return stop

    def _wake(self, prefix: str) -> None:
        waiting = self._waiting.get(prefix, [])
        for entry in tuple(waiting):
            reply = self._reply(prefix, entry.after, is_due=False)
            if reply is not None:
                entry.timer.cancel()
                waiting.remove(entry)
                entry.answer(reply)

    def _reply(self, prefix: str, after: int, *, is_due: bool) -> Reply | None:
        """Return the answer; None if there is no change to tell yet."""
        copy = self._copies.get(prefix)
        now = monotonic()
        if copy is None or now - copy.checked_at > FRESH_SECONDS:
            return error_reply(503, 'the store was not reached of late')
        if after == LIST:
            return _encode(copy, copy.live_entries(), now)
        changes = copy.changes_since(after)
        if changes is None:
            return error_reply(410, 'changes that old are forgotten')
        if changes or is_due:
            return _encode(copy, changes, now)
        return None


def _encode(copy: StoreCopy, entries: list[Entry], now: float) -> Reply:
    age = now - copy.checked_at
    batch = RelayBatch(copy.revision, age, entries)
    # A configuration of hundreds of services, told to a whole zone at once,
    # would hold a narrow link for the better part of a second.
    return Reply(200, (), zlib.compress(msgspec.json.encode(batch), 1))

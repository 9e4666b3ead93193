"""Authenticated requests between nodes."""

import asyncio
import logging
import time
from collections.abc import Awaitable, Callable, Mapping
from itertools import count
from typing import Final, NamedTuple

import pynng
from returns.result import Success

from crocusroad_core.members import FrameId, ReplayGuard
from crocusroad_node.logs import log_event
from crocusroad_node.peers._connections import PeerConnections
from crocusroad_node.peers._fault import FrameFault
from crocusroad_node.peers._frames import (
    MAX_FRAME_BYTES,
    decode_frame,
    encode_frame,
)
from crocusroad_node.peers._keys import PeerKeys
from crocusroad_node.peers._metrics import (
    PEER_BYTES,
    PEER_EXCHANGES,
    PEER_FRAMES_DROPPED,
)
from crocusroad_node.peers._transfers import receive, send
from crocusroad_wire import PEER_VERSION, PeerFrame

_logger = logging.getLogger(__name__)

# An outgoing connection of any process may have the port for a while.
LISTEN_RETRY_SECONDS: Final = 1.0
MAX_CONCURRENT_REQUESTS: Final = 8  # requests of peers served at once
MAX_FRAME_AGE_SECONDS: Final = 30.0  # includes clock differences between nodes
MAX_FRAME_IDS: Final = 65536  # kept by the replay guard
ANSWER_KIND: Final = 'answer'

Handler = Callable[[bytes, str], Awaitable[bytes | None]]


class Identity(NamedTuple):
    """Cluster, name and incarnation that a node puts in its frames."""

    cluster: str
    name: str
    incarnation: int


class PeerChannel:
    """Client and server for authenticated requests between nodes."""

    def __init__(self, identity: Identity, keys: PeerKeys) -> None:
        self._identity = identity
        self._keys = keys
        self._serials = count(1)
        self._replay_guard = ReplayGuard(MAX_FRAME_AGE_SECONDS, MAX_FRAME_IDS)
        self._connections = PeerConnections(MAX_FRAME_BYTES)

    async def request(
        self,
        address: str,
        kind: str,
        body: bytes,
        timeout: float,
    ) -> bytes | None:
        """Send a request to a peer and return the body of its answer.

        Returns None if no valid answer arrives within `timeout` seconds.
        """
        serial = next(self._serials)
        raw = self._encode(kind, body, serial, 0)
        answer = await self._connections.exchange(address, raw, timeout)
        decoded = None
        if answer is not None:
            decoded = self._decode(answer)
            if decoded is not None and decoded.reply_to != serial:
                _count_dropped(FrameFault.unmatched_answer)
                decoded = None
        outcome = 'silent' if decoded is None else 'answered'
        PEER_EXCHANGES.labels(kind, outcome).inc()
        return None if decoded is None else decoded.body

    async def serve(self, listen: str, handlers: Mapping[str, Handler]) -> None:
        """Answer requests of peers on the address `listen` until cancelled."""
        with pynng.Rep0(recv_max_size=MAX_FRAME_BYTES) as sock:
            await _listen(sock, listen)
            async with asyncio.TaskGroup() as group:
                for _ in range(MAX_CONCURRENT_REQUESTS):
                    group.create_task(self._serve_context(sock, handlers))

    def close(self) -> None:
        """Close the connections to peers."""
        self._connections.close()

    async def _serve_context(
        self,
        sock: pynng.Rep0,
        handlers: Mapping[str, Handler],
    ) -> None:
        with sock.new_context() as ctx:
            while True:
                raw = await receive(ctx)
                answer = await self._answer(raw, handlers)
                if answer is not None:
                    await _send_answer(ctx, answer)

    async def _answer(
        self,
        raw: bytes,
        handlers: Mapping[str, Handler],
    ) -> bytes | None:
        frame = self._decode(raw)
        if frame is None:
            return None
        handler = handlers.get(frame.kind)
        if handler is None:
            _count_dropped(FrameFault.unknown_kind)
            return None
        body = await handler(frame.body, frame.sender)
        if body is None:
            _count_dropped(FrameFault.malformed)
            return None
        return self._encode(
            ANSWER_KIND, body, next(self._serials), frame.serial
        )

    def _encode(
        self, kind: str, body: bytes, serial: int, reply_to: int
    ) -> bytes:
        frame = PeerFrame(
            version=PEER_VERSION,
            cluster=self._identity.cluster,
            kind=kind,
            sender=self._identity.name,
            incarnation=self._identity.incarnation,
            serial=serial,
            reply_to=reply_to,
            sent_at=time.time(),
            body=body,
        )
        raw = encode_frame(frame, self._keys)
        PEER_BYTES.labels('sent').inc(len(raw))
        return raw

    def _decode(self, raw: bytes) -> PeerFrame | None:
        PEER_BYTES.labels('received').inc(len(raw))
        decoded = decode_frame(raw, self._identity.cluster, self._keys)
        if not isinstance(decoded, Success):
            _count_dropped(decoded.failure())
            return None
        frame: PeerFrame = decoded.unwrap()
        now = time.time()
        if not self._replay_guard.is_timely(frame.sent_at, now):
            _count_dropped(FrameFault.untimely)
            return None
        frame_id = FrameId(frame.sender, frame.incarnation, frame.serial)
        if not self._replay_guard.admit(frame_id, now):
            _count_dropped(FrameFault.replayed)
            return None
        return frame


async def _listen(sock: pynng.Rep0, listen: str) -> None:
    """Listen on an address as soon as no other socket has it."""
    while True:
        try:
            sock.listen(f'tcp://{listen}')
        except pynng.AddressInUse:
            log_event(
                _logger,
                'peer address in use',
                listen=listen,
                remedy='free the port or change the peers section',
            )
        else:
            return
        await asyncio.sleep(LISTEN_RETRY_SECONDS)


async def _send_answer(ctx: pynng.Context, answer: bytes) -> None:
    try:
        await send(ctx, answer)
    except pynng.NNGException:
        PEER_FRAMES_DROPPED.labels('answer-not-sent').inc()


def _count_dropped(fault: FrameFault) -> None:
    PEER_FRAMES_DROPPED.labels(fault.value).inc()

"""Authenticated requests between nodes."""

import asyncio
import time
from collections.abc import Awaitable, Callable, Mapping
from itertools import count
from typing import Final, NamedTuple

import pynng
from returns.result import Success

from crocusroad_core.members import FrameId, ReplayGuard
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

HANDLERS: Final = 8  # requests of peers in progress at once
MAX_AGE_SECONDS: Final = 30.0  # of a frame, clock differences included
MAX_MARKS: Final = 65536
ANSWER: Final = 'answer'

Handler = Callable[[bytes, str], Awaitable[bytes | None]]


class Identity(NamedTuple):
    """Who this node is to its peers."""

    cluster: str
    name: str
    incarnation: int


class PeerChannel:
    """One node's end of the channel between nodes."""

    def __init__(self, identity: Identity, keys: PeerKeys) -> None:
        self._identity = identity
        self._keys = keys
        self._serials = count(1)
        self._guard = ReplayGuard(MAX_AGE_SECONDS, MAX_MARKS)
        self._links = PeerConnections(MAX_FRAME_BYTES)

    async def request(
        self,
        address: str,
        kind: str,
        body: bytes,
        timeout: float,
    ) -> bytes | None:
        """Return the body of a peer's answer; None if none came in time."""
        serial = next(self._serials)
        raw = self._seal(kind, body, serial, 0)
        answer = await self._links.exchange(address, raw, timeout)
        opened = None
        if answer is not None:
            opened = self._open(answer)
            if opened is not None and opened.reply_to != serial:
                _drop(FrameFault.unmatched_answer)
                opened = None
        outcome = 'silent' if opened is None else 'answered'
        PEER_EXCHANGES.labels(kind, outcome).inc()
        return None if opened is None else opened.body

    async def serve(self, listen: str, handlers: Mapping[str, Handler]) -> None:
        """Answer the requests of peers until cancelled."""
        with pynng.Rep0(recv_max_size=MAX_FRAME_BYTES) as sock:
            sock.listen(f'tcp://{listen}')
            async with asyncio.TaskGroup() as group:
                for _ in range(HANDLERS):
                    group.create_task(self._serve_one(sock, handlers))

    def close(self) -> None:
        """Close the connections to peers."""
        self._links.close()

    async def _serve_one(
        self,
        sock: pynng.Rep0,
        handlers: Mapping[str, Handler],
    ) -> None:
        with sock.new_context() as ctx:
            while True:
                raw = await receive(ctx)
                answer = await self._answer(raw, handlers)
                if answer is not None:
                    await _send(ctx, answer)

    async def _answer(
        self,
        raw: bytes,
        handlers: Mapping[str, Handler],
    ) -> bytes | None:
        frame = self._open(raw)
        if frame is None:
            return None
        handle = handlers.get(frame.kind)
        if handle is None:
            _drop(FrameFault.unknown_kind)
            return None
        body = await handle(frame.body, frame.sender)
        if body is None:
            _drop(FrameFault.malformed)
            return None
        return self._seal(ANSWER, body, next(self._serials), frame.serial)

    def _seal(
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

    def _open(self, raw: bytes) -> PeerFrame | None:
        PEER_BYTES.labels('received').inc(len(raw))
        opened = decode_frame(raw, self._identity.cluster, self._keys)
        if not isinstance(opened, Success):
            _drop(opened.failure())
            return None
        frame: PeerFrame = opened.unwrap()
        now = time.time()
        if not self._guard.is_timely(frame.sent_at, now):
            _drop(FrameFault.untimely)
            return None
        mark = FrameId(frame.sender, frame.incarnation, frame.serial)
        if not self._guard.admit(mark, now):
            _drop(FrameFault.replayed)
            return None
        return frame


async def _send(ctx: pynng.Context, answer: bytes) -> None:
    try:
        await send(ctx, answer)
    except pynng.NNGException:
        PEER_FRAMES_DROPPED.labels('answer-not-sent').inc()


def _drop(fault: FrameFault) -> None:
    PEER_FRAMES_DROPPED.labels(fault.value).inc()

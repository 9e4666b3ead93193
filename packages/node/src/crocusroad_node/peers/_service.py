"""A node among its peers: heartbeats, news of configuration, reports."""

import asyncio
import logging
from collections import Counter
from typing import Final, TypeVar

from returns.result import Success

from crocusroad_core.members import (
    ListedNode,
    Member,
    Membership,
    MembershipConfig,
    MemberState,
    OutgoingHeartbeat,
    PeerKind,
)
from crocusroad_node.logs import log_event
from crocusroad_node.peers._channel import Handler, PeerChannel
from crocusroad_node.peers._config_source import ConfigSource
from crocusroad_node.peers._metrics import PEER_LAGGING, PEER_MEMBERS
from crocusroad_node.peers._reports import ReportBroadcaster
from crocusroad_node.platform import Instances
from crocusroad_wire import (
    DecodeError,
    Heartbeat,
    PullAnswer,
    PullRequest,
    decode_peer,
    encode_peer,
)

PROBE_SECONDS: Final = MembershipConfig().probe_seconds
ANSWER_SECONDS: Final = 0.6  # until a heartbeat counts as not answered
HELPER_SECONDS: Final = 0.3  # of that, for the helper's own probe
PULL_SECONDS: Final = 3.0
PULL_PAUSE_SECONDS: Final = 1.0  # after a pull that brought nothing
PULL_TRIES: Final = 3
ANNOUNCE_SECONDS: Final = 0.2
LIST_SECONDS: Final = 10.0
NODE_ROLE: Final = 'node'

T = TypeVar('T')

_logger = logging.getLogger(__name__)


class PeerService:
    """Keeps the view of peers and passes news on."""

    def __init__(
        self,
        members: Membership,
        channel: PeerChannel,
        source: ConfigSource,
    ) -> None:
        self.reports = ReportBroadcaster(members, channel)
        self._members = members
        self._channel = channel
        self._source = source
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_pulling = False
        self._pull_from: float = 0  # no pull before, loop time

    def members(self) -> tuple[Member, ...]:
        """Return the members as this node sees them now."""
        return self._members.snapshot()

    async def run(self, listen: str, instances: Instances) -> None:
        """Serve peers, probe them and read the list, until cancelled."""
        handlers: dict[str, Handler] = {
            PeerKind.probe: self._on_heartbeat,
            PeerKind.notice: self._on_heartbeat,
            PeerKind.indirect: self._on_indirect,
            PeerKind.pull: self._on_pull,
            PeerKind.publish: self.reports.on_publish,
        }
        async with asyncio.TaskGroup() as group:
            group.create_task(self._channel.serve(listen, handlers))
            group.create_task(self._read_list(instances))
            group.create_task(self._tick())
            group.create_task(self._announce())

    async def leave(self) -> None:
        """Tell peers that this node is leaving."""
        notices = self._members.leave(self._source.position())
        await asyncio.gather(*(self._send(one) for one in notices))

    async def pull_from_members(self) -> None:
        """Take configuration from a few members."""
        present = [one for one in self._members.present() if one.address]
        pulls = (self.pull(member) for member in present[:PULL_TRIES])
        await asyncio.gather(*pulls)

    async def pull(self, member: Member) -> bool:
        """Take newer configuration from a member; tell whether any came."""
        before = self._source.position()
        request = encode_peer(PullRequest(before))
        raw = await self._channel.request(
            member.address,
            PeerKind.pull,
            request,
            PULL_SECONDS,
        )
        answer = None if raw is None else _decode(PullAnswer, raw)
        if answer is None:
            return False
        self._source.apply(answer.payload, _now())
        return self._source.position() > before

    def close(self) -> None:
        """Stop what is under way and close the connections."""
        for task in self._tasks:
            task.cancel()
        self._channel.close()

    async def _tick(self) -> None:
        while True:
            for outgoing in self._members.tick(_now(), self._source.position()):
                self._spawn(outgoing)
            self._gauge()
            await asyncio.sleep(PROBE_SECONDS)

    async def _announce(self) -> None:
        """Tell peers soon when the configuration moved on."""
        told = self._source.position()
        while True:
            await asyncio.sleep(ANNOUNCE_SECONDS)
            position = self._source.position()
            if position != told:
                told = position
                for outgoing in self._members.notices(position):
                    self._spawn(outgoing)

    async def _read_list(self, instances: Instances) -> None:
        while True:
            listed = await instances.read()
            if isinstance(listed, Success):
                nodes = [
                    ListedNode(one.name, one.address, one.zone, one.is_leaving)
                    for one in listed.unwrap()
                    if one.role == NODE_ROLE
                ]
                self._members.apply_listing(nodes, _now())
            await asyncio.sleep(LIST_SECONDS)

    def _spawn(self, outgoing: OutgoingHeartbeat) -> None:
        task = asyncio.create_task(self._send(outgoing))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send(self, outgoing: OutgoingHeartbeat) -> None:
        answer = await self._beat(
            outgoing.address,
            outgoing.kind,
            outgoing.heartbeat,
            ANSWER_SECONDS,
        )
        if answer is None:
            return
        if outgoing.probe_target and answer.probe_target:
            self._members.confirm_reachable(outgoing.probe_target)
        self._take(answer)

    async def _beat(
        self,
        address: str,
        kind: PeerKind,
        heartbeat: Heartbeat,
        timeout: float,
    ) -> Heartbeat | None:
        body = encode_peer(heartbeat)
        raw = await self._channel.request(address, kind, body, timeout)
        return None if raw is None else _decode(Heartbeat, raw)

    def _take(self, heartbeat: Heartbeat) -> None:
        self._members.on_answer(heartbeat, _now())
        self._compare(heartbeat)

    def _compare(self, heartbeat: Heartbeat) -> None:
        is_behind = heartbeat.position > self._source.position()
        may_pull = not self._is_pulling and _now() >= self._pull_from
        if is_behind and may_pull:
            self._is_pulling = True
            task = asyncio.create_task(self._catch_up(heartbeat.sender.name))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _catch_up(self, name: str) -> None:
        try:
            member = self._members.find(name)
            if member and await self.pull(member):
                position = self._source.position()
                log_event(_logger, 'caught up', peer=name, position=position)
            else:
                self._pull_from = _now() + PULL_PAUSE_SECONDS
        finally:
            self._is_pulling = False

    async def _on_heartbeat(self, body: bytes, sender: str) -> bytes | None:
        heartbeat = _decode(Heartbeat, body)
        if heartbeat is None or heartbeat.sender.name != sender:
            return None
        position = self._source.position()
        answer = self._members.on_request(heartbeat, _now(), position)
        self._compare(heartbeat)
        return encode_peer(answer)

    async def _on_indirect(self, body: bytes, sender: str) -> bytes | None:
        heartbeat = _decode(Heartbeat, body)
        if heartbeat is None or heartbeat.sender.name != sender:
            return None
        position = self._source.position()
        reached = await self._beat(
            heartbeat.probe_target,
            PeerKind.probe,
            self._members.heartbeat_to('', position),
            HELPER_SECONDS,
        )
        answer = self._members.on_request(heartbeat, _now(), position)
        if reached is not None:
            self._take(reached)
            answer = answer._replace(probe_target=heartbeat.probe_target)
        return encode_peer(answer)

    async def _on_pull(self, body: bytes, sender: str) -> bytes | None:
        request = _decode(PullRequest, body)
        if request is None:
            return None
        payload = self._source.export(request.after)
        return encode_peer(PullAnswer(self._source.position(), payload))

    def _gauge(self) -> None:
        members = self._members.snapshot()
        states = Counter(one.state.name for one in members)
        for state in MemberState:
            PEER_MEMBERS.labels(state.name).set(states[state.name])
        position = self._source.position()
        lagging = [
            one for one in members if one.is_present and one.position < position
        ]
        PEER_LAGGING.set(len(lagging))


def _now() -> float:
    return asyncio.get_running_loop().time()


def _decode(kind: type[T], raw: bytes) -> T | None:
    try:
        return decode_peer(kind, raw)
    except DecodeError:
        return None

"""Failure detection, exchange of configuration, and reports among nodes."""

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
from crocusroad_node.platform import InstanceList
from crocusroad_wire import (
    DecodeError,
    Heartbeat,
    PullAnswer,
    PullRequest,
    decode_peer,
    encode_peer,
)

PROBE_INTERVAL_SECONDS: Final = MembershipConfig().probe_seconds
HEARTBEAT_TIMEOUT_SECONDS: Final = 0.6  # also covers an indirect probe
INDIRECT_PROBE_SECONDS: Final = 0.3  # part of the heartbeat timeout
PULL_TIMEOUT_SECONDS: Final = 3.0
PULL_BACKOFF_SECONDS: Final = 1.0  # after a pull without newer changes
MAX_PULL_MEMBERS: Final = 3
ANNOUNCE_INTERVAL_SECONDS: Final = 0.2
LISTING_INTERVAL_SECONDS: Final = 10.0
NODE_ROLE: Final = 'node'

T = TypeVar('T')

_logger = logging.getLogger(__name__)


class PeerService:
    """Tracks the members of the cluster and pulls newer configuration."""

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
        self._next_pull_at: float = 0  # event loop time

    def members(self) -> tuple[Member, ...]:
        """Return the members as currently known to this node."""
        return self._members.snapshot()

    async def run(self, listen: str, instances: InstanceList) -> None:
        """Serve and probe peers and poll the instances until cancelled."""
        handlers: dict[str, Handler] = {
            PeerKind.probe: self._on_heartbeat,
            PeerKind.notice: self._on_heartbeat,
            PeerKind.indirect: self._on_indirect,
            PeerKind.pull: self._on_pull,
            PeerKind.publish: self.reports.on_publish,
        }
        async with asyncio.TaskGroup() as group:
            group.create_task(self._channel.serve(listen, handlers))
            group.create_task(self._poll_instances(instances))
            group.create_task(self._probe_members())
            group.create_task(self._announce_position())

    async def leave(self) -> None:
        """Notify peers that this node is leaving."""
        notices = self._members.leave(self._source.position())
        await asyncio.gather(
            *(self._send_heartbeat(notice) for notice in notices)
        )

    async def pull_from_members(self) -> None:
        """Pull configuration from up to MAX_PULL_MEMBERS members."""
        present = [
            member for member in self._members.present() if member.address
        ]
        pulls = (self.pull(member) for member in present[:MAX_PULL_MEMBERS])
        await asyncio.gather(*pulls)

    async def pull(self, member: Member) -> bool:
        """Pull configuration from a member; return whether it was newer."""
        old_position = self._source.position()
        request = encode_peer(PullRequest(old_position))
        raw = await self._channel.request(
            member.address,
            PeerKind.pull,
            request,
            PULL_TIMEOUT_SECONDS,
        )
        answer = None if raw is None else _decode(PullAnswer, raw)
        if answer is None:
            return False
        self._source.apply(answer.payload, _now())
        return self._source.position() > old_position

    def close(self) -> None:
        """Cancel the tasks in progress and close the connections."""
        for task in self._tasks:
            task.cancel()
        self._channel.close()

    async def _probe_members(self) -> None:
        while True:
            for outgoing in self._members.tick(_now(), self._source.position()):
                self._spawn(outgoing)
            self._update_gauges()
            await asyncio.sleep(PROBE_INTERVAL_SECONDS)

    async def _announce_position(self) -> None:
        """Notify peers when the position of the configuration changes."""
        announced = self._source.position()
        while True:
            await asyncio.sleep(ANNOUNCE_INTERVAL_SECONDS)
            position = self._source.position()
            if position != announced:
                announced = position
                for outgoing in self._members.notices(position):
                    self._spawn(outgoing)

    async def _poll_instances(self, instances: InstanceList) -> None:
        while True:
            listed = await instances.read()
            if isinstance(listed, Success):
                nodes = [
                    ListedNode(
                        instance.name,
                        instance.address,
                        instance.zone,
                        instance.is_leaving,
                    )
                    for instance in listed.unwrap()
                    if instance.role == NODE_ROLE
                ]
                self._members.apply_listing(nodes, _now())
            await asyncio.sleep(LISTING_INTERVAL_SECONDS)

    def _spawn(self, outgoing: OutgoingHeartbeat) -> None:
        task = asyncio.create_task(self._send_heartbeat(outgoing))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_heartbeat(self, outgoing: OutgoingHeartbeat) -> None:
        answer = await self._exchange_heartbeat(
            outgoing.address,
            outgoing.kind,
            outgoing.heartbeat,
            HEARTBEAT_TIMEOUT_SECONDS,
        )
        if answer is None:
            return
        if outgoing.probe_target and answer.probe_target:
            self._members.confirm_reachable(outgoing.probe_target)
        self._process_answer(answer)

    async def _exchange_heartbeat(
        self,
        address: str,
        kind: PeerKind,
        heartbeat: Heartbeat,
        timeout: float,
    ) -> Heartbeat | None:
        body = encode_peer(heartbeat)
        raw = await self._channel.request(address, kind, body, timeout)
        return None if raw is None else _decode(Heartbeat, raw)

    def _process_answer(self, heartbeat: Heartbeat) -> None:
        self._members.on_answer(heartbeat, _now())
        self._pull_if_behind(heartbeat)

    def _pull_if_behind(self, heartbeat: Heartbeat) -> None:
        is_behind = heartbeat.position > self._source.position()
        may_pull = not self._is_pulling and _now() >= self._next_pull_at
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
                self._next_pull_at = _now() + PULL_BACKOFF_SECONDS
        finally:
            self._is_pulling = False

    async def _on_heartbeat(self, body: bytes, sender: str) -> bytes | None:
        heartbeat = _decode(Heartbeat, body)
        if heartbeat is None or heartbeat.sender.name != sender:
            return None
        position = self._source.position()
        answer = self._members.on_request(heartbeat, _now(), position)
        self._pull_if_behind(heartbeat)
        return encode_peer(answer)

    async def _on_indirect(self, body: bytes, sender: str) -> bytes | None:
        heartbeat = _decode(Heartbeat, body)
        if heartbeat is None or heartbeat.sender.name != sender:
            return None
        position = self._source.position()
        probe_answer = await self._exchange_heartbeat(
            heartbeat.probe_target,
            PeerKind.probe,
            self._members.heartbeat_to('', position),
            INDIRECT_PROBE_SECONDS,
        )
        answer = self._members.on_request(heartbeat, _now(), position)
        if probe_answer is not None:
            self._process_answer(probe_answer)
            answer = answer._replace(probe_target=heartbeat.probe_target)
        return encode_peer(answer)

    async def _on_pull(self, body: bytes, sender: str) -> bytes | None:
        request = _decode(PullRequest, body)
        if request is None:
            return None
        payload = self._source.export(request.after)
        return encode_peer(PullAnswer(self._source.position(), payload))

    def _update_gauges(self) -> None:
        members = self._members.snapshot()
        states = Counter(member.state.name for member in members)
        for state in MemberState:
            PEER_MEMBERS.labels(state.name).set(states[state.name])
        position = self._source.position()
        lagging = [
            member
            for member in members
            if member.is_present and member.position < position
        ]
        PEER_LAGGING.set(len(lagging))


def _now() -> float:
    return asyncio.get_running_loop().time()


def _decode(message_type: type[T], raw: bytes) -> T | None:
    try:
        return decode_peer(message_type, raw)
    except DecodeError:
        return None

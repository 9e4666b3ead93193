"""The membership protocol: a gossip-based failure detector without I/O."""

from collections.abc import Container, Iterable

from crocusroad_core.members._config import MembershipConfig
from crocusroad_core.members._gossip import GossipQueue, size_of
from crocusroad_core.members._listed_node import ListedNode
from crocusroad_core.members._member import Member
from crocusroad_core.members._outgoing_heartbeat import (
    OutgoingHeartbeat,
    PeerKind,
)
from crocusroad_core.members._probe_round import (
    ProbeRound,
    RandomBelow,
    choose_probe_targets,
)
from crocusroad_core.members._state import MemberState
from crocusroad_core.members._table import MemberTable
from crocusroad_wire import Heartbeat, MemberUpdate

PAUSE_PERIODS = 3  # a longer gap between ticks means a paused process
FORGET_TICKS = 60  # ticks between two removals of expired members


class Membership:
    """The view that a node has of its peers, and its probes of them.

    The view is a hint: limits, relaying and crash reports may use it, but
    nothing may rely on two nodes having the same view.
    """

    def __init__(
        self,
        me: MemberUpdate,
        random_below: RandomBelow,
        cfg: MembershipConfig | None = None,
    ) -> None:
        self.me = me
        self._cfg = cfg or MembershipConfig()
        self._random_below = random_below
        self._table = MemberTable(self._cfg)
        self._gossip = GossipQueue(self._cfg.transmissions, self._cfg.limit)
        self._probe_round = ProbeRound(random_below)
        self._recheck_round = ProbeRound(random_below)
        self._unanswered: dict[str, bool] = {}  # name: probed indirectly
        self._suspicion_deadlines: dict[str, float] = {}  # by name
        self._ticks = 0
        self._bytes_left = self._cfg.tick_bytes  # of gossip in this tick
        self._last_tick_at: float | None = None

    def snapshot(self) -> tuple[Member, ...]:
        """Return all members, including dead and left ones."""
        return tuple(self._table.all_members())

    def present(self) -> tuple[Member, ...]:
        """Return the members considered running, without this node."""
        return tuple(
            member for member in self._table.all_members() if member.is_present
        )

    def find(self, name: str) -> Member | None:
        """Return a member, or None."""
        return self._table.find(name)

    def apply_listing(self, listed: Iterable[ListedNode], now: float) -> None:
        """Apply the platform's list; see `MemberTable.apply_listing`."""
        others = [node for node in listed if node.name != self.me.name]
        self._table.apply_listing(others, now)

    def tick(self, now: float, position: int) -> list[OutgoingHeartbeat]:
        """Return the heartbeats to send; call it once per `probe_seconds`."""
        self._ticks += 1
        self._bytes_left = self._cfg.tick_bytes
        self._allow_for_pause(now)
        outgoing = list(self._check_unanswered(now, position))
        self._expire_suspicions(now)
        if self._ticks % FORGET_TICKS == 0:
            self._table.drop_expired(now)
        outgoing += self._probe(self._next_target(), position)
        if self._ticks % self._cfg.recheck_ticks == 0:
            absent = self._recheck_round.next(self._absent_names)
            outgoing += self._probe(absent, position)
        return outgoing

    def on_request(
        self,
        heartbeat: Heartbeat,
        now: float,
        position: int,
    ) -> Heartbeat:
        """Process a heartbeat and return the answer to it."""
        self.on_answer(heartbeat, now)
        # The sender already has the updates that it has just sent.
        known = frozenset(update.name for update in heartbeat.updates)
        return self.heartbeat_to(heartbeat.sender.name, position, known)

    def on_answer(self, heartbeat: Heartbeat, now: float) -> None:
        """Process the answer to a heartbeat."""
        sender = heartbeat.sender
        if sender.name != self.me.name:
            self._unanswered.pop(sender.name, None)
            self._merge(sender, now)
            self._table.record_contact(sender, heartbeat.position, now)
        for update in heartbeat.updates:
            self._merge(update, now)

    def confirm_reachable(self, name: str) -> None:
        """Record that an indirect probe of a member was answered."""
        self._unanswered.pop(name, None)

    def notices(self, position: int) -> list[OutgoingHeartbeat]:
        """Return notices of recent updates, to all members or to a sample."""
        present = [member for member in self.present() if member.address]
        if len(present) > self._cfg.broadcast_limit:
            present = self._sample(present, self._cfg.fanout)
        return [
            self._outgoing(PeerKind.notice, member, position)
            for member in present
        ]

    def leave(self, position: int) -> list[OutgoingHeartbeat]:
        """Leave for the rest of this incarnation; return the notices of it."""
        self.me = self.me._replace(state=int(MemberState.left))
        return self.notices(position)

    def _merge(self, update: MemberUpdate, now: float) -> None:
        if update.name == self.me.name:
            self._refute(update)
            return
        former = self._table.find(update.name)
        if not self._table.merge(update, now):
            return
        if former and _confirms_suspicion(former, update):
            self._gossip.confirm(update)
        else:
            self._gossip.add(update)
        self._suspicion_deadlines.pop(update.name, None)
        if update.state == MemberState.suspect:
            timeout = self._cfg.suspicion_seconds(len(self._table))
            self._suspicion_deadlines[update.name] = now + timeout

    def _refute(self, update: MemberUpdate) -> None:
        me = self.me
        if update.incarnation > me.incarnation:
            # The clock of this machine went back since an earlier start.
            self.me = me._replace(incarnation=update.incarnation + 1)
            return
        is_refutable = update.state != me.state and update.beat >= me.beat
        if is_refutable and update.incarnation == me.incarnation:
            self.me = me._replace(beat=update.beat + 1)

    def _allow_for_pause(self, now: float) -> None:
        last_tick_at = self._last_tick_at
        self._last_tick_at = now
        max_gap = PAUSE_PERIODS * self._cfg.probe_seconds
        if last_tick_at is None or now - last_tick_at <= max_gap:
            return
        self._unanswered.clear()
        gap = now - last_tick_at
        for name, deadline in self._suspicion_deadlines.items():
            self._suspicion_deadlines[name] = deadline + gap

    def _check_unanswered(
        self, now: float, position: int
    ) -> Iterable[OutgoingHeartbeat]:
        for name, was_probed_indirectly in list(self._unanswered.items()):
            member = self._table.find(name)
            if member is None or not member.is_present:
                self._unanswered.pop(name)
            elif was_probed_indirectly:
                self._unanswered.pop(name)
                self._suspect(member, now)
            else:
                self._unanswered[name] = True
                yield from self._probe_indirectly(member, position)

    def _suspect(self, member: Member, now: float) -> None:
        if member.state == MemberState.alive:
            state = int(MemberState.suspect)
            self._merge(member.update._replace(state=state), now)

    def _expire_suspicions(self, now: float) -> None:
        expired = [
            name
            for name, deadline in self._suspicion_deadlines.items()
            if deadline <= now
        ]
        for name in expired:
            self._suspicion_deadlines.pop(name)
            member = self._table.find(name)
            if member and member.state == MemberState.suspect:
                state = int(MemberState.dead)
                self._merge(member.update._replace(state=state), now)

    def _next_target(self) -> str | None:
        # Skips members that left during the round, so that no tick goes by
        # without a probe.
        for _ in range(self._cfg.probe_targets):
            name = self._probe_round.next(self._target_names)
            member = self._table.find(name) if name else None
            if member and member.is_present:
                return name
        return None

    def _target_names(self) -> list[str]:
        members = self._table.all_members()
        return choose_probe_targets(
            self.me.name,
            members,
            self._cfg.probe_targets,
        )

    def _absent_names(self) -> list[str]:
        return [
            member.name
            for member in self._table.all_members()
            if member.address
            and (member.state == MemberState.dead or _may_be_back(member))
        ]

    def _probe(
        self, name: str | None, position: int
    ) -> list[OutgoingHeartbeat]:
        member = self._table.find(name) if name else None
        if member is None:
            return []
        if member.is_present:
            self._unanswered.setdefault(member.name, False)
        return [self._outgoing(PeerKind.probe, member, position)]

    def _probe_indirectly(
        self,
        target: Member,
        position: int,
    ) -> Iterable[OutgoingHeartbeat]:
        others = [
            member
            for member in self.present()
            if member.address and member.name != target.name
        ]
        for helper in self._sample(others, self._cfg.indirect_probes):
            outgoing = self._outgoing(PeerKind.indirect, helper, position)
            yield outgoing._replace(
                heartbeat=outgoing.heartbeat._replace(
                    probe_target=target.address
                ),
                probe_target=target.name,
            )

    def _sample(self, members: list[Member], count: int) -> list[Member]:
        remaining = list(members)
        size = min(count, len(remaining))
        return [
            remaining.pop(self._random_below(len(remaining)))
            for _ in range(size)
        ]

    def _outgoing(
        self,
        kind: PeerKind,
        member: Member,
        position: int,
    ) -> OutgoingHeartbeat:
        heartbeat = self.heartbeat_to(member.name, position)
        return OutgoingHeartbeat(kind, member.name, member.address, heartbeat)

    def heartbeat_to(
        self,
        to: str,
        position: int,
        known: Container[str] = (),
    ) -> Heartbeat:
        """Return a heartbeat with as much gossip as the limits allow.

        Args:
            to: Name of the member that it is sent to.
            position: Revision of the configuration in force on this node.
            known: Names of members whose updates the receiver already has.
        """
        member = self._table.find(to)
        first = []
        if member and member.state != MemberState.alive:
            # The receiver can then refute its own state.
            first.append(member.update._replace(address='', zone=''))
        max_bytes = min(
            max(self._cfg.min_bytes, self._bytes_left),
            self._max_bytes_to(member),
        )
        updates = self._gossip.take(max_bytes, first, known)
        self._bytes_left -= sum(size_of(update) for update in updates)
        return Heartbeat(self.me, position, updates)

    def _max_bytes_to(self, member: Member | None) -> int:
        # An absent member most likely receives nothing, so it is sent its own
        # state and little else.
        if member and not member.is_present:
            return self._cfg.min_bytes
        return self._cfg.piggyback_bytes


def _confirms_suspicion(former: Member, update: MemberUpdate) -> bool:
    current = former.update
    is_same = (current.incarnation, current.beat) == (
        update.incarnation,
        update.beat,
    )
    was_suspect = former.state == MemberState.suspect
    return is_same and was_suspect and update.state == MemberState.dead


def _may_be_back(member: Member) -> bool:
    # A new incarnation may have taken the name of a member that left.
    has_left = member.state == MemberState.left
    return has_left and member.is_listed and not member.is_listed_leaving

"""The state machine of membership: heartbeats in, heartbeats out."""

from collections.abc import Container, Iterable

from crocusroad_core.members._config import MembershipConfig
from crocusroad_core.members._gossip import GossipQueue, size_of
from crocusroad_core.members._listed_node import ListedNode
from crocusroad_core.members._member import Member
from crocusroad_core.members._outgoing_heartbeat import (
    OutgoingHeartbeat,
    PeerKind,
)
from crocusroad_core.members._probe_round import Pick, Turns, partners_of
from crocusroad_core.members._state import MemberState
from crocusroad_core.members._table import MemberTable
from crocusroad_wire import Heartbeat, MemberUpdate

PAUSE_PERIODS = 3  # a longer gap between ticks: this node was paused
FORGET_TICKS = 60


class Membership:
    """What a node holds about its peers, and whom it probes.

    A hint: limits, spreading and crash reports may read it, no promise may
    rest on two nodes holding the same view.
    """

    def __init__(
        self,
        me: MemberUpdate,
        pick: Pick,
        cfg: MembershipConfig | None = None,
    ) -> None:
        self.me = me
        self._cfg = cfg or MembershipConfig()
        self._pick = pick
        self._table = MemberTable(self._cfg)
        self._hearsay = GossipQueue(self._cfg.transmissions, self._cfg.limit)
        self._turns = Turns(pick)
        self._gone_turns = Turns(pick)
        self._silent: dict[str, bool] = {}  # name: asked helpers already
        self._suspected: dict[str, float] = {}  # name: held true from then
        self._ticks = 0
        self._room = self._cfg.period_bytes  # of hearsay, until the next tick
        self._ticked_at: float | None = None

    def snapshot(self) -> tuple[Member, ...]:
        """Return every member, those gone included."""
        return tuple(self._table.every())

    def present(self) -> tuple[Member, ...]:
        """Return the members held to be running, without this node."""
        return tuple(one for one in self._table.every() if one.is_present)

    def find(self, name: str) -> Member | None:
        """Return a member, or None."""
        return self._table.find(name)

    def apply_listing(self, listed: Iterable[ListedNode], now: float) -> None:
        """Take the platform's list in; see MemberTable.apply_listing."""
        others = [one for one in listed if one.name != self.me.name]
        self._table.apply_listing(others, now)

    def tick(self, now: float, position: int) -> list[OutgoingHeartbeat]:
        """Return what to send; call once each `probe_seconds`."""
        self._ticks += 1
        self._room = self._cfg.period_bytes
        self._doubt_self(now)
        outgoing = list(self._judge_silent(now, position))
        self._judge_suspected(now)
        if self._ticks % FORGET_TICKS == 0:
            self._table.forget(now)
        outgoing += self._probe(self._next_partner(), position)
        if self._ticks % self._cfg.recheck_ticks == 0:
            gone = self._gone_turns.next(self._gone)
            outgoing += self._probe(gone, position)
        return outgoing

    def on_request(
        self,
        heartbeat: Heartbeat,
        now: float,
        position: int,
    ) -> Heartbeat:
        """Take a heartbeat in and return its answer."""
        self.on_answer(heartbeat, now)
        # What the other has just said is not news to it.
        said = frozenset(one.name for one in heartbeat.updates)
        return self.heartbeat_to(heartbeat.sender.name, position, said)

    def on_answer(self, heartbeat: Heartbeat, now: float) -> None:
        """Take the answer to a heartbeat in."""
        sender = heartbeat.sender
        if sender.name != self.me.name:
            self._silent.pop(sender.name, None)
            self._merge(sender, now)
            self._table.hear(sender, heartbeat.position, now)
        for update in heartbeat.updates:
            self._merge(update, now)

    def confirm_reachable(self, name: str) -> None:
        """Note that a helper reached a silent member."""
        self._silent.pop(name, None)

    def notices(self, position: int) -> list[OutgoingHeartbeat]:
        """Return notices of news: to all if few, else to some members."""
        present = [one for one in self.present() if one.address]
        if len(present) > self._cfg.few:
            present = self._sample(present, self._cfg.fanout)
        return [
            self._outgoing(PeerKind.notice, one, position) for one in present
        ]

    def leave(self, position: int) -> list[OutgoingHeartbeat]:
        """Begin to leave, for the rest of this incarnation."""
        self.me = self.me._replace(state=int(MemberState.left))
        return self.notices(position)

    def _merge(self, update: MemberUpdate, now: float) -> None:
        if update.name == self.me.name:
            self._refute(update)
            return
        before = self._table.find(update.name)
        if not self._table.merge(update, now):
            return
        if before and _is_confirmed(before, update):
            self._hearsay.confirm(update)
        else:
            self._hearsay.add(update)
        self._suspected.pop(update.name, None)
        if update.state == MemberState.suspect:
            bound = self._cfg.suspicion_seconds(len(self._table))
            self._suspected[update.name] = now + bound

    def _refute(self, update: MemberUpdate) -> None:
        me = self.me
        if update.incarnation > me.incarnation:
            # The clock of the machine went back since an earlier start.
            self.me = me._replace(incarnation=update.incarnation + 1)
            return
        is_doubted = update.state != me.state and update.beat >= me.beat
        if is_doubted and update.incarnation == me.incarnation:
            self.me = me._replace(beat=update.beat + 1)

    def _doubt_self(self, now: float) -> None:
        last = self._ticked_at
        self._ticked_at = now
        bound = PAUSE_PERIODS * self._cfg.probe_seconds
        if last is None or now - last <= bound:
            return
        self._silent.clear()
        gap = now - last
        for name, until in self._suspected.items():
            self._suspected[name] = until + gap

    def _judge_silent(
        self, now: float, position: int
    ) -> Iterable[OutgoingHeartbeat]:
        for name, was_helped in list(self._silent.items()):
            member = self._table.find(name)
            if member is None or not member.is_present:
                self._silent.pop(name)
            elif was_helped:
                self._silent.pop(name)
                self._suspect(member, now)
            else:
                self._silent[name] = True
                yield from self._ask_helpers(member, position)

    def _suspect(self, member: Member, now: float) -> None:
        if member.state == MemberState.alive:
            state = int(MemberState.suspect)
            self._merge(member.update._replace(state=state), now)

    def _judge_suspected(self, now: float) -> None:
        over = [name for name, until in self._suspected.items() if until <= now]
        for name in over:
            self._suspected.pop(name)
            member = self._table.find(name)
            if member and member.state == MemberState.suspect:
                state = int(MemberState.dead)
                self._merge(member.update._replace(state=state), now)

    def _next_partner(self) -> str | None:
        # Those that went during the round would cost a turn each.
        for _ in range(self._cfg.partners):
            name = self._turns.next(self._partners)
            member = self._table.find(name) if name else None
            if member and member.is_present:
                return name
        return None

    def _partners(self) -> list[str]:
        every = self._table.every()
        return partners_of(self.me.name, every, self._cfg.partners)

    def _gone(self) -> list[str]:
        return [
            one.name
            for one in self._table.every()
            if one.address and (one.state == MemberState.dead or _is_back(one))
        ]

    def _probe(
        self, name: str | None, position: int
    ) -> list[OutgoingHeartbeat]:
        member = self._table.find(name) if name else None
        if member is None:
            return []
        if member.is_present:
            self._silent.setdefault(member.name, False)
        return [self._outgoing(PeerKind.probe, member, position)]

    def _ask_helpers(
        self,
        silent: Member,
        position: int,
    ) -> Iterable[OutgoingHeartbeat]:
        others = [
            one
            for one in self.present()
            if one.address and one.name != silent.name
        ]
        for helper in self._sample(others, self._cfg.helpers):
            asked = self._outgoing(PeerKind.indirect, helper, position)
            yield asked._replace(
                heartbeat=asked.heartbeat._replace(probed=silent.address),
                probe_target=silent.name,
            )

    def _sample(self, members: list[Member], count: int) -> list[Member]:
        left = list(members)
        taken = min(count, len(left))
        return [left.pop(self._pick(len(left))) for _ in range(taken)]

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
        """Return a heartbeat with the hearsay that is due.

        Args:
            to: The member that it goes to.
            position: Of the configuration in force here.
            known: Members of which the other needs to hear nothing.
        """
        held = self._table.find(to)
        first = []
        if held and held.state != MemberState.alive:
            # So that it can refute what is held about it.
            first.append(held.update._replace(address='', zone=''))
        left = min(max(self._cfg.least_bytes, self._room), self._room_for(held))
        updates = self._hearsay.take(left, first, known)
        self._room -= sum(size_of(one) for one in updates)
        return Heartbeat(self.me, position, updates)

    def _room_for(self, held: Member | None) -> int:
        # One that is gone most likely reads nothing: it is told what is held
        # of it, and no more is spent on it.
        if held and not held.is_present:
            return self._cfg.least_bytes
        return self._cfg.piggyback_bytes


def _is_confirmed(before: Member, update: MemberUpdate) -> bool:
    held = before.update
    is_same = (held.incarnation, held.beat) == (
        update.incarnation,
        update.beat,
    )
    was_suspect = before.state == MemberState.suspect
    return is_same and was_suspect and update.state == MemberState.dead


def _is_back(member: Member) -> bool:
    # A name that left may be taken by a new incarnation.
    has_left = member.state == MemberState.left
    return has_left and member.is_listed and not member.is_listed_leaving

"""The door of an instance: what is let in, what is refused and why."""

from returns.result import Failure, Result, Success

from crocusroad_core.admission._decaying_peak import DecayingPeak
from crocusroad_core.admission._limit import ConcurrencyLimit
from crocusroad_core.admission._live_instances import LiveInstanceCount
from crocusroad_core.admission._quantile import DecayingQuantile
from crocusroad_core.admission._ticket import Ticket
from crocusroad_core.admission._token_bucket import TokenBucket
from crocusroad_core.fronts import Caller, Front, RequestKind
from crocusroad_core.refusals import Refusal, refuse
from crocusroad_wire import ProblemKind

FAST_QUANTILE = 0.1
RETRY_SECONDS = 1.0


class AdmissionController:
    """Requests in progress on one instance, and the limits on them."""

    def __init__(
        self, limit: ConcurrencyLimit, live: LiveInstanceCount
    ) -> None:
        self._limit = limit
        self._live = live
        self._serial = 0
        self._open: dict[int, Ticket] = {}
        self._by_kind: dict[tuple[str, str], int] = {}
        self._by_worth: dict[float, int] = {}
        self._demands: dict[float, DecayingPeak] = {}
        self._buckets: dict[tuple[str, str], TokenBucket] = {}
        self._fastest: dict[str, DecayingQuantile] = {}

    @property
    def in_flight(self) -> int:
        """Return the number of requests in progress."""
        return len(self._open)

    @property
    def limit(self) -> float:
        """Return the requests that may be in progress."""
        return self._limit.limit

    def admit(
        self,
        front: Front,
        caller: Caller,
        kind: RequestKind,
        left: float,
        now: float,
    ) -> Result[Ticket, Refusal]:
        """Let a request in that has `left` seconds, or say why not."""
        refusal = (
            self._check_deadline(front, kind, left, now)
            or self._check_kind(front, kind)
            or self._check_load(kind, now)
            or self._check_caller(front, caller, now)
        )
        if refusal is not None:
            return Failure(refusal)
        return Success(self._enter(front, kind, now))

    def release(self, ticket: Ticket, now: float, *, is_sample: bool) -> None:
        """Take a ticket back; a ticket that was given back is ignored.

        Args:
            ticket: What `admit` returned.
            now: The present time.
            is_sample: Whether the time taken tells of the load: True for an
                answer and for a deadline missed, False for a caller that
                hung up and for an error.
        """
        if self._open.pop(ticket.serial, None) is None:
            return
        self._by_kind[ticket.front, ticket.kind] -= 1
        self._by_worth[ticket.worth] -= 1
        if is_sample:
            name = _name(ticket.front, ticket.kind)
            seconds = now - ticket.admitted_at
            self._fast(name).observe(seconds, now)
            self._limit.on_answer(name, seconds, self.in_flight + 1, now)

    def on_lag(self, seconds: float, now: float) -> None:
        """Take a measured lag of the event loop."""
        self._limit.on_lag(seconds, now)

    def _enter(self, front: Front, kind: RequestKind, now: float) -> Ticket:
        self._serial += 1
        ticket = Ticket(self._serial, front.name, kind.name, kind.worth, now)
        self._open[ticket.serial] = ticket
        key = (front.name, kind.name)
        self._by_kind[key] = self._by_kind.get(key, 0) + 1
        self._by_worth[kind.worth] = self._by_worth.get(kind.worth, 0) + 1
        return ticket

    def _check_deadline(
        self,
        front: Front,
        kind: RequestKind,
        left: float,
        now: float,
    ) -> Refusal | None:
        expected = self._fast(_name(front.name, kind.name)).value(now)
        if left > 0 and left >= expected:
            return None
        return refuse(
            ProblemKind.deadline_too_short,
            f'{left:.3f} s left; the fastest now take {expected:.3f} s',
            retry_after=RETRY_SECONDS,
        )

    def _check_kind(self, front: Front, kind: RequestKind) -> Refusal | None:
        running = self._by_kind.get((front.name, kind.name), 0)
        if running < kind.max_in_flight:
            return None
        return refuse(
            ProblemKind.kind_limit,
            f'{running} requests of kind {kind.name!r} are in progress',
            retry_after=RETRY_SECONDS,
        )

    def _check_load(self, kind: RequestKind, now: float) -> Refusal | None:
        self._note_demand(kind.worth, now)
        if self.in_flight + self._kept_free(kind.worth, now) < self.limit:
            return None
        return refuse(
            ProblemKind.overloaded,
            f'{self.in_flight} requests are in progress of {self.limit:.0f}',
            retry_after=RETRY_SECONDS,
        )

    def _note_demand(self, worth: float, now: float) -> None:
        self._demands.setdefault(worth, DecayingPeak())
        for level, demand in self._demands.items():
            if level <= worth:
                demand.observe(self._running_from(level) + 1, now)

    def _kept_free(self, worth: float, now: float) -> float:
        worthier = [level for level in self._demands if level > worth]
        if not worthier:
            return 0
        level = min(worthier)
        wanted = self._demands[level].peak(now)
        return max(0, wanted - self._running_from(level))

    def _running_from(self, level: float) -> int:
        running = self._by_worth.items()
        return sum(count for worth, count in running if worth >= level)

    def _check_caller(
        self,
        front: Front,
        caller: Caller,
        now: float,
    ) -> Refusal | None:
        rate = self._live.share_of(caller.rate, now)
        key = (front.name, caller.name)
        bucket = self._buckets.setdefault(key, TokenBucket(rate, now))
        bucket.set_rate(rate, now)
        if bucket.take(now):
            return None
        return refuse(
            ProblemKind.caller_limit,
            f'the caller {caller.name!r} sends over {rate:.1f} a second here',
            retry_after=bucket.wait(now),
        )

    def _fast(self, name: str) -> DecayingQuantile:
        return self._fastest.setdefault(name, DecayingQuantile(FAST_QUANTILE))


def _name(front: str, kind: str) -> str:
    return f'{front}/{kind}'

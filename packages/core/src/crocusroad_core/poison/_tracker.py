"""What one instance knows of the fingerprints it saw."""

from collections import Counter

from crocusroad_core.poison._crash_evidence import CrashEvidence
from crocusroad_core.poison._tracked_run import TrackedRun
from crocusroad_core.poison._ttl_cache import TtlCache
from crocusroad_core.refusals import Refusal, refuse
from crocusroad_wire import CrashReport, ProblemKind

CLEARED_ENTRIES = 100_000
CASE_ENTRIES = 10_000
CLEARED_SECONDS = 600.0
CASE_SECONDS = 600.0


class PoisonTracker:
    """The state of each fingerprint: new, cleared, suspect, quarantined.

    A fingerprint that expires is new again: it runs as a canary.
    """

    def __init__(self) -> None:
        self._cleared: TtlCache[bool] = TtlCache(
            CLEARED_ENTRIES,
            CLEARED_SECONDS,
        )
        self._cases: TtlCache[CrashEvidence] = TtlCache(
            CASE_ENTRIES,
            CASE_SECONDS,
        )
        self._runs: dict[str, Counter[str]] = {}  # suspects by upstream

    @property
    def size(self) -> tuple[int, int]:
        """Return the cleared and the accused fingerprints held."""
        return len(self._cleared), len(self._cases)

    def check(self, print_: str, now: float) -> Refusal | None:
        """Return the refusal of a quarantined fingerprint."""
        case = self._cases.get(print_, now)
        if case is None or not case.is_proved:
            return None
        return refuse(
            ProblemKind.quarantined,
            'upstreams broke twice while they ran this request',
            retry_after=self._cases.remaining(print_, now),
        )

    def needs_canary(self, print_: str, now: float) -> bool:
        """Tell whether one upstream has to run the request first."""
        return self._cleared.get(print_, now) is None

    def is_suspect(self, print_: str, now: float) -> bool:
        """Tell whether an upstream broke under the fingerprint lately."""
        return self._cases.get(print_, now) is not None

    def crashed_upstreams(self, print_: str, now: float) -> frozenset[str]:
        """Return the upstreams that broke under the fingerprint lately."""
        case = self._cases.get(print_, now)
        return frozenset() if case is None else case.alone | case.fanned

    def begin_run(
        self, print_: str, upstream: str, now: float
    ) -> TrackedRun | None:
        """Begin a run; return None if another suspect runs there.

        Only suspects are kept apart; any other request may share.
        """
        run = TrackedRun(print_, upstream, self.is_suspect(print_, now))
        if run.is_suspect:
            running = self._runs.setdefault(upstream, Counter())
            if running.keys() - {print_}:
                return None
            running[print_] += 1
        return run

    def end_run(self, run: TrackedRun) -> None:
        """End a run; each one that began has to end once."""
        if not run.is_suspect:
            return
        running = self._runs[run.upstream]
        running[run.fingerprint] -= 1
        if not running[run.fingerprint]:
            del self._runs[run.upstream]

    def on_crash(
        self,
        print_: str,
        upstream: str,
        now: float,
        *,
        is_canary: bool,
    ) -> CrashReport | None:
        """Blame a fingerprint; return the news for the other instances.

        Args:
            print_: The fingerprint that the upstream was running.
            upstream: The name of the upstream that broke.
            now: The present time.
            is_canary: Whether it ran as a canary, on no other upstream.

        Returns:
            None if nothing new is known by it.
        """
        known = self._cases.get(print_, now) or CrashEvidence()
        if known.fanned and not is_canary:
            return None
        names = frozenset((upstream,))
        case = (
            CrashEvidence(alone=names)
            if is_canary
            else CrashEvidence(fanned=names)
        )
        joined = known.join(case)
        if joined == known:
            return None
        self._accuse(print_, joined, now)
        return CrashReport(print_, sorted(joined.alone), sorted(joined.fanned))

    def on_answer(self, print_: str, now: float) -> None:
        """Clear a fingerprint whose canary or fan-out answered.

        A fingerprint with two crashes stays refused until it expires.
        """
        case = self._cases.get(print_, now)
        if case is None or not case.is_proved:
            self._cases.discard(print_)
            self._cleared.put(print_, True, now)

    def on_report(self, report: CrashReport, now: float) -> None:
        """Take the news of another instance."""
        case = CrashEvidence(frozenset(report.alone), frozenset(report.fanned))
        known = self._cases.get(report.fingerprint, now) or CrashEvidence()
        self._accuse(report.fingerprint, known.join(case), now)

    def _accuse(self, print_: str, case: CrashEvidence, now: float) -> None:
        self._cleared.discard(print_)
        self._cases.put(print_, case, now)

"""Tracking of the fingerprints that crash upstreams, on one instance."""

from collections import Counter

from crocusroad_core.poison._crash_evidence import CrashEvidence
from crocusroad_core.poison._tracked_run import TrackedRun
from crocusroad_core.poison._ttl_cache import TtlCache
from crocusroad_core.refusals import Refusal, refuse
from crocusroad_wire import CrashReport, ProblemKind

MAX_CLEARED = 100_000  # fingerprints
MAX_SUSPECTS = 10_000  # fingerprints
CLEARED_SECONDS = 600.0
SUSPECT_SECONDS = 600.0


class PoisonTracker:
    """The states of fingerprints: new, cleared, suspect or quarantined.

    A new fingerprint runs first as a canary, on one upstream. An entry that
    expires makes its fingerprint new again.
    """

    def __init__(self) -> None:
        self._cleared: TtlCache[bool] = TtlCache(
            MAX_CLEARED,
            CLEARED_SECONDS,
        )
        self._suspects: TtlCache[CrashEvidence] = TtlCache(
            MAX_SUSPECTS,
            SUSPECT_SECONDS,
        )
        self._runs: dict[str, Counter[str]] = {}  # suspects by upstream

    @property
    def sizes(self) -> tuple[int, int]:
        """Return the numbers of cleared and of suspect fingerprints."""
        return len(self._cleared), len(self._suspects)

    @property
    def has_suspects(self) -> bool:
        """Return whether any fingerprint may be suspect or quarantined."""
        return len(self._suspects) > 0

    def check(self, fingerprint: str, now: float) -> Refusal | None:
        """Return the refusal if the fingerprint is quarantined, else None."""
        evidence = self._suspects.get(fingerprint, now)
        if evidence is None or not evidence.is_conclusive:
            return None
        return refuse(
            ProblemKind.quarantined,
            'two upstreams crashed while they ran this request',
            retry_after=self._suspects.remaining(fingerprint, now),
        )

    def needs_canary(self, fingerprint: str, now: float) -> bool:
        """Return whether the request has to run on a single upstream first."""
        return self._cleared.get(fingerprint, now) is None

    def is_suspect(self, fingerprint: str, now: float) -> bool:
        """Return whether an upstream recently crashed running the request."""
        return self._suspects.get(fingerprint, now) is not None

    def crashed_upstreams(self, fingerprint: str, now: float) -> frozenset[str]:
        """Return the upstreams that recently crashed running the request."""
        evidence = self._suspects.get(fingerprint, now)
        return (
            frozenset()
            if evidence is None
            else evidence.canary | evidence.fan_out
        )

    def may_run(self, fingerprint: str, upstream: str) -> bool:
        """Return whether no other suspect runs on the upstream."""
        return not self._runs.get(upstream, {}).keys() - {fingerprint}

    def begin_run(
        self, fingerprint: str, upstream: str, now: float
    ) -> TrackedRun | None:
        """Begin a run, or return None if another suspect runs on the upstream.

        Two suspects never run on one upstream at the same time. Any other
        request may share an upstream with a suspect.
        """
        run = TrackedRun(
            fingerprint, upstream, self.is_suspect(fingerprint, now)
        )
        if run.is_suspect:
            if not self.may_run(fingerprint, upstream):
                return None
            self._runs.setdefault(upstream, Counter())[fingerprint] += 1
        return run

    def end_run(self, run: TrackedRun) -> None:
        """End a run; each run has to be ended exactly once."""
        if not run.is_suspect:
            return
        suspects = self._runs[run.upstream]
        suspects[run.fingerprint] -= 1
        if not suspects[run.fingerprint]:
            del self._runs[run.upstream]

    def on_crash(
        self,
        fingerprint: str,
        upstream: str,
        now: float,
        *,
        is_canary: bool,
    ) -> CrashReport | None:
        """Attribute a crash to a fingerprint.

        Args:
            fingerprint: The fingerprint that the upstream was running.
            upstream: The name of the upstream that crashed.
            now: The present time.
            is_canary: Whether it ran as a canary, on no other upstream.

        Returns:
            The report for the other instances, or None if the crash adds
            nothing to the evidence.
        """
        known = self._suspects.get(fingerprint, now) or CrashEvidence()
        if known.fan_out and not is_canary:
            return None
        names = frozenset((upstream,))
        evidence = (
            CrashEvidence(canary=names)
            if is_canary
            else CrashEvidence(fan_out=names)
        )
        merged = known.merge(evidence)
        if merged == known:
            return None
        self._mark_suspect(fingerprint, merged, now)
        return _report(fingerprint, merged)

    def on_answer(self, fingerprint: str, now: float) -> None:
        """Clear a fingerprint whose canary or fan-out was answered.

        A quarantined fingerprint stays quarantined until it expires.
        """
        evidence = self._suspects.get(fingerprint, now)
        if evidence is None or not evidence.is_conclusive:
            self._suspects.discard(fingerprint)
            self._cleared.put(fingerprint, True, now)

    def on_report(
        self,
        report: CrashReport,
        now: float,
        seconds: float = SUSPECT_SECONDS,
    ) -> bool:
        """Merge the crash report of another instance; return whether it is new.

        The fingerprint is a suspect for `seconds`. A report that tells nothing
        new does not prolong that.
        """
        evidence = CrashEvidence(
            frozenset(report.canary), frozenset(report.fan_out)
        )
        known = self._suspects.get(report.fingerprint, now) or CrashEvidence()
        merged = known.merge(evidence)
        if merged == known:
            return False
        self._mark_suspect(report.fingerprint, merged, now, seconds)
        return True

    def seconds_left(self, fingerprint: str, now: float) -> float:
        """Return how long a fingerprint remains a suspect, or 0."""
        return self._suspects.remaining(fingerprint, now)

    def reports(self, now: float) -> list[tuple[CrashReport, float]]:
        """Return all that is known, each with the seconds that it holds."""
        return [
            (
                _report(fingerprint, evidence),
                self.seconds_left(fingerprint, now),
            )
            for fingerprint, evidence in self._suspects.live_items(now)
        ]

    def _mark_suspect(
        self,
        fingerprint: str,
        evidence: CrashEvidence,
        now: float,
        seconds: float = SUSPECT_SECONDS,
    ) -> None:
        self._cleared.discard(fingerprint)
        self._suspects.put(fingerprint, evidence, now, seconds)


def _report(fingerprint: str, evidence: CrashEvidence) -> CrashReport:
    return CrashReport(
        fingerprint, sorted(evidence.canary), sorted(evidence.fan_out)
    )

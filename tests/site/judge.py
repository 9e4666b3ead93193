"""Judges a run by what callers, replicas and the operator saw."""

from bisect import bisect_left, bisect_right
from collections import Counter, defaultdict
from typing import NamedTuple

from tests.site.replica import CRASH_MARK

LOSS_SLACK_SECONDS = 0.2
PLANNED_EXTRA_SECONDS = 1  # after the grace of a stop
LATE_SENT_SECONDS = 3  # after SIGTERM
MAX_CUT_ON_KEPT = 3
MAX_OVER_ATTEMPTS = 3
MAX_ATTEMPTS = 2
DEADLINE_SLACK_SECONDS = 0.5
MAX_LATE_DEADLINES = 20
MAX_LATE_DEADLINE_SHARE = 0.2
MAX_AFTER_CRASHES = 3
DECIDING_CRASHES = 3
REST_SLACK_SECONDS = 0.5
MAX_IN_REST = 2
STABLE_SECONDS = 4
BROKEN_OFF = ('lost', 'ended')


class Finding(NamedTuple):
    """A broken rule, or a request that counts towards one."""

    rule: str
    text: str


class Judge:
    """What a run of a fleet and its callers shows."""

    def __init__(self, fleet, callers):
        self._fleet = fleet
        self._site = fleet.site
        self._tried = callers.tried
        self._by_id = {tried.id: tried for tried in callers.tried}
        self._arrivals = defaultdict(list)  # by request id
        for replica in fleet.replicas.values():
            for arrival in replica.arrivals:
                self._arrivals[arrival.id].append(arrival)

    def findings(self):
        """Return what broke a rule."""
        return [
            *self.cut_around_stops(),
            *self.cut_on_kept(),
            *self.over_budget(),
            *self.over_attempts(),
            *self.deadlines(),
            *self.after_crashes(),
            *self.in_rest(),
            *self.late_exits(),
        ]

    def late_exits(self):
        return [
            Finding(
                'LOST',
                f'{stop.name} had to be killed after its grace: '
                f'{self._fleet.late_steps[stop.proc]}',
            )
            for stop in self._fleet.late_exits
        ]

    def cut_around_stops(self):
        """Return the requests that a planned stop left without an answer."""
        found = []
        for tried in self._tried:
            stop = self._stop_of(tried)
            if tried.end != 'closed' or stop is None:
                continue
            if self._is_disrupted(
                tried.sent_at - STABLE_SECONDS, tried.ended_at
            ):
                continue
            took = tried.ended_at - tried.sent_at
            arrivals = self._arrivals[tried.id]
            is_counted = arrivals or took > LOSS_SLACK_SECONDS
            if is_counted and not self._is_excused(tried, stop, arrivals):
                found.append(Finding('LOST', self._describe(tried, stop)))
        return found

    def closed_counts(self):
        """Return how connections that closed without an answer did."""
        counts = Counter()
        for tried in self._tried:
            if tried.end == 'closed':
                took = tried.ended_at - tried.sent_at
                counts[
                    'stop' if self._stop_of(tried) else 'other',
                    'kept' if tried.is_kept else 'new',
                    'passed on'
                    if self._arrivals[tried.id]
                    else 'not passed on',
                    'late' if took > LOSS_SLACK_SECONDS else 'at once',
                ] += 1
        return counts

    def cut_on_kept(self):
        """Return the requests on kept connections cut at sound replicas."""
        found = [
            tried
            for tried in self._tried
            if tried.end == 'closed'
            and tried.is_kept
            and self._arrivals[tried.id]
            and not any(a.end in BROKEN_OFF for a in self._arrivals[tried.id])
            and not self._is_disrupted(
                tried.sent_at - STABLE_SECONDS, tried.ended_at
            )
            and self._stop_of(tried) is None
        ]
        if len(found) <= MAX_CUT_ON_KEPT:
            return []
        return [
            Finding('LOST', f'kept: {self._describe(tried, None)}')
            for tried in found
        ]

    def over_budget(self):
        """Return the windows with more repeats than a service may get."""
        found = []
        for service in (*self._fleet.shards, 'single'):
            worst = self.worst_window(service)
            if worst.extra > worst.allowed:
                found.append(
                    Finding(
                        'BUDGET',
                        f'{service}: {worst.extra} repeats in a window, '
                        f'{worst.allowed:.1f} allowed',
                    )
                )
        return found

    def worst_window(self, service):
        """Return the window of a service that is nearest to its bound."""
        window = self._site.retry_window
        sent = sorted(
            tried.sent_at
            for tried in self._tried
            if service in self._fleet.services_of(tried.kind)
        )
        extras = self._extras(service)
        worst = Window(0, 0, 1)
        for end in extras:
            start = end - window
            extra = bisect_right(extras, end) - bisect_left(extras, start)
            requests = max(
                bisect_right(sent, end - shift)
                - bisect_left(sent, start - shift)
                for shift in (0, window / 2, window)
            )
            allowed = self._site.retry_ratio * requests + self._site.retry_slack
            if extra / allowed > worst.extra / worst.allowed:
                worst = Window(end, extra, allowed)
        return worst

    def repeat_counts(self):
        """Return the arrivals beyond the first, by service."""
        return {
            service: len(self._extras(service))
            for service in (*self._fleet.shards, 'single')
        }

    def _extras(self, service):
        """Return the times of the arrivals beyond the first, in order."""
        by_id = defaultdict(list)
        for replica in self._fleet.replicas.values():
            if replica.service == service:
                for arrival in replica.arrivals:
                    by_id[arrival.id].append(arrival.at)
        return sorted(
            at for times in by_id.values() for at in sorted(times)[1:]
        )

    def over_attempts(self):
        """Return the requests that ran on too many replicas of a shard."""
        found = self.attempts_over()
        return found if len(found) > MAX_OVER_ATTEMPTS else []

    def attempts_over(self):
        """Return each request that ran on too many replicas of a shard."""
        found = []
        for request_id, arrivals in self._arrivals.items():
            ran = Counter()
            for service, _ in {
                (a.of.service, a.of.name)
                for a in arrivals
                if a.began_at and a.end not in ('rejected', 'ended')
            }:
                ran[service] += 1
            if any(count > MAX_ATTEMPTS for count in ran.values()):
                found.append(
                    Finding('BUDGET', f'{request_id} ran on {dict(ran)}')
                )
        return found

    def deadlines(self):
        """Return whether replicas are handed more time than is left."""
        handed = self.handed_deadlines()
        most = max(
            MAX_LATE_DEADLINES,
            MAX_LATE_DEADLINE_SHARE * (handed.late + handed.sent_again),
        )
        if handed.late <= most:
            return []
        return [Finding('BUDGET', f'more time than is left: {handed}')]

    def handed_deadlines(self):
        """Return how many requests are handed more time than is left."""
        late = sent_again = 0
        for tried in self._tried:
            by_service = defaultdict(list)
            for arrival in self._arrivals[tried.id]:
                by_service[arrival.of.service].append(arrival)
            pairs = [
                (min(group, key=lambda first: first.read_at), arrival)
                for group in by_service.values()
                for arrival in group
            ]
            if any(self._is_longer(tried, *pair) for pair in pairs):
                late += 1
            elif any(is_sent_again(*pair) for pair in pairs):
                sent_again += 1
        return HandedDeadlines(late, sent_again)

    def _is_longer(self, tried, first, arrival):
        slack = DEADLINE_SLACK_SECONDS
        own = tried.deadline_ms / 1000
        given = arrival.deadline_ms / 1000
        if not arrival.deadline_ms or given > own + slack:
            return True
        if not is_sent_again(first, arrival):
            return False
        end = arrival.read_at + given
        first_end = first.read_at + first.deadline_ms / 1000
        return end > max(first_end, tried.sent_at + own) + slack

    def after_crashes(self):
        """Return the requests that went on reaching replicas they crash."""
        return [
            Finding('BUDGET', f'{path} reached replicas in {count} retries')
            for path, count in self.late_retries().items()
            if count > MAX_AFTER_CRASHES
        ]

    def late_retries(self):
        """Return the retries that reached replicas after the third crash."""
        crashes = defaultdict(list)
        for replica in self._fleet.replicas.values():
            for at, path in replica.crashes:
                crashes[path].append(at)
        counts = Counter()
        for tried in self._tried:
            times = sorted(crashes[tried.path])
            if len(times) >= DECIDING_CRASHES and CRASH_MARK in tried.path:
                since = times[DECIDING_CRASHES - 1] + STABLE_SECONDS
                counts[tried.path] += any(
                    arrival.read_at > since
                    and self._is_in_touch(tried.proc, arrival.read_at)
                    for arrival in self._arrivals[tried.id]
                )
        return counts

    def in_rest(self):
        """Return the replicas that got requests in a rest they asked for."""
        return [
            Finding('BUDGET', f'{name} got {count} in a rest')
            for name, count in self.rest_counts().items()
            if count > MAX_IN_REST
        ]

    def rest_counts(self):
        """Return the most requests of one gateway in one rest, by replica."""
        counts = Counter()
        for name, replica in self._fleet.replicas.items():
            by_proc = defaultdict(list)
            for arrival in replica.arrivals:
                if arrival.id in self._by_id:
                    proc = self._by_id[arrival.id].proc
                    by_proc[proc].append(arrival)
            for arrivals in by_proc.values():
                counts[name] = max(counts[name], most_in_rest(arrivals))
        return counts

    def _is_in_touch(self, proc, now):
        """Tell whether a gateway was started or stopped long ago, or never."""
        since = now - STABLE_SECONDS
        if self._fleet.started_at[proc] > since:
            return False
        return not any(
            stop.proc is proc and stop.at <= now for stop in self._fleet.stops
        )

    def _stop_of(self, tried):
        """Return the planned stop around which a request ended, or None."""
        for stop in self._fleet.stops:
            until = stop.at + self._site.grace + PLANNED_EXTRA_SECONDS
            if stop.proc is tried.proc and stop.at <= tried.ended_at <= until:
                return stop
        return None

    def _is_disrupted(self, start, end):
        return any(start <= at <= end for at in self._fleet.disruptions)

    def _is_excused(self, tried, stop, arrivals):
        if any(arrival.end in BROKEN_OFF for arrival in arrivals):
            return True
        if tried.ended_at >= tried.sent_at + tried.deadline_ms / 1000:
            return True
        if tried.sent_at > stop.at + LATE_SENT_SECONDS:
            return False
        last_sixth = stop.at + self._site.grace * 5 / 6
        return any(
            arrival.began_at
            and arrival.of.mode not in ('dark', 'hang')
            and (not arrival.ended_at or arrival.ended_at >= last_sixth)
            and tried.ended_at >= last_sixth
            for arrival in arrivals
        )

    def _describe(self, tried, stop):
        arrivals = ', '.join(
            f'{a.of.name} +{a.at - tried.sent_at:.3f} {a.end or "open"}'
            for a in self._arrivals[tried.id]
        )
        kind = 'kept' if tried.is_kept else 'new'
        around = ''
        if stop is not None:
            around = f', SIGTERM {stop.at - tried.sent_at:+.3f} after sending'
        return (
            f'{tried.kind.name} {tried.id} at {tried.gateway} closed after '
            f'{tried.ended_at - tried.sent_at:.3f} s, {kind}{around} '
            f'[{arrivals}]'
        )


class Window(NamedTuple):
    """The repeats that a service got in one window, and those allowed."""

    end: float
    extra: int
    allowed: float


class HandedDeadlines(NamedTuple):
    """How many requests are handed more time than is left."""

    late: int
    sent_again: int  # late as well, but with no more time than is left


def is_sent_again(first, arrival):
    """Tell whether an arrival is one that came late after the first."""
    return arrival.read_at > first.read_at + DEADLINE_SLACK_SECONDS


def most_in_rest(arrivals):
    """Return the most arrivals that came in one rest that was asked for."""
    return max(
        (
            sum(
                asked.ended_at + REST_SLACK_SECONDS
                < arrival.read_at
                < asked.rest_until
                for arrival in arrivals
            )
            for asked in arrivals
            if asked.rest_until
        ),
        default=0,
    )

"""What the soak checks, from what callers and replicas see."""

import time
from collections import Counter

from tests.standins.fleet_replica import records
from tests.support.fleet import SHARDS

PROMISES_NOT_RUN = (408, 421, 429, 503)
DRAIN_SECONDS = 3.0
APPLY_SECONDS = 3.0
CALM_SECONDS = 4.0  # without a disruption, before a bound in time holds


class Promises:
    """Collects what is broken."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.broken = []
        self.counts = Counter()
        self.refused = set()  # ids that were promised not to have run
        self.paid = set()  # ids that may run once
        self.disturbed_at = time.monotonic()

    def disturb(self):
        """Note a disruption: bounds in time begin anew."""
        self.disturbed_at = time.monotonic()

    def is_calm(self, since):
        return self.disturbed_at + CALM_SECONDS < since

    def fail(self, what):
        self.broken.append((round(time.monotonic(), 3), what))

    def fan_out(self, own, answer):
        self.counts['fan-out', answer.status] += 1
        self._note(own, answer)
        if answer.status != 200:
            return
        stamps = [
            one.strip().split('.')
            for one in answer.headers.get('x-part-stamps', '').split(',')
        ]
        services = {stamp[0].split('-')[1] for stamp in stamps}
        missing = int(answer.headers.get('x-missing-parts', 0))
        if len(services) != len(stamps):
            self.fail(f'{own}: a shard twice in {stamps}')
        if len(services) + missing != len(SHARDS):
            self.fail(f'{own}: {len(services)} shards and {missing} missing')
        if any(stamp[1] != own or stamp[2] != '200' for stamp in stamps):
            self.fail(f'{own}: signed for another request: {stamps}')
        every = sorted(
            (one for service in services for one in records(service, 8)),
            reverse=True,
        )
        if answer.body != b''.join(every[:5]):
            self.fail(f'{own}: not the greatest records of its shards')

    def single(self, own, answer, *, is_paid):
        self.counts['pay' if is_paid else 'read', answer.status] += 1
        self._note(own, answer)
        if is_paid:
            self.paid.add(own)
        stamp = answer.headers.get('x-response-stamp', '').split('.')
        if answer.status == 200 and stamp[1:] != [own, '200']:
            self.fail(f'{own}: signed {stamp}')
        whole = b''.join(records('single', 8)) + b'rest'
        if answer.status == 200 and answer.body != whole:
            self.fail(f'{own}: body not whole')

    def config(self, name, status, *, is_there, since, began):
        """Check a route that was added or removed at a moment."""
        if began < since + APPLY_SECONDS or not self.is_calm(began):
            return
        if status not in (0, 503) and (status != 404) != is_there:
            self.fail(f'{name}: /extra/ answered {status}, there: {is_there}')

    def cut(self, name, own):
        self.fail(f'{name}: {own} was cut by a planned stop')

    def drained(self, replica, since):
        """Check a replica some time after it began to drain."""
        if not self.is_calm(since):
            return
        bound = since + DRAIN_SECONDS + 0.2
        late = [own for at, own in replica.arrivals if at > bound]
        if late:
            self.fail(f'{replica.name}: {len(late)} requests after draining')

    def finish(self):
        """Check what has run in the end."""
        runs = Counter()
        for replica in self.fleet.all_replicas:
            runs.update(replica.runs)
            if replica.misrouted:
                self.fail(f'{replica.name}: ran {replica.misrouted[:3]}')
        for own in self.paid:
            if runs[own] > 1:
                self.fail(f'{own}: a payment ran {runs[own]} times')
        for own in self.refused:
            if runs[own]:
                self.fail(f'{own}: refused as not run, ran {runs[own]} times')

    def _note(self, own, answer):
        if answer.status in PROMISES_NOT_RUN:
            self.refused.add(own)

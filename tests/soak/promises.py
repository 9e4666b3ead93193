"""Promises that the soak test checks against what callers and replicas see."""

import time
from collections import Counter

from tests.standins.fleet_replica import records
from tests.support.fleet import SHARDS

NOT_RUN_STATUSES = (408, 421, 429, 503)
DRAIN_SECONDS = 3.0
APPLY_SECONDS = 3.0
CALM_SECONDS = 4.0  # time limits apply only this long after a disruption


class Promises:
    """Checks of answers and runs, and the list of broken promises."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.broken = []
        self.counts = Counter()
        self.refused_ids = set()  # answered as not run
        self.payment_ids = set()  # may run at most once
        self.disrupted_at = time.monotonic()

    def note_disruption(self):
        """Record a disruption, which suspends time limits for CALM_SECONDS."""
        self.disrupted_at = time.monotonic()

    def is_calm(self, since):
        """Return whether `since` is CALM_SECONDS after the last disruption."""
        return self.disrupted_at + CALM_SECONDS < since

    def fail(self, message):
        self.broken.append((round(time.monotonic(), 3), message))

    def check_fan_out(self, request_id, answer):
        """Check the answer to a request that fans out to all shards."""
        self.counts['fan-out', answer.status] += 1
        self._record_refusal(request_id, answer)
        if answer.status != 200:
            return
        stamps = [
            stamp.strip().split('.')
            for stamp in answer.headers.get('x-part-stamps', '').split(',')
        ]
        services = {stamp[0].split('-')[1] for stamp in stamps}
        missing = int(answer.headers.get('x-missing-parts', 0))
        if len(services) != len(stamps):
            self.fail(f'{request_id}: duplicate shard in {stamps}')
        if len(services) + missing != len(SHARDS):
            self.fail(
                f'{request_id}: {len(services)} shards, {missing} missing'
            )
        if any(stamp[1] != request_id or stamp[2] != '200' for stamp in stamps):
            self.fail(f'{request_id}: stamps of another request: {stamps}')
        expected = sorted(
            (record for service in services for record in records(service, 8)),
            reverse=True,
        )
        if answer.body != b''.join(expected[:5]):
            self.fail(
                f'{request_id}: not the top records of the answering shards'
            )

    def check_single(self, request_id, answer, *, is_payment):
        """Check the answer to a request that one replica serves."""
        self.counts['pay' if is_payment else 'read', answer.status] += 1
        self._record_refusal(request_id, answer)
        if is_payment:
            self.payment_ids.add(request_id)
        stamp = answer.headers.get('x-response-stamp', '').split('.')
        if answer.status == 200 and stamp[1:] != [request_id, '200']:
            self.fail(f'{request_id}: stamped {stamp}')
        expected_body = b''.join(records('single', 8)) + b'rest'
        if answer.status == 200 and answer.body != expected_body:
            self.fail(f'{request_id}: incomplete or wrong body')

    def check_config(self, name, status, *, is_present, changed_at, sent_at):
        """Check that a gateway applied a route change made at `changed_at`."""
        if sent_at < changed_at + APPLY_SECONDS or not self.is_calm(sent_at):
            return
        if status not in (0, 503) and (status != 404) != is_present:
            self.fail(
                f'{name}: /extra/ got {status}, route present: {is_present}'
            )

    def fail_cut_request(self, name, request_id):
        """Record a request that a planned stop cut off."""
        self.fail(f'{name}: {request_id} was cut off by a planned stop')

    def check_drained(self, replica, since):
        """Check that a replica got no requests after its drain limit.

        `since` is the time at which it began to drain.
        """
        if not self.is_calm(since):
            return
        limit = since + DRAIN_SECONDS + 0.2
        late_ids = [
            request_id
            for arrived_at, request_id in replica.arrivals
            if arrived_at > limit
        ]
        if late_ids:
            self.fail(
                f'{replica.name}: {len(late_ids)} requests after drain limit'
            )

    def check_runs(self):
        """Check how often each request ran, after the run has ended."""
        runs = Counter()
        for replica in self.fleet.all_replicas:
            runs.update(replica.runs)
            if replica.misrouted:
                self.fail(
                    f'{replica.name}: ran misrouted {replica.misrouted[:3]}'
                )
        for request_id in self.payment_ids:
            if runs[request_id] > 1:
                self.fail(f'{request_id}: payment ran {runs[request_id]} times')
        for request_id in self.refused_ids:
            if runs[request_id]:
                self.fail(
                    f'{request_id}: refused, but ran {runs[request_id]} times'
                )

    def _record_refusal(self, request_id, answer):
        if answer.status in NOT_RUN_STATUSES:
            self.refused_ids.add(request_id)

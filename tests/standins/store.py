"""A model of the platform's KV: revisions, leases, watches, no I/O."""

from typing import NamedTuple

HISTORY = 10_000


class Held(NamedTuple):
    value: str | None
    revision: int
    lease: str


class Store:
    """The KV's state; time is an argument."""

    def __init__(self):
        self.revision = 0
        self.held = {}
        self.log = []
        self.first_logged = 1
        self.leases = {}
        self.calls = 0
        self.writes = 0

    def read(self, key, now):
        self._lapse(now)
        held = self.held.get(key)
        return None if held is None else self._entry(key, held)

    def list(self, prefix, now):
        self._lapse(now)
        found = sorted(key for key in self.held if key.startswith(prefix))
        entries = [self._entry(key, self.held[key]) for key in found]
        return {'revision': self.revision, 'entries': entries}

    def swap(self, key, value, expected, lease, now):
        """Return (status, revision)."""
        self._lapse(now)
        if lease and lease not in self.leases:
            return 404, self.revision
        held = self.held.get(key)
        current = 0 if held is None else held.revision
        if current != expected:
            return 409, current
        return 200, self._write(key, value, lease)

    def changes(self, prefix, after, now):
        """Return the changes after a revision; None if it is compacted."""
        self._lapse(now)
        if after + 1 < self.first_logged:
            return None
        found = {}
        for entry in self.log[max(0, after + 1 - self.first_logged) :]:
            if entry['key'].startswith(prefix):
                found[entry['key']] = entry
        ordered = sorted(found.values(), key=lambda one: one['revision'])
        return {'revision': self.revision, 'entries': ordered}

    def grant(self, ttl, now):
        lease = f'lease-{self.revision}-{len(self.leases)}-{now:.6f}'
        self.leases[lease] = (ttl, now + ttl)
        return lease

    def renew(self, lease, now):
        self._lapse(now)
        if lease not in self.leases:
            return False
        ttl, _ = self.leases[lease]
        self.leases[lease] = (ttl, now + ttl)
        return True

    def compact(self):
        self.first_logged = self.revision + 1
        self.log = []

    def _write(self, key, value, lease):
        self.revision += 1
        self.writes += 1
        if value is None:
            self.held.pop(key, None)
        else:
            self.held[key] = Held(value, self.revision, lease)
        self.log.append({'key': key, 'value': value, 'revision': self.revision})
        if len(self.log) > HISTORY:
            self.log.pop(0)
            self.first_logged += 1
        return self.revision

    def _lapse(self, now):
        gone = {key for key, (_, end) in self.leases.items() if end <= now}
        for lease in gone:
            del self.leases[lease]
        if not gone:
            return
        for key in [
            key for key, held in self.held.items() if held.lease in gone
        ]:
            self._write(key, None, '')

    def _entry(self, key, held):
        return {'key': key, 'value': held.value, 'revision': held.revision}

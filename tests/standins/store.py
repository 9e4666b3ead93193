"""An in-memory model of the platform's KV, without I/O.

It models revisions, leases and the changes that a watch returns.
"""

from typing import NamedTuple

MAX_LOG_ENTRIES = 10_000


class StoredValue(NamedTuple):
    value: str | None
    revision: int
    lease: str


class Store:
    """The state of the KV; callers pass the current time."""

    def __init__(self):
        self.revision = 0
        self.stored = {}
        self.log = []
        self.first_logged = 1
        self.leases = {}
        self.calls = 0
        self.writes = 0

    def read(self, key, now):
        self._expire_leases(now)
        stored = self.stored.get(key)
        return None if stored is None else self._entry(key, stored)

    def list(self, prefix, now):
        self._expire_leases(now)
        keys = sorted(key for key in self.stored if key.startswith(prefix))
        entries = [self._entry(key, self.stored[key]) for key in keys]
        return {'revision': self.revision, 'entries': entries}

    def swap(self, key, value, expected, lease, now):
        """Return the HTTP status and the revision of the reply."""
        self._expire_leases(now)
        if lease and lease not in self.leases:
            return 404, self.revision
        stored = self.stored.get(key)
        current = 0 if stored is None else stored.revision
        if current != expected:
            return 409, current
        return 200, self._write(key, value, lease)

    def changes(self, prefix, after, now):
        """Return the changes after a revision; None if they are compacted."""
        self._expire_leases(now)
        if after + 1 < self.first_logged:
            return None
        newest = {}
        for entry in self.log[max(0, after + 1 - self.first_logged) :]:
            if entry['key'].startswith(prefix):
                newest[entry['key']] = entry
        ordered = sorted(newest.values(), key=lambda entry: entry['revision'])
        return {'revision': self.revision, 'entries': ordered}

    def grant(self, ttl, now):
        lease = f'lease-{self.revision}-{len(self.leases)}-{now:.6f}'
        self.leases[lease] = (ttl, now + ttl)
        return lease

    def renew(self, lease, now):
        self._expire_leases(now)
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
            self.stored.pop(key, None)
        else:
            self.stored[key] = StoredValue(value, self.revision, lease)
        self.log.append({'key': key, 'value': value, 'revision': self.revision})
        if len(self.log) > MAX_LOG_ENTRIES:
            self.log.pop(0)
            self.first_logged += 1
        return self.revision

    def _expire_leases(self, now):
        expired = {
            lease for lease, (_, end) in self.leases.items() if end <= now
        }
        for lease in expired:
            del self.leases[lease]
        if not expired:
            return
        for key in [
            key
            for key, stored in self.stored.items()
            if stored.lease in expired
        ]:
            self._write(key, None, '')

    def _entry(self, key, stored):
        return {'key': key, 'value': stored.value, 'revision': stored.revision}

"""The replicas in service, through outages of the store."""

from collections.abc import Mapping
from typing import Final

from crocusroad_core.discovery._registration import Registration

# Replicas that live register again within about two seconds of the store's
# return; the rest is the age of a watch's answer.
REREGISTRATION_SECONDS: Final = 2.3


class ReplicaTable:
    """Registrations by key, with those that lapsed in an outage held.

    A registration that is removed while the store is well names a replica
    that is gone. One removed during an outage, or just after it, may belong
    to a replica that could not renew it: it is held until `RETURN_SECONDS`
    after the store's return, unless it was draining.
    """

    def __init__(self) -> None:
        self._registrations: dict[str, Registration] = {}
        self._held: set[str] = set()  # removed, but still used
        self._is_store_down = False  # the store does not answer
        self._recovered_at = float('-inf')
        self._by_service: dict[str, tuple[Registration, ...]] = {}

    @property
    def size(self) -> int:
        """Return how many replicas are known."""
        return len(self._registrations)

    @property
    def held_count(self) -> int:
        """Return how many are used though their registration lapsed."""
        return len(self._held)

    @property
    def addresses(self) -> frozenset[str]:
        """Return the addresses of all replicas, also of those that leave."""
        return frozenset(one.address for one in self._registrations.values())

    def replicas(self, service: str) -> tuple[Registration, ...]:
        """Return the replicas of a service that take new work."""
        found = self._by_service.get(service)
        if found is None:
            found = tuple(
                one
                for one in self._registrations.values()
                if one.service == service and not one.is_draining
            )
            self._by_service[service] = found
        return found

    def put(self, key: str, entry: Registration) -> bool:
        """Take a registration; False if nothing of use changed."""
        self._held.discard(key)
        known = self._registrations.get(key)
        if known and known.start_time_ms > entry.start_time_ms:
            return False
        self._registrations[key] = entry
        if (
            known
            and known._replace(warmup_seconds=entry.warmup_seconds) == entry
        ):
            return False
        self._by_service.clear()
        return True

    def remove(self, key: str, now: float) -> bool:
        """Take a removal; False if the replica stays in use for now."""
        known = self._registrations.get(key)
        if known is None:
            return False
        if self._is_uncertain(now) and not known.is_draining:
            self._held.add(key)
            return False
        self._drop(key)
        return True

    def replace(
        self,
        entries: Mapping[str, Registration],
        now: float,
    ) -> list[str]:
        """Take a whole listing; return the keys that are gone by it."""
        for key, entry in entries.items():
            self.put(key, entry)
        missing = tuple(self._registrations.keys() - entries.keys())
        return [lost for lost in missing if self.remove(lost, now)]

    def on_store_lost(self, now: float) -> None:
        """Note that the store does not answer."""
        self._is_store_down = True

    def on_store_recovered(self, now: float) -> None:
        """Note that the store answers; has no effect if it did before."""
        if self._is_store_down:
            self._is_store_down = False
            self._recovered_at = now

    def expire(self, now: float) -> list[str]:
        """Drop what did not come back in time; return the keys."""
        if not self._held or self._is_uncertain(now):
            return []
        gone = list(self._held)
        for key in gone:
            self._drop(key)
        return gone

    def next_expiry(self) -> float | None:
        """Return when `expire` has something to do; None: not yet known."""
        if not self._held or self._is_store_down:
            return None
        return self._recovered_at + REREGISTRATION_SECONDS

    def _is_uncertain(self, now: float) -> bool:
        return (
            self._is_store_down
            or now < self._recovered_at + REREGISTRATION_SECONDS
        )

    def _drop(self, key: str) -> None:
        self._registrations.pop(key, None)
        self._held.discard(key)
        self._by_service.clear()

"""The table of registered replicas, which survives outages of the store."""

from collections.abc import Mapping
from typing import Final

from crocusroad_core.discovery._registration import Registration

# Running replicas register again within about two seconds of the store's
# recovery; the rest allows for the age of a watch response.
REREGISTRATION_SECONDS: Final = 2.3


class ReplicaTable:
    """Registrations by key, including those that lapsed during an outage.

    A registration that is removed while the store is available belongs to a
    replica that is gone. One that is removed during an outage, or shortly
    after it, may belong to a running replica that could not renew it. Such a
    registration is held until `REREGISTRATION_SECONDS` after the store's
    recovery, unless the replica was draining.
    """

    def __init__(self) -> None:
        self._registrations: dict[str, Registration] = {}
        self._held: set[str] = set()  # keys that are removed but still used
        self._is_store_down = False
        self._recovered_at = float('-inf')
        self._by_service: dict[str, tuple[Registration, ...]] = {}

    @property
    def size(self) -> int:
        """Return the number of replicas in the table."""
        return len(self._registrations)

    @property
    def held_count(self) -> int:
        """Return the number of replicas in use whose registration lapsed."""
        return len(self._held)

    @property
    def accepting(self) -> tuple[Registration, ...]:
        """Return the replicas that accept new work."""
        return tuple(
            registration
            for registration in self._registrations.values()
            if not registration.is_draining
        )

    def replicas(self, service: str) -> tuple[Registration, ...]:
        """Return the replicas of a service that accept new work."""
        if not self._by_service:
            self._by_service = self._group_by_service()
        return self._by_service.get(service, ())

    def put(self, key: str, registration: Registration) -> bool:
        """Add or update a registration.

        Returns False if the registration belongs to an older incarnation of
        the replica or changes nothing except its warm-up time.
        """
        self._held.discard(key)
        known = self._registrations.get(key)
        if known and known.start_time_ms > registration.start_time_ms:
            return False
        self._registrations[key] = registration
        if (
            known
            and known._replace(warmup_seconds=registration.warmup_seconds)
            == registration
        ):
            return False
        self._by_service.clear()
        return True

    def remove(self, key: str, now: float) -> bool:
        """Remove a registration.

        Returns False if the key is unknown or the replica is held for now.
        """
        known = self._registrations.get(key)
        if known is None:
            return False
        if self._may_have_lapsed(now) and not known.is_draining:
            self._held.add(key)
            return False
        self._drop(key)
        return True

    def replace(
        self,
        registrations: Mapping[str, Registration],
        now: float,
    ) -> list[str]:
        """Apply a complete listing and return the keys that it removed."""
        for key, registration in registrations.items():
            self.put(key, registration)
        missing = tuple(self._registrations.keys() - registrations.keys())
        return [absent for absent in missing if self.remove(absent, now)]

    def on_store_lost(self, now: float) -> None:
        """Record that the store does not answer."""
        self._is_store_down = True

    def on_store_recovered(self, now: float) -> None:
        """Record that the store answers; a no-op if it was available."""
        if self._is_store_down:
            self._is_store_down = False
            self._recovered_at = now

    def expire(self, now: float) -> list[str]:
        """Drop the held replicas that did not register again in time.

        Returns their keys.
        """
        if not self._held or self._may_have_lapsed(now):
            return []
        expired = list(self._held)
        for key in expired:
            self._drop(key)
        return expired

    def next_expiry(self) -> float | None:
        """Return the time from which `expire` drops the held replicas.

        None while no replica is held or the store is unavailable.
        """
        if not self._held or self._is_store_down:
            return None
        return self._recovered_at + REREGISTRATION_SECONDS

    def _group_by_service(self) -> dict[str, tuple[Registration, ...]]:
        groups: dict[str, list[Registration]] = {}
        for registration in self._registrations.values():
            if not registration.is_draining:
                groups.setdefault(registration.service, []).append(registration)
        return {service: tuple(group) for service, group in groups.items()}

    def _may_have_lapsed(self, now: float) -> bool:
        return (
            self._is_store_down
            or now < self._recovered_at + REREGISTRATION_SECONDS
        )

    def _drop(self, key: str) -> None:
        self._registrations.pop(key, None)
        self._held.discard(key)
        self._by_service.clear()

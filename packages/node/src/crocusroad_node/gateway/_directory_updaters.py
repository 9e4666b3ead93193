"""What the store says, taken into the directory."""

import asyncio
import logging
from collections.abc import Mapping
from time import monotonic

from returns.result import Success

from crocusroad_core.discovery import Registration
from crocusroad_node.gateway._dialect import Dialect
from crocusroad_node.gateway._directory import Directory
from crocusroad_node.kv import Entry
from crocusroad_node.logs import log_event

_logger = logging.getLogger(__name__)


class ConfigUpdater:
    """Puts each newer configuration in force."""

    def __init__(self, directory: Directory, dialect: Dialect) -> None:
        self._directory = directory
        self._dialect = dialect

    def take_listing(self, entries: Mapping[str, Entry]) -> None:
        """Take all keys below the prefix."""
        self.take_changes(list(entries.values()))

    def take_changes(self, entries: list[Entry]) -> None:
        """Take changed keys."""
        for entry in entries:
            if entry.key == self._dialect.config_key and entry.value:
                self._take(entry.value, entry.revision)

    def _take(self, text: str, revision: int) -> None:
        decoded = self._dialect.decode_config(text)
        if not isinstance(decoded, Success):
            log_event(
                _logger,
                'configuration not understood',
                revision=revision,
                error=decoded.failure(),
            )
            return
        table = decoded.unwrap()
        now = monotonic()
        current_routes = self._directory.current_routes
        former = current_routes.version
        is_newer = current_routes.adopt(table, now)
        if is_newer:
            self._directory.refresh()
        if table.version != former:
            log_event(
                _logger,
                'configuration adopted' if is_newer else 'configuration old',
                version=table.version,
                former=former,
                revision=revision,
            )


class ReplicaUpdater:
    """Keeps the table of replicas as the store has it."""

    def __init__(self, directory: Directory, dialect: Dialect) -> None:
        self._directory = directory
        self._dialect = dialect
        self._loop = asyncio.get_running_loop()
        self._expiry: asyncio.TimerHandle | None = None

    def take_listing(self, entries: Mapping[str, Entry]) -> None:
        """Take all registrations."""
        decoded = {
            key: registration
            for key, entry in entries.items()
            if (registration := self._decode(entry)) is not None
        }
        table = self._directory.registrations
        gone = table.replace(decoded, monotonic())
        self._changed(gone, 'listing')

    def take_changes(self, entries: list[Entry]) -> None:
        """Take registrations that changed or are gone."""
        table = self._directory.registrations
        now = monotonic()
        gone: list[str] = []
        is_changed = False
        for entry in entries:
            registration = self._decode(entry)
            if registration is None:
                if table.remove(entry.key, now):
                    gone.append(entry.key)
            elif table.put(entry.key, registration):
                is_changed = True
                _note_state(registration, entry.revision)
        if gone or is_changed:
            self._changed(gone, 'change')
        self._plan_expiry()

    def take_reach(self, is_reached: bool) -> None:
        """Take that the store was lost, or is back."""
        table = self._directory.registrations
        now = monotonic()
        if is_reached:
            table.on_store_recovered(now)
        else:
            table.on_store_lost(now)
        self._plan_expiry()

    def _decode(self, entry: Entry) -> Registration | None:
        if entry.value is None:
            return None
        decoded = self._dialect.decode_registration(entry.key, entry.value)
        if isinstance(decoded, Success):
            registration: Registration = decoded.unwrap()
            return registration
        log_event(
            _logger,
            'registration not understood',
            key=entry.key,
            revision=entry.revision,
            error=decoded.failure(),
        )
        return None

    def _changed(self, gone: list[str], cause: str) -> None:
        self._directory.refresh()
        if gone:
            log_event(
                _logger,
                'replicas gone',
                keys=gone,
                cause=cause,
                held=self._directory.registrations.held_count,
            )

    def _plan_expiry(self) -> None:
        if self._expiry is not None:
            self._expiry.cancel()
            self._expiry = None
        when = self._directory.registrations.next_expiry()
        if when is not None:
            self._expiry = self._loop.call_at(when, self._expire)

    def _expire(self) -> None:
        self._expiry = None
        gone = self._directory.registrations.expire(monotonic())
        if gone:
            self._changed(gone, 'not back after the outage')
        self._plan_expiry()


def _note_state(registration: Registration, revision: int) -> None:
    log_event(
        _logger,
        'replica registered',
        replica=registration.name,
        service=registration.service,
        address=registration.address,
        draining=registration.is_draining,
        revision=revision,
    )

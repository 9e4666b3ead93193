"""Handlers that apply the store's keys to the directory."""

import asyncio
import logging
from collections.abc import Mapping
from time import monotonic

from returns.result import Success

from crocusroad_core.discovery import Registration
from crocusroad_node.gateway._directory import Directory
from crocusroad_node.gateway._platform_protocol import PlatformProtocol
from crocusroad_node.kv import Entry
from crocusroad_node.logs import log_event

_logger = logging.getLogger(__name__)


class ConfigUpdater:
    """Applies each newer configuration to the directory."""

    def __init__(
        self, directory: Directory, protocol: PlatformProtocol
    ) -> None:
        self._directory = directory
        self._protocol = protocol

    def on_listing(self, entries: Mapping[str, Entry]) -> None:
        """Apply a complete listing of the prefix."""
        self.on_changes(list(entries.values()))

    def on_changes(self, entries: list[Entry]) -> None:
        """Apply the configuration if it is among the changed keys."""
        for entry in entries:
            if entry.key == self._protocol.config_key and entry.value:
                self._apply(entry.value, entry.revision)

    def _apply(self, text: str, revision: int) -> None:
        decoded = self._protocol.decode_config(text)
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
        current = self._directory.current_routes
        former = current.version
        is_newer = current.adopt(table, now)
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
    """Applies replica registrations to the directory.

    Also schedules the expiry of the replicas whose registration lapsed while
    the store was unavailable.
    """

    def __init__(
        self, directory: Directory, protocol: PlatformProtocol
    ) -> None:
        self._directory = directory
        self._protocol = protocol
        self._loop = asyncio.get_running_loop()
        self._expiry: asyncio.TimerHandle | None = None

    def on_listing(self, entries: Mapping[str, Entry]) -> None:
        """Apply a complete listing of the registrations."""
        decoded = {
            key: registration
            for key, entry in entries.items()
            if (registration := self._decode(entry)) is not None
        }
        table = self._directory.registrations
        gone = table.replace(decoded, monotonic())
        self._refresh(gone, 'listing')
        self._schedule_expiry()

    def on_changes(self, entries: list[Entry]) -> None:
        """Apply registrations that were changed or removed."""
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
                _log_registration(registration, entry.revision)
        if gone or is_changed:
            self._refresh(gone, 'change')
        self._schedule_expiry()

    def on_reachability(self, is_reachable: bool) -> None:
        """Record that the store was lost or has recovered."""
        table = self._directory.registrations
        now = monotonic()
        if is_reachable:
            table.on_store_recovered(now)
        else:
            table.on_store_lost(now)
        self._schedule_expiry()

    def _decode(self, entry: Entry) -> Registration | None:
        if entry.value is None:
            return None
        decoded = self._protocol.decode_registration(entry.key, entry.value)
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

    def _refresh(self, gone: list[str], cause: str) -> None:
        self._directory.refresh()
        if gone:
            log_event(
                _logger,
                'replicas gone',
                keys=gone,
                cause=cause,
                held=self._directory.registrations.held_count,
            )

    def _schedule_expiry(self) -> None:
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
            self._refresh(gone, 'not back after the outage')
        self._schedule_expiry()


def _log_registration(registration: Registration, revision: int) -> None:
    log_event(
        _logger,
        'replica registered',
        replica=registration.name,
        service=registration.service,
        address=registration.address,
        draining=registration.is_draining,
        revision=revision,
    )

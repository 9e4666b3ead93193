"""The routes and replicas that a gateway currently uses."""

import logging
from collections.abc import Callable, Iterable

from crocusroad_core.discovery import (
    Registration,
    ReplicaNotice,
    ReplicaNotices,
    ReplicaTable,
)
from crocusroad_core.fronts import Replica
from crocusroad_core.routes import CurrentRouteTable, RouteTable
from crocusroad_core.routing import Router
from crocusroad_node.logs import log_event

_logger = logging.getLogger(__name__)


class Directory:
    """The current routes and the replicas of each service.

    `retain` is called after each change with the addresses of the replicas that
    accept new work, so that no request is sent to another one any more.
    `release` is called with an address whose replica wants no requests for a
    while, so that those that wait for it go elsewhere.
    """

    def __init__(
        self,
        current_routes: CurrentRouteTable,
        registrations: ReplicaTable,
        router: Router,
        retain: Callable[[frozenset[str]], None],
        release: Callable[[str], None],
        clock: Callable[[], float],
    ) -> None:
        self.current_routes = current_routes
        self.registrations = registrations
        self._router = router
        self._retain = retain
        self._release = release
        self._clock = clock
        self._replicas: dict[str, tuple[Replica, ...]] = {}  # by service
        self._accepting: dict[str, Registration] = {}  # by name
        self._notices = ReplicaNotices()
        self.change_count = 0

    @property
    def table(self) -> RouteTable | None:
        """Return the current routes; None before the first configuration."""
        return self.current_routes.table

    @property
    def is_populated(self) -> bool:
        """Tell whether there are routes and at least one replica."""
        return (
            self.current_routes.table is not None
            and self.registrations.size > 0
        )

    def is_shard(self, service: str) -> bool:
        """Tell whether the current routes fan out to a service."""
        table = self.current_routes.table
        return table is not None and table.is_shard(service)

    def replicas(self, service: str) -> tuple[Replica, ...]:
        """Return the replicas of a service that accept new work."""
        replicas = self._replicas.get(service)
        if replicas is None:
            replicas = self._build_replicas(service)
            self._replicas[service] = replicas
        return replicas

    def accepts_work(self, replica: Replica, now: float) -> bool:
        """Tell whether a replica is registered, stays and takes requests."""
        if replica.name not in self._accepting:
            return False
        return self._notices.rests_until(replica.name, now) <= now

    def has_resting(self, now: float) -> bool:
        """Tell whether any replica wants no requests for now."""
        return self._notices.has_resting(now)

    def rest_seconds(self, services: Iterable[str], now: float) -> float:
        """Return when each of the services has a replica that takes requests.

        The result is in seconds from now; 0 if no service waits for that.
        """
        ends = [
            self._notices.rest_end(
                (replica.name for replica in self.replicas(service)), now
            )
            for service in services
        ]
        return max(ends, default=now) - now

    def on_notice(self, replica: Replica, notice: ReplicaNotice) -> None:
        """Apply what the replica at an address has said in an answer.

        Another replica than the one asked may have the address by now.
        """
        now = self._clock()
        is_news = [
            self._notices.record(registration, notice, now)
            for registration in self._accepting.values()
            if registration.address == replica.address
        ]
        if not any(is_news):
            return
        log_event(
            _logger,
            'replica notice',
            replica=replica.name,
            leaving=notice.is_leaving,
            rest_seconds=notice.rest_seconds,
        )
        if notice.is_leaving:
            self.refresh()
        else:
            self.change_count += 1
            self._release(replica.address)

    def refresh(self) -> None:
        """Apply changes of the route table or of the replica table."""
        self._replicas.clear()
        self.change_count += 1
        now = self._clock()
        self._accepting = {
            replica.name: replica
            for replica in self.registrations.accepting
            if not self._notices.is_leaving(replica, now)
        }
        self._retain(
            frozenset(replica.address for replica in self._accepting.values())
        )

    def _build_replicas(self, service: str) -> tuple[Replica, ...]:
        table = self.current_routes.table
        service_config = None if table is None else table.services.get(service)
        limit = 1 if service_config is None else service_config.max_connections
        registrations = [
            registration
            for registration in self.registrations.replicas(service)
            if registration.name in self._accepting
        ]
        replicas = tuple(
            _replica(registration, limit, self.is_shard(service))
            for registration in registrations
        )
        self._router.on_front(service, replicas, self._clock())
        return replicas


def _replica(
    registration: Registration,
    connections: int,
    is_shard: bool,
) -> Replica:
    return Replica(
        name=registration.name,
        address=registration.address,
        zone=registration.zone,
        slots=registration.slots,
        connections=connections,
        is_shard=is_shard,
    )

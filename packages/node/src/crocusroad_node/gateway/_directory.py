"""What a gateway believes of routes and replicas."""

from collections.abc import Callable

from crocusroad_core.discovery import Registration, ReplicaTable
from crocusroad_core.fronts import Replica
from crocusroad_core.routes import CurrentRouteTable, RouteTable
from crocusroad_core.routing import Router


class Directory:
    """The routes in force and the replicas of each service."""

    def __init__(
        self,
        current_routes: CurrentRouteTable,
        registrations: ReplicaTable,
        router: Router,
        retain: Callable[[frozenset[str]], None],
        clock: Callable[[], float],
    ) -> None:
        self.current_routes = current_routes
        self.registrations = registrations
        self._router = router
        self._retain = retain  # told of the addresses that are known
        self._clock = clock
        self._candidates: dict[str, tuple[Replica, ...]] = {}

    @property
    def table(self) -> RouteTable | None:
        """Return the routes in force; None if none is known yet."""
        return self.current_routes.table

    @property
    def is_populated(self) -> bool:
        """Tell whether requests can be served."""
        return (
            self.current_routes.table is not None
            and self.registrations.size > 0
        )

    def is_shard(self, service: str) -> bool:
        """Tell whether routes in force fan out to a service."""
        table = self.current_routes.table
        return table is not None and table.is_shard(service)

    def replicas(self, service: str) -> tuple[Replica, ...]:
        """Return the replicas of a service that take new work."""
        found = self._candidates.get(service)
        if found is None:
            found = self._build(service)
            self._candidates[service] = found
        return found

    def refresh(self) -> None:
        """Take what changed in the table of routes or of replicas."""
        self._candidates.clear()
        self._retain(self.registrations.addresses)

    def _build(self, service: str) -> tuple[Replica, ...]:
        table = self.current_routes.table
        known = None if table is None else table.services.get(service)
        limit = 1 if known is None else known.max_connections
        listed = self.registrations.replicas(service)
        found = tuple(
            _replica(one, limit, self.is_shard(service)) for one in listed
        )
        self._router.on_front(service, found, self._clock())
        return found


def _replica(
    entry: Registration,
    connections: int,
    is_shard: bool,
) -> Replica:
    return Replica(
        name=entry.name,
        address=entry.address,
        zone=entry.zone,
        slots=entry.slots,
        connections=connections,
        is_shard=is_shard,
    )

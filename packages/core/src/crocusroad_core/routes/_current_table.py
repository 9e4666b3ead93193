"""The route table that an instance currently uses."""

from crocusroad_core.routes._table import RouteTable


class CurrentRouteTable:
    """The newest route table received; an older one never replaces it."""

    def __init__(self) -> None:
        self.table: RouteTable | None = None  # None until one is adopted
        self.adopted_at = float('-inf')  # seconds, monotonic clock

    @property
    def version(self) -> int:
        """Return the version of the current table; 0 if there is none."""
        return self.table.version if self.table else 0

    def adopt(self, table: RouteTable, now: float) -> bool:
        """Make a table the current one; return False if it is not newer."""
        if table.version <= self.version:
            return False
        self.table = table
        self.adopted_at = now
        return True

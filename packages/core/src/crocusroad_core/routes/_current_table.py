"""The configuration in force on an instance."""

from crocusroad_core.routes._table import RouteTable


class CurrentRouteTable:
    """Holds the newest table seen; an older one never takes its place."""

    def __init__(self) -> None:
        self.table: RouteTable | None = None  # None: none was seen yet
        self.adopted_at = float('-inf')  # seconds, steady clock

    @property
    def version(self) -> int:
        """Return the version in force; 0 if there is none."""
        return self.table.version if self.table else 0

    def adopt(self, table: RouteTable, now: float) -> bool:
        """Put a table in force; False if it is not newer."""
        if table.version <= self.version:
            return False
        self.table = table
        self.adopted_at = now
        return True

"""Selection of the index version that a query is answered from."""

from crocusroad_core.snapshots._version_selector import VersionSelector

__all__ = ['VersionSelector']

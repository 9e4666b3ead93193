"""Choice of the index version that a query is answered from."""

from crocusroad_core.snapshots._version_view import VersionView

__all__ = ['VersionView']

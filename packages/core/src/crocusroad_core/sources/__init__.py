"""From whom an instance learns what the store holds."""

from crocusroad_core.sources._fleet_member import FleetMember
from crocusroad_core.sources._source_selector import SourceSelector
from crocusroad_core.sources._store_copy import StoreCopy

__all__ = ['FleetMember', 'SourceSelector', 'StoreCopy']

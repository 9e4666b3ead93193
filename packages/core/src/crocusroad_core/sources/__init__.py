"""Selection of the instances from which others read the store's data."""

from crocusroad_core.sources._fleet_member import FleetMember
from crocusroad_core.sources._source_selector import SourceSelector
from crocusroad_core.sources._store_copy import StoreCopy

__all__ = ['FleetMember', 'SourceSelector', 'StoreCopy']

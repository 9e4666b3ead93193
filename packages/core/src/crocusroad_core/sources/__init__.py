"""From whom an instance learns what the store holds."""

from crocusroad_core.sources._copy import StoreCopy
from crocusroad_core.sources._member import FleetMember
from crocusroad_core.sources._ring import SourceSelector

__all__ = ['FleetMember', 'SourceSelector', 'StoreCopy']

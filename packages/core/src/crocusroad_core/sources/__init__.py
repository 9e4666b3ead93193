"""From whom an instance learns what the store holds."""

from crocusroad_core.sources._copy import StoreCopy
from crocusroad_core.sources._member import Member
from crocusroad_core.sources._ring import SourceRing

__all__ = ['Member', 'SourceRing', 'StoreCopy']

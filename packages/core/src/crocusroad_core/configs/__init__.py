"""Configuration of fronts: adoption on nodes, and writes by operators."""

from crocusroad_core.configs._change import Adoption, Change, FrontEvent
from crocusroad_core.configs._exchange import (
    ImportResult,
    export_changes,
    import_changes,
)
from crocusroad_core.configs._history import ChangeHistory
from crocusroad_core.configs._polling import is_watcher, poll_period
from crocusroad_core.configs._registry import FrontRegistry
from crocusroad_core.configs._status import front_status
from crocusroad_core.configs._stored_front import (
    LineageEntry,
    StoredFront,
    decode_stored_front,
    encode_stored_front,
)
from crocusroad_core.configs._synchronizer import (
    AppliedChange,
    FrontSynchronizer,
)
from crocusroad_core.configs._write import FrontWrite
from crocusroad_core.configs._write_command import (
    ReadKey,
    SwapKey,
    WriteCommand,
    WriteDone,
    WriteOutcome,
)

__all__ = [
    'Adoption',
    'AppliedChange',
    'Change',
    'ChangeHistory',
    'FrontEvent',
    'FrontRegistry',
    'FrontSynchronizer',
    'FrontWrite',
    'ImportResult',
    'LineageEntry',
    'ReadKey',
    'StoredFront',
    'SwapKey',
    'WriteCommand',
    'WriteDone',
    'WriteOutcome',
    'decode_stored_front',
    'encode_stored_front',
    'export_changes',
    'front_status',
    'import_changes',
    'is_watcher',
    'poll_period',
]

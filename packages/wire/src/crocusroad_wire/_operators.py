"""Messages of the operators' interface besides the front itself."""

from typing import Literal, TypedDict

from crocusroad_wire._problem import Fault

ChangeKind = Literal['applied', 'deleted']


class WriteReceipt(TypedDict):
    """A write that was accepted."""

    name: str
    revision: int


class CheckReport(TypedDict):
    """The faults of a spec that was only checked."""

    faults: list[Fault]


class FrontChange(TypedDict):
    """One change of a front, as the watch streams it."""

    change: ChangeKind
    name: str
    revision: int


class PeerStatus(TypedDict):
    """Another node, as the answering node sees it."""

    name: str
    zone: str
    state: str
    position: int  # revision of the store up to which it adopted all


class NodeStatus(TypedDict):
    """The state of the answering node."""

    instance: str
    zone: str
    state: str
    position: int  # revision of the store up to which it adopted all
    fronts: dict[str, int]  # revision in force by front
    peers: list[PeerStatus]

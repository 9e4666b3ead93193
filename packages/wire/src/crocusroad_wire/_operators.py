"""Messages of the operators' interface other than the front resource."""

from typing import Literal, TypedDict

from crocusroad_wire._problem import Fault

ChangeKind = Literal['applied', 'deleted']


class WriteReceipt(TypedDict):
    """The acknowledgement of an accepted write."""

    name: str
    revision: int


class CheckReport(TypedDict):
    """The faults found by a check that does not apply the spec."""

    faults: list[Fault]


class FrontChange(TypedDict):
    """A change of a front, as the watch stream delivers it."""

    change: ChangeKind
    name: str
    revision: int


class PeerStatus(TypedDict):
    """Another node, as the answering node sees it."""

    name: str
    zone: str
    state: str
    position: int  # store revision up to which it adopted all changes


class NodeStatus(TypedDict):
    """The state of the answering node."""

    instance: str
    zone: str
    state: str
    position: int  # store revision up to which it adopted all changes
    fronts: dict[str, int]  # front name to revision in force
    peers: list[PeerStatus]

"""The two users' sizes, as the bench sets them up."""

from typing import NamedTuple


class FrontSize(NamedTuple):
    """One front of a profile: its upstreams and its request mix."""

    name: str
    shards: int
    replicas: int  # a shard
    slots: int  # a replica
    connections: int  # a replica, over all instances
    connect_ms: float
    service_ms: float  # mean
    mix: tuple['KindShare', ...]

    @property
    def capacity(self) -> float:
        """Return the queries a second at which every slot is busy."""
        return self.replicas * self.slots / (self.service_ms / 1000)


class KindShare(NamedTuple):
    """A request kind and its share of a front's load."""

    name: str
    worth: float
    share: float
    deadline_ms: int


class Profile(NamedTuple):
    """One user's system."""

    name: str
    zones: tuple[str, ...]
    zone_ms: float  # one way
    instances: int
    fronts: tuple[FrontSize, ...]


_DESK_MIX = (
    KindShare('dispatch', 10, 0.2, 500),
    KindShare('lookup', 5, 0.5, 800),
    KindShare('browse', 1, 0.3, 1000),
)
_SWEEP_MIX = (
    KindShare('storm', 10, 0.2, 500),
    KindShare('station', 5, 0.5, 800),
    KindShare('sweep', 3, 0.3, 2000),
)


def _front(
    name: str, shards: int, mix: tuple[KindShare, ...], **sizes: float
) -> FrontSize:
    base = FrontSize(name, shards, 2, 2, 25, 6.0, 40.0, mix)
    return base._replace(**sizes)


PROFILES = {
    'erdenet': Profile(
        name='erdenet',
        zones=('a', 'b', 'c'),
        zone_ms=4.0,
        instances=7,
        fronts=(
            _front('call-desk', 20, _DESK_MIX),
            _front('resident-portal', 30, _DESK_MIX),
            _front('meter-field', 4, _DESK_MIX, connections=110, connect_ms=1),
        ),
    ),
    'dalmacija': Profile(
        name='dalmacija',
        zones=('a', 'b', 'c', 'd'),
        zone_ms=5.0,
        instances=8,
        fronts=(
            _front('nadzor-obale', 20, _SWEEP_MIX),
            _front('clanarina', 30, _SWEEP_MIX),
            _front(
                'izvjesca-opcina',
                2,
                _SWEEP_MIX,
                slots=3,
                connections=40,
                connect_ms=1,
            ),
        ),
    ),
}

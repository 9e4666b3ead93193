"""Which nodes watch the KV, and how often the others look."""

from collections.abc import Collection

from xxhash import xxh64_intdigest

WATCHERS = 5  # nodes that hold a watch
CHECKS_PER_SECOND = 200  # of the whole fleet; a tenth of the KV's reads
SHORTEST_CHECK_SECONDS = 2.0
LONGEST_CHECK_SECONDS = 15.0
JITTER = 0.2  # share of the period


def is_watcher(
    own_name: str,
    members: Collection[str],
    count: int = WATCHERS,
) -> bool:
    """Tell whether a node is among the `count` that watch the KV.

    By rendezvous hashing over the members as this node sees them. Nodes that
    see others may differ; then a few more or fewer watch, and the checks of
    the others bound the delay.
    """
    own = _rank(own_name)
    ahead = sum(_rank(name) > own for name in members if name != own_name)
    return ahead < count


def poll_period(members: int, jitter: float) -> float:
    """Return the seconds until a node without a watch looks at the KV.

    Args:
        members: Nodes that this node sees, itself included.
        jitter: A random number from 0 to 1.
    """
    period = members / CHECKS_PER_SECOND
    period = max(SHORTEST_CHECK_SECONDS, min(period, LONGEST_CHECK_SECONDS))
    return period * (1 - JITTER * jitter)


def _rank(name: str) -> int:
    return xxh64_intdigest(name.encode())

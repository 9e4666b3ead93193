"""Which nodes watch the KV, and how often the others poll it."""

from collections.abc import Collection

from xxhash import xxh64_intdigest

WATCHER_COUNT = 5  # nodes that keep a watch open
POLLS_PER_SECOND = 200  # of the whole fleet; a tenth of the KV's read capacity
MIN_POLL_SECONDS = 2.0
MAX_POLL_SECONDS = 15.0
MAX_JITTER = 0.2  # share of the period


def is_watcher(
    own_name: str,
    members: Collection[str],
    count: int = WATCHER_COUNT,
) -> bool:
    """Return whether a node is among the `count` nodes that watch the KV.

    Uses rendezvous hashing over the members that this node sees. Nodes may
    see different members; then a few more or fewer of them watch, and the
    polls of the others limit the delay.
    """
    own_rank = _rank(own_name)
    ahead = sum(_rank(name) > own_rank for name in members if name != own_name)
    return ahead < count


def poll_period(members: int, jitter: float) -> float:
    """Return the seconds until a node without a watch polls the KV again.

    Args:
        members: The number of nodes that this node sees, including itself.
        jitter: A random number from 0 to 1.
    """
    period = members / POLLS_PER_SECOND
    period = max(MIN_POLL_SECONDS, min(period, MAX_POLL_SECONDS))
    return period * (1 - MAX_JITTER * jitter)


def _rank(name: str) -> int:
    return xxh64_intdigest(name.encode())

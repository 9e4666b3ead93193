"""The share of an instance in the connections that a replica accepts.

Answers the load after all instances have lost power: replicas count the
connections of the earlier processes until they notice that nobody is there,
and reset new ones over their limit, with the requests sent on them.
"""

from typing import Final

# How long a replica may count connections of an instance that lost power.
STALE_SECONDS: Final = 2.5
# Part of its share that an instance uses meanwhile.
START_RATIO: Final = 0.5


def connection_share(
    accepted: int, instances: int, weight: float, uptime: float
) -> int:
    """Return how many connections an instance may have to a replica.

    One share is reserved for an instance that is being replaced.

    Args:
        accepted: How many the replica accepts from all instances.
        instances: The number of instances.
        weight: Of this instance; the average is 1.
        uptime: Seconds since this instance started.
    """
    share = accepted * weight / (instances + 1)
    if uptime < STALE_SECONDS:
        share *= START_RATIO
    return max(1, int(share))

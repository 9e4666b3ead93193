"""Where a front is in force."""

from collections.abc import Mapping

from crocusroad_wire import FrontStatus

PHASE_IN_FORCE = 'in-force'
PHASE_SPREADING = 'spreading'
LAGGING_SHOWN = 20  # names


def front_status(revision: int, positions: Mapping[str, int]) -> FrontStatus:
    """Return the status of a front at a revision.

    Args:
        revision: The revision that operators want in force.
        positions: The position of each node that is seen, by its name.
    """
    lagging = sorted(
        name for name, position in positions.items() if position < revision
    )
    return FrontStatus(
        revision=revision,
        instances_seen=len(positions),
        instances_in_force=len(positions) - len(lagging),
        lagging=lagging[:LAGGING_SHOWN],
        phase=PHASE_SPREADING if lagging else PHASE_IN_FORCE,
    )

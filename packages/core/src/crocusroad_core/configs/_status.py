"""The rollout status of a front."""

from collections.abc import Mapping

from crocusroad_wire import FrontStatus

PHASE_IN_FORCE = 'in-force'
PHASE_SPREADING = 'spreading'
MAX_LAGGING_NAMES = 20  # in one status


def front_status(revision: int, positions: Mapping[str, int]) -> FrontStatus:
    """Return on how many nodes a revision of a front is active.

    Args:
        revision: The revision that operators declared.
        positions: The position of each visible node, by its name.
    """
    lagging = sorted(
        name for name, position in positions.items() if position < revision
    )
    return FrontStatus(
        revision=revision,
        instances_seen=len(positions),
        instances_in_force=len(positions) - len(lagging),
        lagging=lagging[:MAX_LAGGING_NAMES],
        phase=PHASE_SPREADING if lagging else PHASE_IN_FORCE,
    )

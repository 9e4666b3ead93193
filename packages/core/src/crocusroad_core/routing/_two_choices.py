"""Load balancing by the power of two choices."""

from collections.abc import Callable, Sequence
from typing import Final, TypeVar

T = TypeVar('T')

# Up to this number, all candidates are compared. With two drawn out of three,
# the replica that already has an open connection would be missed every third
# time.
MAX_FULL_COMPARISON: Final = 3  # candidates


def power_of_two_choices(
    candidates: Sequence[T],
    score: Callable[[T], float],
    draw: Callable[[], float],
) -> T:
    """Return the lower-scored of two candidates drawn at random.

    With up to `MAX_FULL_COMPARISON` candidates, return the lowest-scored of
    all. Ties are broken at random. `draw` returns floats in [0, 1).
    """
    count = len(candidates)
    if count == 1:
        return candidates[0]
    index = int(draw() * count)
    if count <= MAX_FULL_COMPARISON:
        return min((*candidates[index:], *candidates[:index]), key=score)
    offset = 1
    if count > 2:
        offset += int(draw() * (count - 1))
    first = candidates[index]
    second = candidates[(index + offset) % count]
    return first if score(first) <= score(second) else second

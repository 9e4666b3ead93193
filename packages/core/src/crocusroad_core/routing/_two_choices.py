"""The power of a few choices."""

from collections.abc import Callable, Sequence
from typing import Final, TypeVar

T = TypeVar('T')

# So many are all compared. Two drawn of three would leave the one with a
# connection at hand out every third time.
FEW: Final = 3


def least_of_few(
    choice: Sequence[T],
    score: Callable[[T], float],
    draw: Callable[[], float],
) -> T:
    """Return the lowest-scored one of a few; else of two drawn at random.

    Among equals the draw decides.
    """
    count = len(choice)
    if count == 1:
        return choice[0]
    place = int(draw() * count)
    if count <= FEW:
        return min((*choice[place:], *choice[:place]), key=score)
    step = 1
    if count > 2:
        step += int(draw() * (count - 1))
    one = choice[place]
    other = choice[(place + step) % count]
    return one if score(one) <= score(other) else other

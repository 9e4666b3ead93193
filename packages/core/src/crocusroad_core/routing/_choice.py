"""The power of two choices."""

from collections.abc import Callable, Sequence
from typing import TypeVar

T = TypeVar('T')


def lesser_of_two(
    choice: Sequence[T],
    score: Callable[[T], float],
    draw: Callable[[], float],
) -> T:
    """Return the lower-scored one of two drawn at random."""
    count = len(choice)
    if count == 1:
        return choice[0]
    place = int(draw() * count)
    step = 1
    if count > 2:
        step += int(draw() * (count - 1))
    one = choice[place]
    other = choice[(place + step) % count]
    return one if score(one) <= score(other) else other

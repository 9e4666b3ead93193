"""The time that a caller waits for the network between it and an instance."""

from typing import Final

# Assumed where a connection does not tell its round trip: the one to the
# farthest callers.
DEFAULT_ROUND_TRIP_SECONDS: Final = 0.006
# A connection that measured more than this was disturbed while it was opened.
MAX_ROUND_TRIP_SECONDS: Final = 0.015


def travel_seconds(round_trip: float, *, is_new_connection: bool) -> float:
    """Return the seconds that a caller waits outside the instance.

    The request and its answer take one round trip, which an instance sees no
    part of. Opening the connection takes another one before the request.
    """
    bounded = min(round_trip, MAX_ROUND_TRIP_SECONDS)
    return 2 * bounded if is_new_connection else bounded

"""Reasons for dropping a frame of the peer channel."""

from enum import StrEnum


class FrameFault(StrEnum):
    """Reason for dropping a frame.

    docs/operators/nodes.md lists the remedy for each reason.
    """

    too_short = 'too-short'
    too_large = 'too-large'
    unauthenticated = 'unauthenticated'
    malformed = 'malformed'
    version = 'version'
    foreign_cluster = 'foreign-cluster'
    untimely = 'untimely'
    replayed = 'replayed'
    unknown_kind = 'unknown-kind'
    unmatched_answer = 'not-the-answer'

"""Why a frame of the peers' channel was dropped."""

from enum import StrEnum


class FrameFault(StrEnum):
    """The reason; docs/operators/nodes.md says what to do about each."""

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

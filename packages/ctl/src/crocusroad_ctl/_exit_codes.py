"""Exit codes of `crocusctl`."""

from typing import Final

from crocusroad_wire import ProblemKind

EXIT_REFUSED = 1
EXIT_UNREACHABLE = 9

EXIT_CODE_BY_KIND: Final = {
    ProblemKind.conflict: 3,
    ProblemKind.invalid_spec: 4,
    ProblemKind.unknown_front: 5,
    ProblemKind.unauthorized: 6,
    ProblemKind.store_unavailable: 7,
    ProblemKind.write_unknown: 8,
    ProblemKind.revision_too_old: 10,
    ProblemKind.not_ready: 11,
    ProblemKind.draining: 11,
}


def exit_code(kind: str) -> int:
    """Return the exit code of a problem kind."""
    return EXIT_CODE_BY_KIND.get(ProblemKind(kind), EXIT_REFUSED)

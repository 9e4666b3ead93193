"""Running of hypothesis state machines and of their known-bad variants."""

from hypothesis import Phase, settings
from hypothesis.stateful import run_state_machine_as_test


def run_machine(machine, examples, steps, **more):
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=examples, stateful_step_count=steps, **more
        ),
    )


def variant_fault(machine, variant, examples, steps):
    """Return the fault that the machine finds in a known-bad variant."""
    attribute, bad = variant
    bad_machine = type('Variant', (machine,), {attribute: bad})
    try:
        run_machine(bad_machine, examples, steps, phases=(Phase.generate,))
    except AssertionError as exc:
        return str(exc)
    return None

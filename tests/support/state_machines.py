"""Runners for hypothesis state machines and their known-bad variants."""

from hypothesis import Phase, settings
from hypothesis.stateful import run_state_machine_as_test


def run_machine(machine, examples, steps, **options):
    """Run a state machine; `options` are further hypothesis settings."""
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=examples, stateful_step_count=steps, **options
        ),
    )


def find_failure(machine, variant, examples, steps):
    """Return the message of the failure that a known-bad variant causes.

    `variant` is the name of an attribute of the machine and its replacement.
    Return None if the machine does not detect it.
    """
    attribute, replacement = variant
    variant_machine = type('Variant', (machine,), {attribute: replacement})
    try:
        run_machine(variant_machine, examples, steps, phases=(Phase.generate,))
    except AssertionError as exc:
        return str(exc)
    return None

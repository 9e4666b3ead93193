"""Histories of admission, and the limits that hold over each."""

from hypothesis import given
from hypothesis import strategies as st
from returns.result import Success

from crocusroad_core.admission import (
    AdmissionController,
    ConcurrencyLimit,
    LiveInstanceCount,
)
from crocusroad_core.fronts import Caller, Front, RequestKind

FRONT = Front('front', 1, {}, {}, {})
KINDS = (
    RequestKind('urgent', 10, 0.3, True, 7),
    RequestKind('bulk', 1, 1.0, True, 5),
)
ACTIONS = ('admit', 'answer', 'hang-up', 'again', 'lag')
HISTORIES = st.lists(
    st.tuples(
        st.sampled_from(ACTIONS),
        st.sampled_from(KINDS),
        st.floats(0, 0.5),
        st.floats(-1, 2),
    ),
    max_size=80,
)


@given(HISTORIES)
def tickets_always_return(history):
    limit = ConcurrencyLimit()
    controller = AdmissionController(limit, LiveInstanceCount())
    caller = Caller('caller', '', 1000)
    now, held, gone = 0.0, [], []
    for action, kind, passed, left in history:
        now += passed
        if action == 'admit':
            before = controller.in_flight
            got = controller.admit(FRONT, caller, kind, left, now)
            if isinstance(got, Success):
                assert left > 0 and before < limit.limit
                held.append(got.unwrap())
            else:
                assert got.failure().ran == 'no'
                assert got.failure().retry_after > 0
                assert controller.in_flight == before
        elif action == 'lag':
            controller.on_lag(passed, now)
        elif action == 'again' and gone:
            controller.release(gone[-1], now, is_sample=True)
        elif held:
            gone.append(held.pop())
            controller.release(gone[-1], now, is_sample=action == 'answer')
        assert controller.in_flight == len(held)
        for one in KINDS:
            running = [ticket for ticket in held if ticket.kind == one.name]
            assert len(running) <= one.max_in_flight
    for ticket in held:
        controller.release(ticket, now, is_sample=False)
    assert controller.in_flight == 0


@given(st.floats(0.01, 30), st.floats(0.001, 2))
def no_refusal_for_ever(seen, left):
    """A kind whose estimate is stale is let in again by waiting."""
    controller = AdmissionController(ConcurrencyLimit(), LiveInstanceCount())
    caller, kind = Caller('caller', '', 1000), KINDS[0]
    ticket = controller.admit(FRONT, caller, kind, 60, 0.0).unwrap()
    controller.release(ticket, seen, is_sample=True)
    for step in range(120):
        got = controller.admit(FRONT, caller, kind, left, seen + step)
        if isinstance(got, Success):
            return
    raise AssertionError('refused for two minutes')


@given(
    st.lists(st.tuples(st.floats(0, 0.2), st.integers(1, 9)), max_size=300),
    st.floats(1, 100),
)
def caller_rate_holds(history, rate):
    """One instance admits no more than its part, whatever it sees."""
    live, now, admitted = LiveInstanceCount(), 0.0, 0
    live.observe(9, now)
    controller = AdmissionController(ConcurrencyLimit(), live)
    caller = Caller('caller', '', rate)
    for passed, count in history:
        now += passed
        live.observe(count, now)
        got = controller.admit(FRONT, caller, KINDS[0], 1.0, now)
        if isinstance(got, Success):
            admitted += 1
            controller.release(got.unwrap(), now, is_sample=False)
    part = rate / 9
    assert admitted <= max(1.0, part) + part * now + 1e-6

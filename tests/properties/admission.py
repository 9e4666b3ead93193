"""Properties of admission control over random histories of requests."""

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
def tickets_are_always_released(history):
    """Requests in flight match the tickets held, within every limit."""
    limit = ConcurrencyLimit()
    controller = AdmissionController(limit, LiveInstanceCount())
    caller = Caller('caller', '', 1000)
    now, held, released = 0.0, [], []
    for action, kind, elapsed, time_left in history:
        now += elapsed
        if action == 'admit':
            before = controller.in_flight
            result = controller.admit(FRONT, caller, kind, time_left, now)
            if isinstance(result, Success):
                assert time_left > 0 and before < limit.limit
                held.append(result.unwrap())
            else:
                assert result.failure().ran == 'no'
                assert result.failure().retry_after > 0
                assert controller.in_flight == before
        elif action == 'lag':
            controller.on_lag(elapsed, now)
        elif action == 'again' and released:
            controller.release(released[-1], now, is_sample=True)
        elif held:
            released.append(held.pop())
            controller.release(released[-1], now, is_sample=action == 'answer')
        assert controller.in_flight == len(held)
        for limited in KINDS:
            running = [ticket for ticket in held if ticket.kind == limited.name]
            assert len(running) <= limited.max_in_flight
    for ticket in held:
        controller.release(ticket, now, is_sample=False)
    assert controller.in_flight == 0


@given(st.floats(0.01, 30), st.floats(0.001, 2))
def refusals_by_deadline_expire(latency, time_left):
    """A kind refused by a stale latency estimate is admitted again in time."""
    controller = AdmissionController(ConcurrencyLimit(), LiveInstanceCount())
    caller, kind = Caller('caller', '', 1000), KINDS[0]
    ticket = controller.admit(FRONT, caller, kind, 60, 0.0).unwrap()
    controller.release(ticket, latency, is_sample=True)
    for step in range(120):
        result = controller.admit(
            FRONT, caller, kind, time_left, latency + step
        )
        if isinstance(result, Success):
            return
    raise AssertionError('still refused after two minutes')


@given(
    st.lists(st.tuples(st.floats(0, 0.2), st.integers(1, 9)), max_size=300),
    st.floats(1, 100),
)
def caller_rate_is_bounded(history, rate):
    """An instance admits at most its share of a caller's rate.

    The first membership view has nine live instances. Later views with fewer
    instances do not raise the share within the history.
    """
    live_instances, now, admitted = LiveInstanceCount(), 0.0, 0
    live_instances.observe(9, now)
    controller = AdmissionController(ConcurrencyLimit(), live_instances)
    caller = Caller('caller', '', rate)
    for elapsed, count in history:
        now += elapsed
        live_instances.observe(count, now)
        result = controller.admit(FRONT, caller, KINDS[0], 1.0, now)
        if isinstance(result, Success):
            admitted += 1
            controller.release(result.unwrap(), now, is_sample=False)
    share = rate / 9
    assert admitted <= max(1.0, share) + share * now + 1e-6

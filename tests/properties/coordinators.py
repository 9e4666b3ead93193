"""Properties of fan-out weights and of the retry budgets they divide."""

from hypothesis import given
from hypothesis import strategies as st

from crocusroad_core.coordinators import fan_out_weight
from crocusroad_core.retry_budget import RetryBounds, RetryBudgets
from crocusroad_core.sources import FleetMember

WINDOW_SECONDS = 10
speeds = st.sampled_from([(20, 0.516), (200, 2.15), (100, 1.0), (100, 0.0)])
fleets = st.lists(
    st.tuples(st.sampled_from('abc'), speeds),
    min_size=8,
    max_size=40,
).map(
    lambda instances: [
        FleetMember(f'm{number}', zone, f'm{number}:1', *speed)
        for number, (zone, speed) in enumerate(instances)
    ],
)


@given(members=fleets)
def weights_add_up(members):
    weights = [fan_out_weight(member, members) for member in members]
    assert abs(sum(weights) - len(members)) < 1e-6, weights
    assert min(weights) > 0


@given(
    members=fleets,
    requests=st.lists(
        st.tuples(
            st.integers(0, 39),
            st.booleans(),
            st.sampled_from([0, 0, 0.1, 2, 10.5]),
        ),
        min_size=20,
        max_size=150,
    ),
    slack=st.sampled_from([8, 56, 166]),
)
def retries_of_a_mixed_fleet_stay_bounded(members, requests, slack):
    """Retries of a shard stay within the bounds in any window of the fleet."""
    bounds = RetryBounds(0.2, slack, WINDOW_SECONDS)
    budgets = []
    for member in members:
        budget = RetryBudgets(bounds, lambda service: True, 0)
        budget.set_instances(len(members), fan_out_weight(member, members))
        budgets.append(budget)
    events = []
    now = 100.0
    for number, is_retry, gap in requests:
        now += gap
        budget = budgets[number % len(budgets)]
        if not is_retry:
            budget.earn('s', now)
            events.append((now, 1, 0))
        while is_retry and budget.spend('s', now):
            budget.budget('s').settle('s', now, has_arrived=True)
            events.append((now, 0, 1))
        recent = [event for event in events if now - event[0] <= WINDOW_SECONDS]
        first_attempts = sum(event[1] for event in recent)
        retries = sum(event[2] for event in recent)
        assert retries <= 0.2 * first_attempts + slack + 1e-6

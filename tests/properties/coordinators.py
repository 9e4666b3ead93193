"""Parts of the instances of any fleet, against a plain account."""

from hypothesis import given
from hypothesis import strategies as st

from crocusroad_core.coordinators import fan_out_weight
from crocusroad_core.retry_budget import RetryBounds, RetryBudgets
from crocusroad_core.sources import FleetMember

WINDOW = 10
powers = st.sampled_from([(20, 0.516), (200, 2.15), (100, 1.0), (100, 0.0)])
fleets = st.lists(
    st.tuples(st.sampled_from('abc'), powers),
    min_size=8,
    max_size=40,
).map(
    lambda homes: [
        FleetMember(f'm{number}', zone, f'm{number}:1', *power)
        for number, (zone, power) in enumerate(homes)
    ],
)


@given(members=fleets)
def weights_add_up(members):
    weights = [fan_out_weight(one, members) for one in members]
    assert abs(sum(weights) - len(members)) < 1e-6, weights
    assert min(weights) > 0


@given(
    members=fleets,
    asks=st.lists(
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
def repeats_of_a_mixed_fleet_stay_bound(members, asks, slack):
    """Any window, for a shard, whoever asks and when."""
    bounds = RetryBounds(0.2, slack, WINDOW)
    budgets = []
    for one in members:
        budget = RetryBudgets(bounds, lambda service: True, 0)
        budget.set_instances(len(members), fan_out_weight(one, members))
        budgets.append(budget)
    events = []
    now = 100.0
    for number, is_repeat, gap in asks:
        now += gap
        budget = budgets[number % len(budgets)]
        if not is_repeat:
            budget.earn('s', now)
            events.append((now, 1, 0))
        while is_repeat and budget.spend('s', now):
            events.append((now, 0, 1))
        recent = [one for one in events if now - one[0] <= WINDOW]
        asked = sum(one[1] for one in recent)
        repeated = sum(one[2] for one in recent)
        assert repeated <= 0.2 * asked + slack + 1e-6

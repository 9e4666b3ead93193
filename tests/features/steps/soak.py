import asyncio

from behave import then

from tests.soak.soak import Soak

PLANTED_SECONDS = 10
# Runs long enough that a stop nearly always meets requests on their way.
RUN_SECONDS = 0.08


@then(
    'a soak of {gateways:d} gateways for {seconds:d} seconds with seed'
    ' {seed:d} breaks nothing'
)
def step_soak(context, gateways, seconds, seed):
    promises = asyncio.run(Soak(seed, gateways, seconds).run())
    assert promises.counts['fan-out', 200] > 50, promises.counts
    assert not promises.broken, promises.broken[:5]


@then('a soak with {planted} planted and {fault} breaks a promise')
def step_planted(context, planted, fault):
    soak = Soak(1, 1, PLANTED_SECONDS, planted, [fault], RUN_SECONDS)
    assert asyncio.run(soak.run()).broken

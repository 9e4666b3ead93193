"""Set-up of the test run: fixed seeds."""

import os
from pathlib import Path

from hypothesis import HealthCheck, settings

settings.register_profile(
    'ci',
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=100,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile('ci')


def after_scenario(context, scenario):
    results = os.environ.get('CROCUSROAD_TEST_RESULTS')
    if results:
        line = f'{scenario.feature.name}: {scenario.name}'.strip()
        with Path(results).open('a') as file:
            file.write(f'{line}\t{scenario.status.name}\n')

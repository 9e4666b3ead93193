import asyncio
import json
import signal
from pathlib import Path

from behave import then, when

from tests.features.steps.fleet_processes import run
from tests.support.fleet import (
    METRICS_PORT,
    catches_stop,
)


@then('the log names its replica and the reason "{reason}"')
def step_log(context, reason):
    run(context, asyncio.sleep(0.2))  # the line follows the answer
    lines = context.fleet.lines('g0')
    found = [one for one in lines if one.get('id') == context.request_id]
    assert len(found) == 1, found
    line = found[0]
    assert line['status'] == context.answer.status
    assert line['version'] == context.fleet.version
    attempt = line['attempts'][0]
    assert attempt['replica'].startswith('i-single-'), attempt
    assert attempt['outcome'] == reason
    assert {'start', 'configuration adopted'} <= {one['event'] for one in lines}


@then('the metrics page counts it')
def step_metrics(context):
    endpoint = (context.fleet.host('g0'), METRICS_PORT)
    answer = context.fleet.ask('g0', '/metrics', endpoint=endpoint)
    text = run(context, answer).body.decode()
    assert 'crocusroad_attempts_lost_total{reason="broken"} 1.0' in text
    assert 'crocusroad_request_seconds_bucket{kind="one-replica"' in text


def tell_settings(context, text):
    file = context.fleet.folder / 'g0.yaml'
    file.write_text(text)
    context.fleet.procs['g0'].send_signal(signal.SIGHUP)
    run(context, asyncio.sleep(0.5))


@when('its settings are broken and it is told so')
def step_broken(context):
    tell_settings(context, 'Ip: [')


@when('its settings are mended with another grace and it is told so')
def step_mended(context):
    cfg = context.fleet.settings('g0')
    cfg['Bounds']['GraceS'] = 9
    tell_settings(context, json.dumps(cfg))


@then('its log says "{event}"')
def step_says(context, event):
    events = [one['event'] for one in context.fleet.lines('g0')]
    assert event in events, events


@then('the gateway still serves')
def step_serves(context):
    assert run(context, context.fleet.ask('g0', '/one/1')).status == 200


@when('another gateway is told to stop as soon as it catches the signal')
def step_stop_at_start(context):
    fleet = context.fleet
    fleet.spawn('g9')
    proc = fleet.procs['g9']
    run(
        context,
        fleet.wait_until(lambda: catches_stop(proc.pid), 10, 'a handler'),
    )
    loaded = Path(f'/proc/{proc.pid}/maps').read_text()
    proc.terminate()
    assert 'uvloop' not in loaded, 'caught only when the start is over'


@then('that gateway ends with {code:d} within {seconds:d} seconds')
def step_ended(context, code, seconds):
    proc = context.fleet.procs['g9']
    assert proc.wait(seconds) == code, proc.returncode

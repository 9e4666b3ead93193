import json
import os
import subprocess
import tempfile
from pathlib import Path

from behave import given, then, when

from tests.support.cluster import (
    BIN,
    OPERATOR_TOKEN,
    Cluster,
    call,
    digest,
    wait_until,
)

PORT = int(os.environ.get('CROCUSROAD_BASE_PORT', '21000')) + 500

GOOD = {
    'shard_maps': [
        {
            'version': 1,
            'shards': [
                {
                    'name': 's0',
                    'replicas': [
                        {'name': 'r0', 'address': '127.0.0.1:1', 'zone': 'a'}
                    ],
                }
            ],
        }
    ],
    'callers': [{'name': 'desk', 'token_sha256': digest('caller')}],
    'kinds': [{'name': 'lookup'}],
}
BAD = GOOD | {
    'shard_maps': [GOOD['shard_maps'][0] | {'version': 'one'}],
    'kinds': [{'name': 'lookup', 'deadline_ms': -1}],
}


@given('a node for operators')
def step_node(context):
    if not hasattr(context.feature, 'node'):
        context.feature.node = start_node(context)
    context.server, context.folder = context.feature.node
    context.files = {}
    texts = {'good': json.dumps(GOOD), 'bad': json.dumps(BAD), 'torn': '{'}
    for name, text in texts.items():
        file = Path(context.folder) / f'{name}.json'
        file.write_text(text)
        context.files[name] = str(file)


def start_node(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup, layer='feature')
    cluster = Cluster(folder.name, PORT)
    context.add_cleanup(cluster.close, layer='feature')
    cluster.start_platform()
    caller, server = cluster.start_node('node-a', 10, 'a')
    wait_until(lambda: call(f'{caller}/readyz')[0] == 200, 20, 'ready')
    return server, folder.name


@when('the operator runs "{command}"')
def step_run(context, command):
    args = [word.format(**context.files) for word in command.split()]
    env = os.environ | {
        'CROCUSROAD_SERVER': context.server,
        'CROCUSROAD_TOKEN': OPERATOR_TOKEN,
        'COLUMNS': '200',
    }
    context.done = subprocess.run(
        [str(BIN / 'crocusctl'), *args],
        env=env,
        capture_output=True,
        text=True,
        timeout=30,
    )


@when('the operator saves "{command}" and applies it again as "{name}"')
def step_save(context, command, name):
    step_run(context, command)
    file = Path(context.folder) / 'saved.json'
    file.write_text(context.done.stdout)
    context.files['saved'] = str(file)
    step_run(context, f'apply {name} {{saved}}')


@then('the command ends with {code:d} and says "{text}"')
def step_ends(context, code, text):
    said = context.done.stdout + context.done.stderr
    assert context.done.returncode == code, (context.done.returncode, said)
    assert text in said, said


FAULTS = {
    'no fault': ('', ''),
    'an unknown key': ('[callers]\n', '[callers]\ncolour = red\n'),
    'an unknown section': ('[callers]\n', '[extras]\nx = 1\n[callers]\n'),
    'a bad number': ('[callers]\n', '[limits]\nextra_load = 9\n[callers]\n'),
    'a missing key': ('name = node-a\n', ''),
    'two faults': ('name = node-a\nzone = a\n', 'name = ?\nzone = ?\n'),
    'broken syntax': ('[callers]\n', '[callers\n'),
}


@given('a settings file with {fault}')
def step_settings(context, fault):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    cluster = Cluster(folder.name, PORT)
    good = cluster.write_settings('node-a', 10, 'a')
    text = good.read_text()
    old, new = FAULTS[fault]
    assert old in text
    good.write_text(text.replace(old, new, 1))
    context.settings = good


@when('crocusroad checks the settings')
def step_check(context):
    context.done = subprocess.run(
        [str(BIN / 'crocusroad'), 'check-settings', str(context.settings)],
        capture_output=True,
        text=True,
        timeout=30,
    )


@then('the check ends with {code:d} and names "{text}"')
def step_names(context, code, text):
    step_ends(context, code, text)

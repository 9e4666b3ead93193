import json
import os
import subprocess
import tempfile
from pathlib import Path

from behave import given, then, when

from tests.support.cluster import (
    BIN_FOLDER,
    OPERATOR_TOKEN,
    Cluster,
    call,
    digest,
    wait_until,
)

BASE_PORT = int(os.environ.get('CROCUSROAD_BASE_PORT', '21000')) + 500

VALID_SPEC = {
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
INVALID_SPEC = VALID_SPEC | {
    'shard_maps': [VALID_SPEC['shard_maps'][0] | {'version': 'one'}],
    'kinds': [{'name': 'lookup', 'deadline_ms': -1}],
}


@given('a running node')
def step_running_node(context):
    if not hasattr(context.feature, 'node'):
        context.feature.node = start_node(context)
    context.server, context.folder = context.feature.node
    context.files = {}
    texts = {
        'good': json.dumps(VALID_SPEC),
        'bad': json.dumps(INVALID_SPEC),
        'torn': '{',
    }
    for name, text in texts.items():
        file = Path(context.folder) / f'{name}.json'
        file.write_text(text)
        context.files[name] = str(file)


def start_node(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup, layer='feature')
    cluster = Cluster(folder.name, BASE_PORT)
    context.add_cleanup(cluster.close, layer='feature')
    cluster.start_platform()
    caller, server = cluster.start_node('node-a', 10, 'a')
    wait_until(lambda: call(f'{caller}/readyz')[0] == 200, 20, 'ready')
    return server, folder.name


@when('the operator runs "{command}"')
def step_run_command(context, command):
    args = [word.format(**context.files) for word in command.split()]
    env = os.environ | {
        'CROCUSROAD_SERVER': context.server,
        'CROCUSROAD_TOKEN': OPERATOR_TOKEN,
        'COLUMNS': '200',
    }
    context.process = subprocess.run(
        [str(BIN_FOLDER / 'crocusctl'), *args],
        env=env,
        capture_output=True,
        text=True,
        timeout=30,
    )


@when('the operator saves the output of "{command}" and applies it to "{name}"')
def step_save_and_apply(context, command, name):
    step_run_command(context, command)
    file = Path(context.folder) / 'saved.json'
    file.write_text(context.process.stdout)
    context.files['saved'] = str(file)
    step_run_command(context, f'apply {name} {{saved}}')


@then('the command exits with {code:d} and prints "{text}"')
def step_command_exit(context, code, text):
    output = context.process.stdout + context.process.stderr
    assert context.process.returncode == code, (
        context.process.returncode,
        output,
    )
    assert text in output, output


SETTINGS_EDITS = {
    'no fault': ('', ''),
    'an unknown key': ('[callers]\n', '[callers]\ncolour = red\n'),
    'an unknown section': ('[callers]\n', '[extras]\nx = 1\n[callers]\n'),
    'a bad number': ('[callers]\n', '[limits]\nextra_load = 9\n[callers]\n'),
    'a missing key': ('name = node-a\n', ''),
    'two faults': ('name = node-a\nzone = a\n', 'name = ?\nzone = ?\n'),
    'broken syntax': ('[callers]\n', '[callers\n'),
}


@given('a settings file with {fault}')
def step_settings_file(context, fault):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    cluster = Cluster(folder.name, BASE_PORT)
    settings_file = cluster.write_settings('node-a', 10, 'a')
    text = settings_file.read_text()
    old, new = SETTINGS_EDITS[fault]
    assert old in text
    settings_file.write_text(text.replace(old, new, 1))
    context.settings = settings_file


@when('crocusroad checks the settings file')
def step_check(context):
    context.process = subprocess.run(
        [
            str(BIN_FOLDER / 'crocusroad'),
            'check-settings',
            str(context.settings),
        ],
        capture_output=True,
        text=True,
        timeout=30,
    )


@then('the check exits with {code:d} and prints "{text}"')
def step_check_exit(context, code, text):
    step_command_exit(context, code, text)

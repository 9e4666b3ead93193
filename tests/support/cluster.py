"""A small cluster of processes on loopback addresses."""

import json
import os
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request
from hashlib import sha256
from pathlib import Path

OPERATOR_TOKEN = 'operator-token'
PEER_KEY = '5e' * 32
CALLER_TOKEN = 'caller-token'
BIN = Path(sys.executable).parent


def digest(token):
    return sha256(token.encode()).hexdigest()


def call(url, body=None, method=None, token='', headers=None, timeout=10):
    """Return (status, parsed body) of an HTTP call."""
    raw = None if body is None else json.dumps(body).encode()
    every = {
        'authorization': f'Bearer {token}',
        'content-type': 'application/json',
    }
    req = urllib.request.Request(
        url,
        raw,
        every | (headers or {}),
        method=method or ('POST' if raw else 'GET'),
    )
    try:
        with urllib.request.urlopen(req, timeout=timeout) as response:
            text = response.read()
            status = response.status
    except urllib.error.HTTPError as exc:
        text = exc.read()
        status = exc.code
    try:
        return status, json.loads(text)
    except ValueError:
        return status, text.decode()


def wait_until(check, seconds, what):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            if check():
                return
        except OSError:
            pass
        time.sleep(0.05)
    raise AssertionError(f'not within {seconds} s: {what}')


def render(sections):
    """Return further sections of an INI file."""
    lines = []
    for section, keys in sections.items():
        lines.append(f'[{section}]')
        lines += [f'{key} = {text}' for key, text in keys.items()]
    return '\n'.join(lines) + '\n'


class Cluster:
    """Stand-ins and nodes; `close` ends every process."""

    def __init__(self, folder, base_port):
        self.folder = Path(folder)
        self.base = base_port
        self.procs = {}
        self.listed = []
        self.platform = f'127.0.0.1:{base_port}'

    def spawn(self, name, args, env=None):
        log = (self.folder / f'{name}.log').open('wb')
        folders = [os.getcwd(), os.environ.get('PYTHONPATH', '')]
        path = os.pathsep.join(filter(None, folders))
        every = os.environ | {'PYTHONPATH': path} | (env or {})
        self.procs[name] = subprocess.Popen(
            args, stdout=log, stderr=subprocess.STDOUT, env=every
        )

    def start_platform(self):
        args = [sys.executable, '-m', 'tests.standins.platform', self.platform]
        self.spawn('platform', args)
        url = f'http://{self.platform}'
        wait_until(lambda: call(f'{url}/stats')[0] == 200, 10, 'platform')

    def start_upstream(self, name, port, **cfg):
        address = f'127.0.0.1:{self.base + port}'
        self.start_upstreams(name, [cfg | {'listen': address}])
        return address

    def start_upstreams(self, name, cfgs):
        file = self.folder / f'{name}.json'
        file.write_text(json.dumps(cfgs))
        module = 'tests.standins.upstream'
        self.spawn(name, [sys.executable, '-m', module, str(file)])

    def start_node(self, name, port, zone, peer_key=PEER_KEY, **sections):
        base = self.base + port
        file = self.write_settings(name, port, zone, peer_key, **sections)
        self.spawn(name, [str(BIN / 'crocusroad'), 'run', str(file)])
        self.listed.append(
            {
                'name': name,
                'role': 'node',
                'address': f'127.0.0.1:{base + 2}',
                'zone': zone,
                'leaving': False,
            }
        )
        self.publish()
        return f'http://127.0.0.1:{base}', f'http://127.0.0.1:{base + 1}'

    def write_settings(self, name, port, zone, peer_key=PEER_KEY, **sections):
        base = self.base + port
        file = self.folder / f'{name}.ini'
        file.write_text(
            f'[instance]\nname = {name}\nzone = {zone}\ncluster = demo\n'
            f'[callers]\nlisten = 127.0.0.1:{base}\n'
            f'[operators]\nlisten = 127.0.0.1:{base + 1}\n'
            f'token_sha256 = {digest(OPERATOR_TOKEN)}\n'
            f'[peers]\nlisten = 127.0.0.1:{base + 2}\nkeys = {peer_key}\n'
            f'[platform]\nkv = http://{self.platform}\n'
            f'instances = http://{self.platform}\n' + render(sections)
        )
        return file

    def publish(self):
        call(f'http://{self.platform}/instances', self.listed, 'PUT')

    def ctl(self, server, *args):
        env = os.environ | {
            'CROCUSROAD_SERVER': server,
            'CROCUSROAD_TOKEN': OPERATOR_TOKEN,
        }
        return subprocess.run(
            [str(BIN / 'crocusctl'), *args],
            env=env,
            capture_output=True,
            text=True,
            timeout=30,
        )

    def signal(self, name, signum):
        self.procs[name].send_signal(signum)

    def close(self):
        for proc in self.procs.values():
            proc.send_signal(signal.SIGCONT)
            proc.kill()
        for proc in self.procs.values():
            proc.wait()

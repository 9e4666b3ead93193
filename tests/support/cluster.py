"""Small cluster of node and stand-in processes on loopback addresses."""

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
BIN_FOLDER = Path(sys.executable).parent


def digest(token):
    """Return the SHA-256 digest of a token in hexadecimal."""
    return sha256(token.encode()).hexdigest()


def call(url, body=None, method=None, token='', headers=None, timeout=10):
    """Send an HTTP request and return its status and body.

    The body is parsed as JSON if possible; otherwise it is the decoded text.
    """
    raw = None if body is None else json.dumps(body).encode()
    default_headers = {
        'authorization': f'Bearer {token}',
        'content-type': 'application/json',
    }
    req = urllib.request.Request(
        url,
        raw,
        default_headers | (headers or {}),
        method=method or ('POST' if raw else 'GET'),
    )
    try:
        with urllib.request.urlopen(req, timeout=timeout) as response:
            content = response.read()
            status = response.status
    except urllib.error.HTTPError as exc:
        content = exc.read()
        status = exc.code
    try:
        return status, json.loads(content)
    except ValueError:
        return status, content.decode()


def wait_until(check, seconds, description):
    """Wait until a check holds; an OSError counts as a failed check.

    Raise AssertionError after `seconds`.
    """
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            if check():
                return
        except OSError:
            pass
        time.sleep(0.05)
    raise AssertionError(f'timed out after {seconds} s: {description}')


def render_sections(sections):
    """Return sections of an INI file as text."""
    lines = []
    for section, keys in sections.items():
        lines.append(f'[{section}]')
        lines += [f'{key} = {value}' for key, value in keys.items()]
    return '\n'.join(lines) + '\n'


class Cluster:
    """A cluster of stand-ins and nodes.

    `close` kills every process.
    """

    def __init__(self, folder, base_port):
        self.folder = Path(folder)
        self.base_port = base_port
        self.procs = {}
        self.instances = []
        self.platform_address = f'127.0.0.1:{base_port}'

    def spawn(self, name, args, env=None):
        """Start a process whose output goes to a log file of its name."""
        log = (self.folder / f'{name}.log').open('wb')
        folders = [os.getcwd(), os.environ.get('PYTHONPATH', '')]
        path = os.pathsep.join(filter(None, folders))
        process_env = os.environ | {'PYTHONPATH': path} | (env or {})
        self.procs[name] = subprocess.Popen(
            args, stdout=log, stderr=subprocess.STDOUT, env=process_env
        )

    def start_platform(self):
        args = [
            sys.executable,
            '-m',
            'tests.standins.platform',
            self.platform_address,
        ]
        self.spawn('platform', args)
        url = f'http://{self.platform_address}'
        wait_until(lambda: call(f'{url}/stats')[0] == 200, 10, 'platform')

    def start_upstream(self, name, port, **cfg):
        """Start one upstream and return its address.

        `port` is relative to the base port.
        """
        address = f'127.0.0.1:{self.base_port + port}'
        self.start_upstreams(name, [cfg | {'listen': address}])
        return address

    def start_upstreams(self, name, cfgs):
        """Start one process that serves several upstreams."""
        file = self.folder / f'{name}.json'
        file.write_text(json.dumps(cfgs))
        module = 'tests.standins.upstream'
        self.spawn(name, [sys.executable, '-m', module, str(file)])

    def start_node(self, name, port, zone, peer_key=PEER_KEY, **sections):
        """Start a node; return the URLs for callers and for operators."""
        base = self.base_port + port
        file = self.write_settings(name, port, zone, peer_key, **sections)
        self.spawn(name, [str(BIN_FOLDER / 'crocusroad'), 'run', str(file)])
        self.instances.append(
            {
                'name': name,
                'role': 'node',
                'address': f'127.0.0.1:{base + 2}',
                'zone': zone,
                'leaving': False,
            }
        )
        self.publish_instances()
        return f'http://127.0.0.1:{base}', f'http://127.0.0.1:{base + 1}'

    def write_settings(self, name, port, zone, peer_key=PEER_KEY, **sections):
        """Write the settings file of a node and return its path."""
        base = self.base_port + port
        file = self.folder / f'{name}.ini'
        file.write_text(
            f'[instance]\nname = {name}\nzone = {zone}\ncluster = demo\n'
            f'[callers]\nlisten = 127.0.0.1:{base}\n'
            f'[operators]\nlisten = 127.0.0.1:{base + 1}\n'
            f'token_sha256 = {digest(OPERATOR_TOKEN)}\n'
            f'[peers]\nlisten = 127.0.0.1:{base + 2}\nkeys = {peer_key}\n'
            f'[platform]\nkv = http://{self.platform_address}\n'
            f'instances = http://{self.platform_address}\n'
            + render_sections(sections)
        )
        return file

    def publish_instances(self):
        """Store the instance list in the platform stand-in."""
        call(f'http://{self.platform_address}/instances', self.instances, 'PUT')

    def run_crocusctl(self, server, *args):
        """Run crocusctl with the operator token and capture its output."""
        env = os.environ | {
            'CROCUSROAD_SERVER': server,
            'CROCUSROAD_TOKEN': OPERATOR_TOKEN,
        }
        return subprocess.run(
            [str(BIN_FOLDER / 'crocusctl'), *args],
            env=env,
            capture_output=True,
            text=True,
            timeout=30,
        )

    def send_signal(self, name, signum):
        self.procs[name].send_signal(signum)

    def close(self):
        for proc in self.procs.values():
            proc.send_signal(signal.SIGCONT)
            proc.kill()
        for proc in self.procs.values():
            proc.wait()

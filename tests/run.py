"""Command that runs behave and reports failures not listed in KNOWN-RED.txt.

Run: python -m tests.run [FEATURE ...]
Runs wait for each other, unless CROCUSROAD_TEST_RUN numbers them differently.
Beside each other they need different values of CROCUSROAD_BASE_PORT, too.
"""

import fcntl
import os
import subprocess
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).parent.parent
RESULTS_VARIABLE = 'CROCUSROAD_TEST_RESULTS'
# The processes under test listen on fixed loopback ports.
RUN_NUMBER = os.environ.get('CROCUSROAD_TEST_RUN', '0')
LOCK_FILE = (
    Path(tempfile.gettempdir())
    / f'crocusroad-tests-{os.getuid()}-{RUN_NUMBER}.lock'
)


def load_known_failures():
    """Return the names of the scenarios that KNOWN-RED.txt lists."""
    lines = (ROOT / 'KNOWN-RED.txt').read_text().splitlines()
    entries = [line for line in lines if line and line[0] != '#']
    return {line.split('|')[0].strip() for line in entries}


def main():
    features = sys.argv[1:] or ['tests/features']
    with LOCK_FILE.open('w') as lock, tempfile.TemporaryDirectory() as folder:
        wait_for_other_run(lock)
        results_file = Path(folder) / 'results'
        results_file.touch()
        completed = subprocess.run(
            [sys.executable, '-m', 'behave', '--format=progress', *features],
            cwd=ROOT,
            env=os.environ | {RESULTS_VARIABLE: str(results_file)},
        )
        lines = results_file.read_text().splitlines()
    return report_results(
        [line.split('\t') for line in lines], completed.returncode
    )


def wait_for_other_run(lock):
    """Lock a file for as long as it is open, after any other run has ended."""
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        print('waiting for another run of the tests on this machine')
        fcntl.flock(lock, fcntl.LOCK_EX)


def report_results(results, exit_status):
    """Print the results and return the exit status of the command."""
    known_names = load_known_failures()
    passed = [name for name, status, _ in results if status == 'passed']
    steps = {name: step for name, status, step in results if status != 'passed'}
    failed = [name for name, status, _ in results if status != 'passed']
    known_failures = [name for name in failed if name in known_names]
    for name in failed:
        print('known red:' if name in known_names else 'FAILED:', name)
        print('  step:', steps[name])
    unexpected = len(failed) - len(known_failures)
    if exit_status and not failed:
        unexpected += 1
    print(f'{len(passed)} passed, {unexpected} failed')
    return 1 if unexpected or not passed else 0


if __name__ == '__main__':
    sys.exit(main())

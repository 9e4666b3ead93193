"""The test command: runs behave, counts, and heeds KNOWN-RED.txt.

Run: python -m tests.run [FEATURE ...]
"""

import os
import subprocess
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).parent.parent
RESULTS = 'CROCUSROAD_TEST_RESULTS'


def known_red():
    lines = (ROOT / 'KNOWN-RED.txt').read_text().splitlines()
    entries = [line for line in lines if line and line[0] != '#']
    return {line.split('|')[0].strip() for line in entries}


def main():
    features = sys.argv[1:] or ['tests/features']
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / 'results'
        file.touch()
        done = subprocess.run(
            [sys.executable, '-m', 'behave', '--format=progress', *features],
            cwd=ROOT,
            env=os.environ | {RESULTS: str(file)},
        )
        lines = file.read_text().splitlines()
    return judge([line.split('\t') for line in lines], done.returncode)


def judge(results, code):
    red = known_red()
    passed = [name for name, status in results if status == 'passed']
    failed = [name for name, status in results if status != 'passed']
    excused = [name for name in failed if name in red]
    for name in failed:
        print('known red:' if name in red else 'FAILED:', name)
    bad = len(failed) - len(excused)
    if code and not failed:
        bad += 1
    print(f'{len(passed)} passed, {bad} failed')
    return 1 if bad or not passed else 0


if __name__ == '__main__':
    sys.exit(main())

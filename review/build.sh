#!/usr/bin/env bash
# Checks what the scripts need: the libraries that the build of the deploy file
# has put under target/, and stand-ins that compile. They use only the standard
# library of Python 3.11, so nothing is downloaded or installed.
set -euo pipefail
cd "$(dirname "$0")/.."
test -d target/deps || { echo 'run the build of the deploy file first' >&2; exit 1; }
python3 - <<'PY'
import pathlib

files = [*pathlib.Path('review').rglob('*.py')]
files += [*pathlib.Path('tests/standins').glob('fleet_store.py')]
files += [pathlib.Path('tests/standins/http.py')]
for file in files:
    compile(file.read_text(), str(file), 'exec')
print(f'{len(files)} files of stand-ins compile')
PY

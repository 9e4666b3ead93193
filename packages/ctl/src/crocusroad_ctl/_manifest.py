"""Reading of a front from a file."""

from pathlib import Path
from typing import NamedTuple

import msgspec

from crocusroad_ctl._report import fail
from crocusroad_wire import DecodeError, FrontResource, decode_json


class Manifest(NamedTuple):
    """What a file declares: the spec as raw JSON and its revision."""

    spec: bytes
    revision: int  # 0: the file names none


def read_manifest(file: Path) -> Manifest:
    """Return what a file declares; end the command if it is unreadable."""
    try:
        raw = file.read_bytes()
        parsed = msgspec.json.decode(raw)
    except (OSError, DecodeError) as exc:
        fail(f'{file}: {exc}; name a readable JSON file')
    if isinstance(parsed, dict) and 'spec' in parsed:
        return _whole(file, raw)
    return Manifest(raw, 0)


def _whole(file: Path, raw: bytes) -> Manifest:
    try:
        front = decode_json(FrontResource, raw)
    except DecodeError as exc:
        fail(f'{file}: {exc}; mend the named field')
    return Manifest(msgspec.json.encode(front['spec']), front['revision'])

"""Reader of the file that declares a front."""

from pathlib import Path
from typing import NamedTuple

import msgspec

from crocusroad_ctl._errors import exit_with_error
from crocusroad_wire import DecodeError, FrontResource, decode_json


class Manifest(NamedTuple):
    """The contents of a file: the spec as raw JSON and its revision."""

    spec: bytes
    revision: int  # 0: the file does not name one


def read_manifest(file: Path) -> Manifest:
    """Read a file that holds a spec or a front resource.

    Exits with an error if the file is unreadable or not valid JSON.
    """
    try:
        raw = file.read_bytes()
        parsed = decode_json(object, raw)
    except (OSError, DecodeError) as exc:
        exit_with_error(f'{file}: {exc}; name a readable JSON file')
    if isinstance(parsed, dict) and 'spec' in parsed:
        return _parse_resource(file, raw)
    return Manifest(raw, 0)


def _parse_resource(file: Path, raw: bytes) -> Manifest:
    try:
        front = decode_json(FrontResource, raw)
    except DecodeError as exc:
        exit_with_error(f'{file}: {exc}; correct the named field')
    return Manifest(msgspec.json.encode(front['spec']), front['revision'])

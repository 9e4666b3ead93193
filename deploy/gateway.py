"""Starts a gateway from the checkout, without an installation of it."""

import sys
from pathlib import Path

PACKAGES = ('core', 'wire', 'node', 'platform')
ROOT = Path(__file__).resolve().parent.parent

sys.path[:0] = [str(ROOT / 'packages' / name / 'src') for name in PACKAGES]

from crocusroad_platform.main import main  # noqa: E402

if __name__ == '__main__':
    main()

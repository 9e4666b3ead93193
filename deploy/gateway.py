"""Starts a gateway from the checkout, without an installation of it."""

import signal
import sys
from pathlib import Path

# Imports take most of the start; a stop that comes meanwhile is a clean one,
# as nothing was accepted yet.
signal.signal(signal.SIGTERM, lambda signum, frame: sys.exit(0))

PACKAGES = ('core', 'wire', 'node', 'platform')
ROOT = Path(__file__).resolve().parent.parent

sys.path[:0] = [str(ROOT / 'packages' / name / 'src') for name in PACKAGES]

from crocusroad_platform.main import main  # noqa: E402

if __name__ == '__main__':
    main()

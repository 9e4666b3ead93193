"""Start a gateway from a source checkout, without installing packages."""

import faulthandler
import gc
import os
import signal
import sys
from pathlib import Path

# A fault of native code leaves a trace in the log.
faulthandler.enable(sys.stdout)

# Imports take most of the startup time. A SIGTERM during them exits with 0,
# because no request has been accepted yet. An import may catch SystemExit.
signal.signal(signal.SIGTERM, lambda signum, frame: os._exit(0))
# The settings are read after the imports, so a SIGHUP during them is served.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

# What the imports create is kept, so collections would find little. `main`
# enables them again.
gc.disable()

PACKAGES = ('core', 'wire', 'node', 'platform')
ROOT = Path(__file__).resolve().parent.parent

sys.path[:0] = [str(ROOT / 'packages' / name / 'src') for name in PACKAGES]

from crocusroad_platform.main import main  # noqa: E402

if __name__ == '__main__':
    main()

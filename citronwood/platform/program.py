"""Entry point of the process on a VM of the platform.

Importing the modules takes some tenths of a second. SIGHUP, the reload signal, would
terminate the process by default in that time; nothing is lost by ignoring it, because
the settings are read only after the imports.
"""

import signal
import sys


def main() -> int:
    """Ignore SIGHUP until the process handles it, and run the process."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from citronwood.platform.process import main as run

    return run()


if __name__ == "__main__":
    sys.exit(main())

"""Entry point of the process on a VM of the platform.

A signal to reload may arrive while the modules are still imported, which takes some
tenths of a second. It would end the process, which reads its settings only afterwards.
"""

import signal
import sys


def main() -> int:
    """Ignore reloads until the process can handle them, and run it."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from citronwood.platform.process import main as run

    return run()


if __name__ == "__main__":
    sys.exit(main())

"""Entry point of the process on a VM of the platform.

After a loss of power, all VMs are away until their processes have started, and the
imports take most of that time on a VM with half a core. SIGHUP, the reload signal,
would terminate the process by default in that time; nothing is lost by ignoring it,
because the settings are read only after the imports.
"""

import gc
import os
import signal
import sys


def main() -> int:
    """Prepare quick imports, ignore SIGHUP until it is handled, and run the process."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # aiohttp loads the certificates of this file when it is imported. The platform and
    # the other VMs are reached without TLS.
    os.environ.setdefault("SSL_CERT_FILE", os.devnull)
    # Nothing that the imports create is garbage.
    gc.disable()
    from citronwood.platform.process import main as run

    gc.enable()
    return run()


if __name__ == "__main__":
    sys.exit(main())

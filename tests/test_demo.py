"""The demo command, as a newcomer runs it."""

import re
import subprocess
import sys

from tests.processes import free_port


def test_demo_keeps_all_promises():
    # Guards against parts that work alone but not together in one VM.
    port = free_port(8)
    command = [sys.executable, "-m", "citronwood", "demo", "--port", str(port)]
    done = subprocess.run(command, capture_output=True, text=True, timeout=50)
    assert done.returncode == 0, done.stdout + done.stderr
    assert "all promises were kept" in done.stdout
    # The target for a configuration; the nodes' calls to the platform's service waited
    # for each other's when they shared one budget.
    assert int(re.search(r"in force after (\d+) ms", done.stdout)[1]) <= 3000

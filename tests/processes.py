"""Real processes for integration tests."""

import itertools
import os
import random
import socket
import subprocess
import sys
import time

# Below the range from which the system takes ports for outgoing connections: a port
# from that range may be taken between the choice and the listening. For the same reason
# test workers that run side by side have ranges of their own, and a range is used in
# turn: two random choices met in one fleet.
PORTS_PER_WORKER = 2_500
_worker = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))
_first_port = 10_000 + _worker % 8 * PORTS_PER_WORKER
_start = random.randrange(PORTS_PER_WORKER)
_ports = itertools.cycle(
    _first_port + (_start + index) % PORTS_PER_WORKER
    for index in range(PORTS_PER_WORKER)
)
_reserved = []


def free_port(count=1):
    """Return the first of ``count`` free ports in a row."""
    for _ in range(PORTS_PER_WORKER):
        ports = [next(_ports) for _ in range(count)]
        in_a_row = ports[-1] - ports[0] == count - 1
        if in_a_row and all(_is_free(port) for port in ports):
            return ports[0]
    raise AssertionError("no free ports")


def reserve_port(host="127.0.0.1"):
    """Return a port of the kernel that only servers with SO_REUSEADDR can use.

    A bound socket that does not listen keeps it from outgoing connections and other
    tests until the process ends; asyncio's servers set the option.
    """
    holder = socket.socket()
    holder.bind((host, 0))
    # After binding, so that the kernel has not shared a port of another holder.
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    _reserved.append(holder)
    return holder.getsockname()[1]


def _is_free(port):
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
        return True


def wait_for_port(port, process=None, timeout_s=15.0):
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        if process is not None and process.poll() is not None:
            raise AssertionError(f"process ended with code {process.returncode}")
        try:
            socket.create_connection(("127.0.0.1", port), timeout=0.2).close()
            return
        except OSError:
            time.sleep(0.02)
    raise AssertionError(f"nothing listens on port {port}")


class Processes:
    """Starts citronwood processes and kills them all at the end.

    ``checks`` run after that.
    """

    def __init__(self):
        self._started = []
        self.checks = []

    def start(self, *arguments, port=None, stdout=None):
        command = [sys.executable, "-m", "citronwood", *map(str, arguments)]
        process = subprocess.Popen(command, stdout=stdout)
        self._started.append(process)
        if port is not None:
            wait_for_port(port, process)
        return process

    def wait_for_ports(self, *ports):
        for port in ports:
            wait_for_port(port)

    def stop_all(self):
        for process in self._started:
            process.kill()
        for process in self._started:
            process.wait()
        for check in self.checks:
            check()

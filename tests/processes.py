"""Processes and ports for integration tests."""

import itertools
import os
import random
import socket
import subprocess
import sys
import time

# The ports are below the kernel's ephemeral range: an outgoing connection may take a
# port of that range after it was chosen and before a server listens on it. So that no
# other test takes the port in that time either, each parallel test worker has its own
# range. Ports are taken from it in sequence, because a random choice can give one fleet
# the same port twice.
PORTS_PER_WORKER = 2_500
_worker_number = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))
_worker_first_port = 10_000 + _worker_number % 8 * PORTS_PER_WORKER
_random_offset = random.randrange(PORTS_PER_WORKER)
_ports = itertools.cycle(
    _worker_first_port + (_random_offset + index) % PORTS_PER_WORKER
    for index in range(PORTS_PER_WORKER)
)
_reserving_sockets = []


def free_port(count=1):
    """Return the first of ``count`` consecutive free ports."""
    for _ in range(PORTS_PER_WORKER):
        ports = [next(_ports) for _ in range(count)]
        are_consecutive = ports[-1] - ports[0] == count - 1
        if are_consecutive and all(_is_free(port) for port in ports):
            return ports[0]
    raise AssertionError("no free ports")


def reserve_port(host="127.0.0.1"):
    """Reserve a port that the kernel chooses for a server that sets SO_REUSEADDR.

    Until the process ends, a socket that is bound but does not listen keeps outgoing
    connections and other tests from using the port. The servers of asyncio set
    SO_REUSEADDR.
    """
    reserving_socket = socket.socket()
    reserving_socket.bind((host, 0))
    # The option is set after binding, so that the kernel cannot choose a port that
    # another socket reserves.
    reserving_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    _reserving_sockets.append(reserving_socket)
    return reserving_socket.getsockname()[1]


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
    """Starts citronwood processes and kills all of them in ``stop_all``.

    ``checks`` are functions that run after all processes have ended.
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

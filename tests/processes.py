"""Processes and ports for integration tests."""

import socket
import subprocess
import sys
import time

MAX_ATTEMPTS = 100
_reserving_sockets = []


def free_port(count=1):
    """Reserve ``count`` consecutive ports and return the first one."""
    for _ in range(MAX_ATTEMPTS):
        first = reserve_port()
        try:
            for port in range(first + 1, first + count):
                reserve_port(port=port)
        except OSError:
            continue
        return first
    raise AssertionError("no free ports")


def reserve_port(host="127.0.0.1", port=0):
    """Reserve a port for a server that sets SO_REUSEADDR; 0 lets the kernel choose it.

    Until the process ends, a socket that is bound but does not listen keeps outgoing
    connections and other tests, also those of other test runs, from using the port. The
    servers of asyncio set SO_REUSEADDR.
    """
    reserving_socket = socket.socket()
    _reserving_sockets.append(reserving_socket)
    reserving_socket.bind((host, port))
    # The option is set after binding, so that the kernel cannot choose a port that
    # another socket reserves.
    reserving_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    return reserving_socket.getsockname()[1]


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

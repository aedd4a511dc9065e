"""The fault proxy injects its faults; otherwise tests that use it prove nothing."""

import socket
import threading
import time
from contextlib import suppress

import pytest

from tests.faults import TO_CLIENT, TO_SERVER, FaultProxy


@pytest.fixture
def echo_port():
    server = socket.create_server(("127.0.0.1", 0))

    def echo(connection):
        with suppress(OSError):
            while data := connection.recv(4096):
                connection.sendall(data)

    def accept():
        with suppress(OSError):
            while True:
                connection, _ = server.accept()
                threading.Thread(target=echo, args=(connection,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    yield server.getsockname()[1]
    server.close()


@pytest.fixture
def proxy(echo_port):
    with FaultProxy(echo_port) as proxy:
        yield proxy


def connect(proxy):
    return socket.create_connection(("127.0.0.1", proxy.port), timeout=2)


def exchange(connection, data, wait_s=2.0):
    """Send bytes and return the answer, or None on timeout."""
    connection.settimeout(wait_s)
    connection.sendall(data)
    return receive(connection, wait_s)


def receive(connection, wait_s=2.0):
    """Return the received bytes, or None on timeout."""
    connection.settimeout(wait_s)
    try:
        return connection.recv(4096)
    except TimeoutError:
        return None


def test_delay_applies_to_each_direction(proxy):
    connection = connect(proxy)
    proxy.delay(to_server_s=0.1, to_client_s=0.05)
    started = time.monotonic()
    assert exchange(connection, b"a") == b"a"
    assert 0.15 <= time.monotonic() - started < 0.6


def test_freeze_holds_bytes_until_release(proxy):
    old = connect(proxy)
    assert exchange(old, b"a") == b"a"
    proxy.freeze()
    assert exchange(old, b"b", 0.2) is None
    new = connect(proxy)
    assert exchange(new, b"c") == b"c"
    proxy.freeze(new_connections=True)
    assert exchange(connect(proxy), b"d", 0.2) is None
    proxy.release()
    assert receive(old) == b"b"


@pytest.mark.parametrize("direction", [TO_SERVER, TO_CLIENT])
def test_connection_stays_silent_after_a_drop(proxy, direction):
    connection = connect(proxy)
    proxy.drop(direction)
    assert exchange(connection, b"a", 0.2) is None
    proxy.heal()
    assert exchange(connection, b"b", 0.2) is None
    assert exchange(connect(proxy), b"c") == b"c"


def test_cut_resets_old_and_new_connections(proxy):
    connection = connect(proxy)
    assert exchange(connection, b"a") == b"a"
    proxy.cut()
    with pytest.raises(ConnectionResetError):
        receive(connection)
    with pytest.raises(ConnectionError):
        exchange(connect(proxy), b"b")
    proxy.heal()
    assert exchange(connect(proxy), b"c") == b"c"
    assert proxy.connections == 1

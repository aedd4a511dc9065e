"""Tests of the member stand-in: replication, terms, transactions, locks, limits."""

import asyncio
import time
from pathlib import Path

import asyncmy
import pytest

from tests.faults import TO_CLIENT, TO_SERVER, FaultProxy
from tests.members import Group
from tests.processes import free_port


@pytest.fixture
def start_group(processes, tmp_path):
    groups = []

    def start(**options):
        groups.append(Group(processes, tmp_path, **options))
        return groups[-1]

    yield start
    for group in groups:
        group.close()


def expect_error(code, function, *arguments):
    with pytest.raises(asyncmy.errors.MySQLError) as caught:
        function(*arguments)
    assert caught.value.args[0] == code, caught.value


def test_replicas_receive_before_they_apply(start_group):
    group = start_group(size=2)
    primary, replica = group.client(0), group.client(1)
    primary.run("CREATE TABLE t (id INTEGER PRIMARY KEY AUTO_INCREMENT, x VARCHAR(9))")
    position = primary.write("INSERT INTO t (x) VALUES ('a')")
    replica.wait_for(applied=position[1])
    assert replica.run("SELECT * FROM t") == ((1, "a"),)
    replica.call("standin_set", "apply_lag_ms", 400)
    term, lsn = primary.write("INSERT INTO t (x) VALUES ('b')")
    # Guards against a commit being reported as received only when it is visible.
    status = replica.wait_for(timeout_s=0.3, received=lsn, log_term=term)
    assert status["applied"] == lsn - 1
    assert len(replica.run("SELECT * FROM t")) == 1
    replica.wait_for(applied=lsn)
    assert len(replica.run("SELECT * FROM t")) == 2


def test_change_of_primary_and_divergent_suffix(start_group):
    group = start_group()
    old, new, third = (group.client(i) for i in range(3))
    old.run("CREATE TABLE t (id INTEGER PRIMARY KEY)")
    lsn = old.write("INSERT INTO t VALUES (1)")[1]
    new.wait_for(applied=lsn)
    third.wait_for(received=lsn)
    expect_error(1290, new.run, "INSERT INTO t VALUES (9)")
    new.call("group_fence", 2)
    third.call("group_fence", 2)
    expect_error(3100, third.call, "group_fence", 2)
    # The old primary is not fenced and still commits; no other member gets the entry.
    assert old.write("INSERT INTO t VALUES (2)") == (1, lsn + 1)
    expect_error(1290, new.run, "INSERT INTO t VALUES (9)")
    assert new.call("group_promote", 2)["role"] == "primary"
    third.call("group_follow", 2, group.address(1))
    assert new.write("INSERT INTO t VALUES (3)") == (2, lsn + 2)
    third.wait_for(log_term=2, applied=lsn + 2)
    old.call("group_follow", 2, group.address(1))
    old.wait_for(applied_term=2, applied=lsn + 2, role="replica")
    for client in (old, new, third):
        assert client.run("SELECT id FROM t ORDER BY id") == ((1,), (3,))


def test_fence_rolls_back_the_open_transaction(start_group):
    group = start_group(size=1)
    writer, other = group.client(autocommit=False), group.client()
    other.run("CREATE TABLE t (id INTEGER PRIMARY KEY)")
    writer.run("INSERT INTO t VALUES (1)")
    assert other.call("group_fence", 5)["role"] == "fenced"
    # Guards against a commit after the fence was confirmed.
    expect_error(1290, writer.run, "COMMIT")
    assert other.run("SELECT * FROM t") == ()
    expect_error(1290, other.run, "INSERT INTO t VALUES (1)")


def test_killed_members_keep_their_state(start_group):
    group = start_group(size=2)
    primary = group.client(0)
    primary.run("CREATE TABLE t (id INTEGER PRIMARY KEY)")
    lsn = primary.write("INSERT INTO t VALUES (1)")[1]
    group.client(1).wait_for(received=lsn)
    group.kill(0)
    group.kill(1)
    group.start(0)
    group.start(1)
    primary, replica = group.client(0), group.client(1)
    # A restarted primary is fenced: another member may have been promoted meanwhile.
    primary.wait_for(role="fenced", term=1, log_term=1, received=lsn, applied=lsn)
    replica.wait_for(role="replica", term=1, received=lsn, applied=lsn)
    assert replica.run("SELECT * FROM t") == ((1,),)


def test_restarted_replica_resumes_and_new_member_catches_up(start_group):
    group = start_group()
    primary = group.client(0)
    primary.run("CREATE TABLE t (id INTEGER PRIMARY KEY AUTO_INCREMENT, x INT)")
    group.kill(1)
    for _ in range(20):
        lsn = primary.write("INSERT INTO t (x) VALUES (1), (2)")[1]
    group.start(1)
    group.client(1).wait_for(received=lsn, applied=lsn)
    assert group.client(1).run("SELECT COUNT(*) FROM t") == ((40,),)
    third = group.client(2)
    third.wait_for(applied=lsn)
    # Guards against a member that acknowledges an entry and loses it when killed.
    position = primary.write("INSERT INTO t (x) VALUES (3)")
    third.wait_for(received=position[1])
    group.kill(2)
    group.kill(0)
    group.start(2)
    assert group.client(2).status()["received"] == position[1]


def test_partitioned_replica_reports_its_age(processes, tmp_path):
    # The group chooses the port of the primary, so the proxy gets its target later.
    with FaultProxy(free_port()) as proxy:
        group = Group(processes, tmp_path, 2, primary_address=f"127.0.0.1:{proxy.port}")
        try:
            proxy.target = ("127.0.0.1", group.ports[0])
            primary, replica = group.client(0), group.client(1)
            lsn = primary.write("CREATE TABLE t (id INTEGER PRIMARY KEY)")[1]
            replica.wait_for(applied=lsn)
            status = replica.status()
            assert status["primary_heard_ms"] < 400
            assert status["data_age_ms"] < 400
            for fault in (
                lambda: proxy.drop(TO_CLIENT),
                lambda: proxy.drop(TO_SERVER),
                lambda: proxy.freeze(new_connections=True),
                proxy.cut,
            ):
                fault()
                time.sleep(0.6)
                lsn = primary.write(f"INSERT INTO t VALUES ({lsn})")[1]
                status = replica.status()
                assert status["primary_heard_ms"] >= 400
                assert status["data_age_ms"] >= 400
                assert status["received"] == lsn - 1
                # Guards against a replica that never abandons a silent connection.
                proxy.heal()
                replica.wait_for(received=lsn, applied=lsn)
        finally:
            group.close()


def test_apply_lag_and_stall_are_visible(start_group):
    group = start_group(size=2)
    primary, replica = group.client(0), group.client(1)
    lsn = primary.write("CREATE TABLE t (id INTEGER PRIMARY KEY)")[1]
    replica.wait_for(applied=lsn)
    replica.call("standin_set", "apply_lag_ms", 300)
    primary.run("INSERT INTO t VALUES (1)")
    time.sleep(0.2)
    # data_age_ms is the age of the visible data, not of the received entries.
    assert replica.status()["data_age_ms"] >= 100
    primary.call("standin_set", "stall_ms", 500)
    started = time.monotonic()
    primary.run("SELECT 1")
    assert time.monotonic() - started >= 0.3
    assert primary.call("standin_set", "leaving", 1)["leaving"] == 1


def test_group_wait_returns_on_change(start_group):
    group = start_group(size=1)
    waiter, writer = group.client(), group.client()
    status = waiter.status()
    seen = f"{status['term']}, {status['received']}, {status['applied']}"
    started = time.monotonic()
    waiter.run(f"CALL group_wait({seen}, 150)")
    assert 0.15 <= time.monotonic() - started < 1
    waiting = waiter.start(f"CALL group_wait({seen}, 5000)")
    lsn = writer.write("CREATE TABLE t (id INTEGER PRIMARY KEY)")[1]
    assert waiter.finish(waiting)[0][3] == lsn
    assert time.monotonic() - started < 3


def test_named_locks_and_kill(start_group):
    group = start_group(size=1)
    first, second, admin = (group.client() for _ in range(3))
    first_id = first.run("SELECT CONNECTION_ID()")[0][0]
    assert first.run("SELECT GET_LOCK('seat-1', 0)") == ((1,),)
    assert second.run("SELECT GET_LOCK('seat-1', 0.1)") == ((0,),)
    assert second.run("SELECT IS_USED_LOCK('seat-1'), IS_FREE_LOCK('seat-1')") == (
        (first_id, 0),
    )
    assert second.run("SELECT RELEASE_LOCK('seat-1'), RELEASE_LOCK('none')") == (
        (0, None),
    )
    processes = {row[0]: row for row in admin.run("SHOW PROCESSLIST")}
    assert processes[first_id][1] == "proxy"
    assert processes[first_id][2].startswith("127.0.0.1:")
    waiting = second.start("SELECT GET_LOCK('seat-1', 5)")
    admin.run(f"KILL {first_id}")
    assert second.finish(waiting) == ((1,),)
    assert first_id not in {row[0] for row in admin.run("SHOW PROCESSLIST")}
    with pytest.raises((asyncmy.errors.MySQLError, OSError)):
        first.run("SELECT 1")
    # Guards against a lock that stays held when its owner disconnects in a long poll.
    status = second.status()
    seen = f"{status['term']}, {status['received']}, {status['applied']}"
    second.start(f"CALL group_wait({seen}, 60000)")
    second.run_awaitable(asyncio.sleep(0.1))
    second.close()
    assert admin.run("SELECT GET_LOCK('seat-1', 5)") == ((1,),)


def test_statement_of_a_disconnected_client_never_runs(start_group):
    group = start_group(size=1)
    holder, waiter = group.client(), group.client()
    holder.run("CREATE TABLE t (id INTEGER PRIMARY KEY)")
    holder.run("BEGIN")
    holder.run("INSERT INTO t VALUES (1)")
    # The insert waits for the write lock when its client disconnects.
    waiter.start("INSERT INTO t VALUES (2)")
    waiter.run_awaitable(asyncio.sleep(0.2))
    waiter.close()
    time.sleep(0.5)
    holder.run("COMMIT")
    holder.run("INSERT INTO t VALUES (3)")
    assert holder.run("SELECT id FROM t") == ((1,), (3,))


def test_connection_limit_and_peak(start_group):
    group = start_group(size=2, options=("--max-connections", "3"))
    clients = [group.client() for _ in range(3)]
    expect_error(1040, group.client)
    lsn = clients[0].write("CREATE TABLE t (id INTEGER PRIMARY KEY)")[1]
    # Replication connections are not limited.
    group.client(1).wait_for(received=lsn)
    clients[1].close()
    deadline = time.monotonic() + 5
    while clients[0].run("SHOW STATUS LIKE 'Threads_connected'")[0][1] != "2":
        assert time.monotonic() < deadline
    group.client()
    peak = clients[0].run("SHOW STATUS LIKE 'Max_used_connections'")
    assert peak == (("Max_used_connections", "3"),)


def test_recorded_bytes_and_streaming(start_group, tmp_path):
    record = tmp_path / "bytes"
    group = start_group(size=1, options=("--record-bytes", record))
    client = group.client()
    client.run("CREATE TABLE t (id INTEGER PRIMARY KEY, x VARCHAR(200))")
    for start in range(0, 100_000, 5_000):
        rows = ",".join(f"({i},'{'x' * 100}')" for i in range(start, start + 5_000))
        client.run(f"INSERT INTO t VALUES {rows}")
    pid = group.member_processes[0].pid
    before = peak_resident_kilobytes(pid)
    assert len(client.run("SELECT * FROM t")) == 100_000
    assert peak_resident_kilobytes(pid) - before < 8_000
    client.run("SELECT 'a-marker'")
    assert b"SELECT 'a-marker'" in record.read_bytes()


def peak_resident_kilobytes(pid):
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM"):
            return int(line.split()[1])
    raise AssertionError("the process status has no VmHWM line")

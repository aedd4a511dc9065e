"""End-to-end tests with real processes: driver, entry VMs, members and platform."""

import asyncio

import asyncmy
import pytest

from tests.fleet import KEY, TABLE, Fleet, run, wait_until


@pytest.fixture
def fleet(processes, tmp_path):
    return Fleet(processes, tmp_path)


def test_statement_runs_from_end_to_end(fleet):
    async def scenario():
        connection = await fleet.connect()
        async with connection.cursor() as cursor:
            await cursor.execute(TABLE)
            await cursor.execute(
                "INSERT INTO pledges (household, food) VALUES (%s, %s)", ("Ito", None)
            )
            # Guards against the loss of these values, which the protocol library drops.
            assert (cursor.rowcount, cursor.lastrowid) == (1, 1)
            await cursor.execute("SELECT id, household, food FROM pledges")
            assert await cursor.fetchall() == ((1, "Ito", None),)

    asyncio.run(scenario())


def test_login_errors_have_specific_codes(fleet):
    async def login_error_code(**options):
        with pytest.raises(asyncmy.errors.MySQLError) as caught:
            await fleet.connect(**options)
        return caught.value.args[0]

    async def scenario():
        assert await login_error_code(password="wrong") == 1045
        assert await login_error_code(user="nobody") == 1045
        assert await login_error_code(database="nowhere") == 1049

    asyncio.run(scenario())


def test_large_result_arrives_complete_through_every_entry(fleet):
    # Guards against lost or reordered chunks of a result that another VM forwards.
    async def scenario():
        writer = await fleet.connect()
        await run(writer, "CREATE TABLE numbers (n INTEGER PRIMARY KEY, t VARCHAR(40))")
        for start in range(0, 20_000, 1000):
            values = ",".join(f"({n}, 'row {n}')" for n in range(start, start + 1000))
            await run(writer, f"INSERT INTO numbers VALUES {values}")
        for name in fleet.entries:
            rows = await run(
                await fleet.connect(name), "SELECT n, t FROM numbers ORDER BY n"
            )
            assert rows == tuple((n, f"row {n}") for n in range(20_000))

    asyncio.run(scenario())


def test_new_session_on_another_entry_reads_the_last_write(fleet):
    # Guards against a session without a token that reads from a lagging replica without
    # waiting.
    async def scenario():
        writer = await fleet.connect("vm01")
        await run(writer, TABLE)
        for member in fleet.member_ports:
            await fleet.set_member(member, "apply_lag_ms", 300)
        for number in range(1, 6):
            await run(writer, "INSERT INTO pledges (household) VALUES ('x')")
            reader = await fleet.connect("vm02")
            assert await run(reader, "SELECT COUNT(*) FROM pledges") == ((number,),)
            reader.close()

    asyncio.run(scenario())


def test_no_acknowledged_write_is_lost_when_the_primary_is_killed(fleet):
    acknowledged, not_run = [], []

    async def write(connection, number):
        try:
            await run(connection, f"INSERT INTO pledges (id) VALUES ({number})")
            acknowledged.append(number)
        except asyncmy.errors.MySQLError as error:
            if error.args[0] == 9001:
                not_run.append(number)

    async def scenario():
        first = await fleet.connect("vm01")
        await run(first, TABLE)
        second = await fleet.connect("vm02")
        for number in range(60):
            if number == 20:
                fleet.members["m1"].kill()
            await write((first, second)[number % 2], number)
        reader = await fleet.connect("vm02")
        rows = await run(reader, "SELECT id FROM pledges")
        return [row[0] for row in rows]

    stored = asyncio.run(scenario())
    assert len(acknowledged) >= 50
    assert set(acknowledged) <= set(stored)
    assert not set(not_run) & set(stored)


def test_withdrawn_key_is_refused_and_never_sent_to_a_member(fleet):
    async def scenario():
        connections = [await fleet.connect(name) for name in fleet.entries]
        await run(connections[0], TABLE)
        intent = {"kind": "withdraw_key", "account": "demo", "key_id": "k1"}
        _, answer = fleet.confirm(intent)
        assert answer["in_force"], answer
        for connection in connections:
            with pytest.raises(asyncmy.errors.MySQLError) as caught:
                await run(connection, "SELECT 1")
            assert caught.value.args[0] == 9004
        with pytest.raises(asyncmy.errors.MySQLError) as caught:
            await fleet.connect()
        assert caught.value.args[0] == 1045

    asyncio.run(scenario())
    assert KEY.encode() not in fleet.recorded_bytes()


def test_planned_stop_of_an_entry_aborts_no_request(fleet):
    failures, written = [], []

    async def write_until_stopped(name, stopped):
        connection = await fleet.connect(name)
        while not stopped.is_set():
            try:
                number = len(written) + 1000 * (name == "vm02")
                await run(connection, "INSERT INTO pledges (household) VALUES ('x')")
                written.append(number)
            except asyncmy.errors.MySQLError as error:
                if error.args[0] != 1053:
                    failures.append(error.args)
                name = "vm02"
                connection = await fleet.connect(name)

    async def scenario():
        await run(await fleet.connect(), TABLE)
        stopped = asyncio.Event()
        writers = [
            asyncio.create_task(write_until_stopped(n, stopped)) for n in fleet.entries
        ]
        await asyncio.sleep(1)
        fleet.entries["vm01"].terminate()
        await asyncio.sleep(4)
        stopped.set()
        await asyncio.gather(*writers)
        rows = await run(await fleet.connect("vm02"), "SELECT COUNT(*) FROM pledges")
        return rows[0][0]

    count = asyncio.run(scenario())
    assert failures == []
    assert count >= len(written) > 100
    wait_until(lambda: fleet.entries["vm01"].poll() is not None)
    assert fleet.entries["vm01"].returncode == 0


def test_open_route_answers_without_a_key_and_is_limited(fleet):
    # Guards against open routes that bypass the rate limits, or that no client can use
    # because the account for clients without a key has no rate.
    async def error_codes_of_ten_statements():
        connection = await fleet.connect(user="guest", password="", database="open")
        codes = []
        for _ in range(10):
            try:
                await run(connection, "SELECT 1")
            except asyncmy.errors.MySQLError as error:
                codes.append(error.args[0])
        return codes

    async def scenario():
        route = {"kind": "create_route", "name": "open", "group": "pledges"}
        plan, _ = fleet.confirm({**route, "open_to_all": True})
        assert any("anonymous" in warning for warning in plan["warnings"])
        assert set(await error_codes_of_ten_statements()) == {9003}
        account = {"kind": "create_account", "name": "anonymous"}
        fleet.confirm({**account, "rate": 100, "burst": 20})
        await asyncio.sleep(2.5)
        assert await error_codes_of_ten_statements() == []
        with pytest.raises(asyncmy.errors.MySQLError) as caught:
            await fleet.connect(user="guest", password="")
        assert caught.value.args[0] == 1045

    asyncio.run(scenario())

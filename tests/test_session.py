"""Sessions of callers: keys, tokens, state and transactions, with a real driver."""

import asyncio

import asyncmy
import pytest
import uvloop
from result import Err, Ok

from citronwood.backend.api import Position, Reply, StatementKind
from citronwood.config.keys import key_digest
from citronwood.errors import Outcome, Refusal
from citronwood.mysql import connection, session
from citronwood.mysql.login_backoff import LoginBackoff
from citronwood.mysql.token import issue_token
from tests.callers import ID_COLUMN, SECRET, configuration, running_entry

WRITE = "INSERT INTO t VALUES (1)"


class SessionClient:
    """Connection of a caller; calling it runs a statement and returns the rows."""

    def __init__(self, connection):
        self.connection = connection

    async def __call__(self, sql):
        async with self.connection.cursor() as cursor:
            await cursor.execute(sql)
            return await cursor.fetchall() if cursor.description else None

    async def error_code(self, sql):
        with pytest.raises(asyncmy.errors.MySQLError) as caught:
            await self(sql)
        return caught.value.args[0]


async def connect(entry, **overrides):
    login = {"user": "demo", "password": "demo-key", "database": "demo"} | overrides
    return SessionClient(
        await asyncmy.connect(
            host="127.0.0.1", port=entry.port, **{"autocommit": True} | login
        )
    )


async def login_error_code(entry, **overrides):
    with pytest.raises(asyncmy.errors.MySQLError) as caught:
        await connect(entry, **overrides)
    return caught.value.args[0]


def run(scenario, runner=uvloop.run, **options):
    async def body():
        async with running_entry(**options) as entry:
            await scenario(entry)

    runner(asyncio.wait_for(body(), 15))


def test_withdrawn_key_stops_an_open_connection():
    async def scenario(entry):
        caller = await connect(entry)
        await caller("BEGIN")
        # Replacing the secret of a key id withdraws the old key.
        accounts = configuration().model_dump()["accounts"]
        accounts["demo"]["keys"] = {"k1": key_digest("new-key")}
        entry.config.current = configuration(accounts=accounts)
        assert await caller.error_code("SELECT 1 FROM t") == 9004
        assert "SELECT 1 FROM t" not in entry.executor.executed_sql
        # The transaction has ended, which releases its locks.
        assert len(entry.executor.ended_sessions) == 1
        assert await login_error_code(entry) == 1045
        await connect(entry, password="new-key")

    run(scenario)


def test_every_statement_checks_the_caller_again():
    # Guards against a cached check that outlives a change of the configuration in force
    # or of the VM's permission to serve.
    text = "SELECT id FROM t WHERE id = 1"

    async def scenario(entry):
        caller = await connect(entry)
        for _ in range(3):
            await caller(text)
        entry.config.current = configuration()
        for _ in range(3):
            await caller(text)
        assert len(entry.executor.executed_sql) == 6
        entry.config.current = configuration(routes={})
        assert await caller.error_code(text) == 1049
        entry.config.current = configuration()
        await caller(text)
        entry.config.may_serve = False
        assert await caller.error_code(text) == 9007
        entry.config.may_serve = True
        caller = await connect(entry)
        await caller(text)
        entry.config.current = configuration(accounts={})
        assert await caller.error_code(text) == 9004
        assert len(entry.executor.executed_sql) == 8

    run(scenario)


def test_each_key_of_an_account_is_accepted():
    async def scenario(entry):
        accounts = configuration().model_dump()["accounts"]
        accounts["demo"]["keys"]["k2"] = key_digest("second")
        entry.config.current = configuration(accounts=accounts)
        caller = await connect(entry, password="second")
        del accounts["demo"]["keys"]["k1"]
        entry.config.current = configuration(accounts=accounts)
        await caller("SELECT id FROM t")

    run(scenario)


@pytest.mark.parametrize(
    ("login", "code"),
    [
        ({"password": ""}, 1045),
        ({"user": "nobody", "password": ""}, 1045),
        ({"database": "private"}, 9008),
        ({"database": "nowhere"}, 1049),
        # The account of callers without a key must not reach a route that needs one.
        ({"user": "anonymous", "password": "", "database": "demo"}, 1045),
    ],
)
def test_login_is_refused(login, code):
    async def scenario(entry):
        assert await login_error_code(entry, **login) == code

    run(scenario)


def test_open_route_admits_callers_without_a_key_to_itself_only():
    async def scenario(entry):
        caller = await connect(entry, user="", password="", database="open")
        await caller("SELECT id FROM t")
        assert entry.executor.requests[-1].account == "anonymous"
        assert await caller.error_code("USE demo") == 9008
        routes = configuration().model_dump()["routes"]
        routes["open"]["open_to_all"] = False
        entry.config.current = configuration(routes=routes)
        assert await caller.error_code("SELECT id FROM t") == 9008

    run(scenario)


def test_isolated_vm_runs_nothing():
    async def scenario(entry):
        caller = await connect(entry)
        entry.config.may_serve = False
        assert await caller.error_code("SELECT id FROM t") == 9007
        assert await login_error_code(entry) == 9007
        assert entry.executor.requests == []

    run(scenario)


def test_wrong_keys_are_delayed_without_delaying_the_right_key():
    async def scenario(entry):
        loop = asyncio.get_running_loop()
        started = loop.time()
        wrong_logins = [login_error_code(entry, password="wrong") for _ in range(5)]
        guesses = asyncio.gather(*wrong_logins)
        await asyncio.sleep(0.2)
        before = loop.time()
        await connect(entry)
        assert loop.time() - before < 0.1
        assert await guesses == [1045] * 5
        # Delays of 50, 100, 200, 400 and 800 ms, which run concurrently.
        assert loop.time() - started > 0.75

    run(scenario)


class CountingLimiter:
    def __init__(self, tokens):
        self.tokens = tokens

    async def acquire(self, account, deadline):
        self.tokens -= 1
        if self.tokens < 0:
            return Err(Refusal(9003, "rate limit, not run"))
        return Ok(None)


def test_a_transaction_takes_one_token_and_local_answers_none():
    async def scenario(entry):
        caller = await connect(entry)
        await caller("SELECT @@sql_mode")
        await caller("BEGIN")
        for _ in range(3):
            await caller(WRITE)
        await caller("COMMIT")
        await caller("SELECT id FROM t")
        assert await caller.error_code("SELECT id FROM t") == 9003
        assert await caller.error_code("BEGIN") == 9003

    run(scenario, limiter=CountingLimiter(2))


def test_reads_carry_the_position_of_the_last_write():
    async def scenario(entry):
        caller = await connect(entry)
        await caller("SELECT id FROM t")
        assert entry.executor.requests[-1].floor is None
        await caller(WRITE)
        await caller("SELECT id FROM t")
        assert entry.executor.requests[-1].floor == Position(3, 1)
        # The session has not written to this route's group, so there is no floor. The
        # route allows reads that are up to 500 ms old.
        await caller("USE second")
        await caller("SELECT id FROM t")
        assert entry.executor.requests[-1].floor is None
        assert entry.executor.requests[-1].max_age_ms == 500

    run(scenario)


def test_token_continues_the_session_on_another_connection():
    async def scenario(entry):
        first, second = await connect(entry), await connect(entry)
        assert await first("SELECT @citronwood_token") == ((None,),)
        await first(WRITE)
        ((token,),) = await first("SELECT @citronwood_token")
        await second(f"set @x := 1, @Citronwood_Token := '{token}'")
        await second("SELECT id FROM t")
        assert entry.executor.requests[-1].floor == Position(3, 1)
        # An older token must not lower the floor.
        await first(WRITE)
        await first(f"SET @citronwood_token = '{token}'")
        await first("SELECT id FROM t")
        assert entry.executor.requests[-1].floor == Position(3, 2)

    run(scenario)


def test_foreign_and_forged_tokens_are_refused():
    async def scenario(entry):
        caller = await connect(entry)
        position = Position(3, 1)
        valid_token = issue_token(SECRET, "demo", "g1", position)
        for token in (
            "",
            "x",
            valid_token[:-2] + ("AA" if valid_token[-2:] != "AA" else "BB"),
            issue_token(b"another secret", "demo", "g1", position),
            issue_token(SECRET, "other", "g1", position),
            issue_token(SECRET, "demo", "g9", position),
        ):
            assert await caller.error_code(f"SET @citronwood_token = '{token}'") == 9009
        await caller(f"SET @citronwood_token = '{valid_token}'")

    run(scenario)


def test_idempotency_key_applies_once():
    async def scenario(entry):
        caller = await connect(entry)
        await caller("set @citronwood_idempotency_key = 'a'")
        await caller("SELECT id FROM t")
        await caller(WRITE)
        await caller(WRITE)
        await caller("SET @citronwood_idempotency_key = 'b'")
        await caller("BEGIN")
        await caller(WRITE)
        await caller("COMMIT")
        await caller(WRITE)
        keys = [request.idempotency_key for request in entry.executor.requests]
        assert keys == [None, "a", None, "b", "b", "b", None]

    run(scenario)


def test_idempotency_key_in_a_transaction_is_refused():
    # Otherwise the key would silently apply to the next transaction.
    async def scenario(entry):
        caller = await connect(entry, autocommit=False)
        await caller("SET @citronwood_idempotency_key = 'a'")
        await caller(WRITE)
        assert await caller.error_code("SET @citronwood_idempotency_key = 'b'") == 1179
        await caller("SET @citronwood_idempotency_key = 'a'")
        await caller("COMMIT")
        await caller(WRITE)
        keys = [request.idempotency_key for request in entry.executor.requests]
        assert keys == ["a", "a", "a", None, None]

    run(scenario)


def test_write_that_did_not_run_keeps_its_idempotency_key():
    # Otherwise the caller's retry would run without the key.
    async def scenario(entry):
        caller = await connect(entry)
        await caller("SET @citronwood_idempotency_key = 'a'")
        entry.executor.outcomes[WRITE] = Refusal(9001, "not run")
        assert await caller.error_code(WRITE) == 9001
        # A key that was already used for another statement is dropped.
        entry.executor.outcomes[WRITE] = Refusal(9006, "reused")
        assert await caller.error_code(WRITE) == 9006
        entry.executor.outcomes.clear()
        await caller(WRITE)
        keys = [request.idempotency_key for request in entry.executor.requests]
        assert keys == ["a", "a", None]

    run(scenario)


@pytest.mark.parametrize(
    "outcome",
    [
        Refusal(9002, "unknown", Outcome.UNKNOWN),
        Refusal(1213, "deadlock", Outcome.FAILED, True),
        RuntimeError("fault"),
    ],
)
def test_failed_transaction_is_reported_once_and_needs_rollback(outcome):
    async def scenario(entry):
        caller = await connect(entry)
        await caller("BEGIN")
        entry.executor.outcomes[WRITE] = outcome
        assert await caller.error_code(WRITE) in (9002, 1213)
        sent_count = len(entry.executor.requests)
        for sql in (WRITE, "SELECT id FROM t", "BEGIN", "COMMIT", "SET @a = 1"):
            assert await caller.error_code(sql) == 9005
        assert len(entry.executor.requests) == sent_count
        await caller("ROLLBACK")
        entry.executor.outcomes.clear()
        await caller(WRITE)
        # The end of the old backend session must not affect the new statement.
        assert (
            entry.executor.requests[-1].session_id not in entry.executor.ended_sessions
        )

    run(scenario)


def test_error_of_the_database_leaves_the_transaction_open():
    async def scenario(entry):
        caller = await connect(entry)
        await caller("BEGIN")
        entry.executor.outcomes[WRITE] = Refusal(1062, "duplicate", Outcome.FAILED)
        assert await caller.error_code(WRITE) == 1062
        assert (await caller("SHOW WARNINGS"))[0][:2] == ("Error", 1062)
        await caller("SELECT id FROM t")
        assert entry.executor.requests[-1].in_transaction

    run(scenario)


def test_result_that_is_cut_off_fails_the_transaction():
    async def interrupted_rows():
        yield [(b"1",)]
        raise OSError("connection lost")

    async def scenario(entry):
        caller = await connect(entry)
        await caller("BEGIN")
        reply = Reply((ID_COLUMN,), interrupted_rows(), 0, 0, None, True, "m1", False)
        entry.executor.outcomes["SELECT id FROM t"] = reply
        assert await caller.error_code("SELECT id FROM t") == 9002
        assert await caller.error_code("SELECT 2 FROM t") == 9005

    run(scenario)


def test_autocommit_off_opens_a_transaction_at_the_first_statement():
    async def scenario(entry):
        caller = await connect(entry, autocommit=False)
        assert (await caller("SELECT @@autocommit")) == ((0,),)
        await caller("SELECT id FROM t")
        await caller(WRITE)
        await caller("COMMIT")
        await caller(WRITE)
        await caller("SET autocommit = 1")
        kinds = [request.kind for request in entry.executor.requests]
        assert kinds == [
            StatementKind.BEGIN,
            StatementKind.READ,
            StatementKind.WRITE,
            StatementKind.COMMIT,
            StatementKind.BEGIN,
            StatementKind.WRITE,
            StatementKind.COMMIT,
        ]

    run(scenario)


def test_state_of_the_session_is_answered_on_the_vm():
    async def scenario(entry):
        caller = await connect(entry)
        for sql in (
            "SET NAMES 'utf8mb4' COLLATE 'utf8mb4_general_ci'",
            "SET SESSION TRANSACTION ISOLATION LEVEL READ COMMITTED",
            "SET TRANSACTION ISOLATION LEVEL REPEATABLE READ, READ ONLY",
            "SET @@SESSION.sql_mode = CONCAT(@@sql_mode, ',STRICT_ALL_TABLES')",
            "SET SQL_AUTO_IS_NULL = 0",
            "SET character_set_results = NULL",
            "SET @a = 'it''s', @b := -5, @c = @a, @d = 1.50",
        ):
            await caller(sql)
        assert await caller("SELECT @a, @b, @c AS c, @missing") == (
            ("it's", -5, "it's", None),
        )
        assert await caller("SELECT DATABASE(), @@transaction_isolation") == (
            ("demo", "READ-COMMITTED"),
        )
        assert await caller("/* x */ SELECT @@session.autocommit AS a LIMIT 1") == (
            (1,),
        )
        variables = await caller("SHOW VARIABLES LIKE 'lower_case%'")
        assert variables == (("lower_case_table_names", "0"),)
        assert await caller("SHOW DATABASES") == (("demo",), ("open",), ("second",))
        assert entry.executor.requests == []
        await caller("BEGIN")
        assert entry.executor.executed_sql == ["START TRANSACTION READ ONLY"]

    run(scenario)


CONNECTOR_J_QUERY = """/* mysql-connector-j-8.4.0 */SELECT
 @@session.auto_increment_increment AS auto_increment_increment,
 @@character_set_client AS character_set_client,
 @@character_set_connection AS character_set_connection,
 @@character_set_results AS character_set_results,
 @@character_set_server AS character_set_server,
 @@collation_server AS collation_server,
 @@collation_connection AS collation_connection, @@init_connect AS init_connect,
 @@interactive_timeout AS interactive_timeout, @@license AS license,
 @@lower_case_table_names AS lower_case_table_names,
 @@max_allowed_packet AS max_allowed_packet,
 @@net_write_timeout AS net_write_timeout,
 @@performance_schema AS performance_schema, @@sql_mode AS sql_mode,
 @@system_time_zone AS system_time_zone, @@time_zone AS time_zone,
 @@transaction_isolation AS transaction_isolation, @@wait_timeout AS wait_timeout"""


@pytest.mark.parametrize(
    "sql",
    [
        CONNECTOR_J_QUERY,
        "SET NAMES utf8mb4,  @@SESSION.sql_mode = CONCAT(CONCAT(@@sql_mode,"
        " ',STRICT_ALL_TABLES'), ',NO_AUTO_VALUE_ON_ZERO'), "
        " @@SESSION.sql_auto_is_null = 0, @@SESSION.wait_timeout = 2147483",
        "SET autocommit=1, sql_mode='STRICT_TRANS_TABLES', foreign_key_checks = ON",
        "set session transaction read write",
        "select @@version_comment limit 1",
        "SELECT @@transaction_isolation, @@session.tx_read_only",
        "SHOW SESSION VARIABLES WHERE Variable_name IN ('sql_mode', 'version')",
        "SHOW WARNINGS",
        "SHOW COUNT(*) WARNINGS",
        "SELECT USER(), CURRENT_USER(), SCHEMA(), ROW_COUNT()",
    ],
)
def test_setup_statements_of_drivers_are_answered_on_the_vm(sql):
    async def scenario(entry):
        caller = await connect(entry)
        await caller(sql)
        assert entry.executor.requests == []

    run(scenario)


def test_assignments_after_set_names_are_not_ignored():
    async def scenario(entry):
        caller = await connect(entry)
        assert (
            await caller.error_code("SET NAMES utf8mb4, foreign_key_checks = 0") == 1231
        )
        await caller("SET NAMES utf8mb4, @a = 5")
        assert await caller("SELECT @a") == ((5,),)
        # If a system variable is refused, no assignment is applied.
        assert await caller.error_code("SET @a = 6, foreign_key_checks = 0") == 1231
        assert await caller("SELECT @a") == ((5,),)

    run(scenario)


def test_key_withdrawn_during_the_wait_for_a_rate_token_is_refused():
    async def scenario(entry):
        caller = await connect(entry)
        entry.services.limiter.config = entry.config
        assert await caller.error_code("SELECT id FROM t") == 9004
        assert entry.executor.requests == []

    class WithdrawingLimiter(CountingLimiter):
        config = None

        async def acquire(self, account, deadline):
            self.config.current = configuration(accounts={})
            return await super().acquire(account, deadline)

    run(scenario, limiter=WithdrawingLimiter(9))


def test_delay_of_failed_logins_is_bounded_in_time_and_memory():
    backoff = LoginBackoff()
    delays = [backoff.record_failure("10.0.0.1", "demo") for _ in range(50)]
    assert delays[0] == 0.05 and max(delays) == 2.0
    for index in range(5000):
        backoff.record_failure(f"10.0.0.{index}", "demo")
    assert len(backoff._failures) == 4096


def test_position_of_a_read_becomes_the_floor():
    # Otherwise every read of a session without writes would query a majority of the
    # members.
    async def scenario(entry):
        caller = await connect(entry)
        rows = entry.executor.rows([])
        reply = Reply((ID_COLUMN,), rows, 0, 0, Position(2, 9), False, "m1", True)
        entry.executor.outcomes["SELECT id FROM t"] = reply
        await caller("SELECT id FROM t")
        await caller("SELECT 2 FROM t")
        assert entry.executor.requests[-1].floor == Position(2, 9)

    run(scenario)


def test_session_values_in_other_statements_become_literals():
    async def scenario(entry):
        caller = await connect(entry)
        await caller(WRITE)
        await caller("SET @a = 'x''y\\\\'")
        await caller("INSERT INTO t VALUES (@a, LAST_INSERT_ID(), '@a', @@autocommit)")
        assert entry.executor.executed_sql[-1] == (
            "INSERT INTO t VALUES ('x''y\\\\', 7, '@a', 1)"
        )
        assert await caller("SELECT LAST_INSERT_ID()") == ((7,),)

    run(scenario)


@pytest.mark.parametrize(
    "sql",
    [
        "LOCK TABLES t WRITE",
        "SELECT GET_LOCK('a', 1)",
        "CREATE TEMPORARY TABLE x (id INT)",
        "SELECT 1; DELETE FROM t",
        "SELECT id INTO @a FROM t",
        "SELECT @a := 1",
        "SET GLOBAL read_only = 1",
        "SET foreign_key_checks = 0",
        "SET TRANSACTION ISOLATION LEVEL SERIALIZABLE",
        "SET NAMES latin1",
        "SET sql_mode = 'ANSI_QUOTES'",
        "SELECT /*!50000 1 */",
        # Commands and tables reserved for the proxy or operator, and system tables.
        "CALL group_promote(9)",
        "CALL `db_g1`.`group_fence`(9)",
        "SHOW GROUP STATUS",
        "DELETE FROM citronwood_requests",
        "DELETE FROM `db_g1`.`citronwood_requests`",
        "SELECT authentication_string FROM mysql.user",
        "DROP DATABASE db_g1",
        "CREATE PROCEDURE p() CALL group_fence(9)",
        "SELECT info FROM information_schema.`processlist`",
        "SHOW FULL PROCESSLIST",
        "KILL 5",
    ],
)
def test_statement_that_could_affect_other_callers_is_refused(sql):
    async def scenario(entry):
        caller = await connect(entry)
        assert await caller.error_code(sql) in (1115, 1227, 1231, 1235)
        assert entry.executor.requests == []

    run(scenario)


def test_route_cannot_change_in_a_transaction():
    async def scenario(entry):
        caller = await connect(entry)
        await caller("BEGIN")
        assert await caller.error_code("USE second") == 1179

    run(scenario)


def test_transaction_of_an_idle_caller_is_rolled_back(monkeypatch):
    # A few abandoned transactions would occupy all connections to the primary.
    monkeypatch.setattr(session, "TRANSACTION_IDLE_TIMEOUT_S", 0.3)
    monkeypatch.setattr(connection, "TRANSACTION_CHECK_INTERVAL_S", 0.1)

    async def scenario(entry):
        caller = await connect(entry)
        await caller("BEGIN")
        for _ in range(4):
            await asyncio.sleep(0.15)
            await caller(WRITE)
        assert entry.executor.ended_sessions == []
        await asyncio.sleep(0.6)
        assert len(entry.executor.ended_sessions) == 1
        assert await caller.error_code("COMMIT") == 9005
        await caller("ROLLBACK")
        await caller(WRITE)

    run(scenario)


def test_transaction_of_an_idle_caller_ends_with_its_key(monkeypatch):
    monkeypatch.setattr(connection, "TRANSACTION_CHECK_INTERVAL_S", 0.1)

    async def scenario(entry):
        caller = await connect(entry)
        await caller("BEGIN")
        entry.config.current = configuration(accounts={})
        await asyncio.sleep(0.3)
        assert len(entry.executor.ended_sessions) == 1
        assert await caller.error_code(WRITE) == 9004

    run(scenario)


def test_rollback_works_after_the_route_was_removed():
    async def scenario(entry):
        caller = await connect(entry)
        await caller("BEGIN")
        routes = configuration().model_dump()["routes"]
        del routes["demo"]
        entry.config.current = configuration(routes=routes)
        assert await caller.error_code(WRITE) == 1049
        await caller("ROLLBACK")
        assert len(entry.executor.ended_sessions) == 1
        assert not caller.connection.get_transaction_status()

    run(scenario)


def test_show_names_the_database_of_the_backend():
    # Schema reflection of ORMs lists the tables of the database that SELECT DATABASE()
    # returns, which is the name of the route.
    async def scenario(entry):
        caller = await connect(entry)
        await caller("SHOW FULL TABLES FROM `demo`")
        await caller("SHOW CREATE TABLE demo.t")
        assert entry.executor.executed_sql == [
            "SHOW FULL TABLES FROM `db_g1`",
            "SHOW CREATE TABLE `db_g1`.t",
        ]

    run(scenario)


def test_binary_values_reach_the_group_as_hexadecimal_literals():
    # Statements are sent between VMs as UTF-8, so they cannot contain raw bytes.
    async def scenario(entry):
        caller = await connect(entry)
        async with caller.connection.cursor() as cursor:
            await cursor.execute("INSERT INTO t VALUES (%s, %s)", (b"\xff'\\\0", "é"))
        assert entry.executor.executed_sql == [
            "INSERT INTO t VALUES (x'ff275c00', 'é')"
        ]

    run(scenario)


def test_request_carries_the_id_of_its_caller_or_a_generated_one():
    """Guards against refusals that cannot be traced in the logs."""

    async def scenario(entry):
        caller = await connect(entry)
        await caller(WRITE)
        await caller(WRITE)
        await caller("SET @citronwood_request_id = 'trace/7'")
        await caller(WRITE)
        assert await caller("SELECT @citronwood_request_id") == (("trace/7",),)
        await caller("SET @citronwood_request_id = NULL")
        await caller(WRITE)
        ids = [request.request_id for request in entry.executor.requests]
        assert ids[2] == "trace/7"
        assert all(ids) and len(set(ids)) == 4

    run(scenario)


@pytest.mark.parametrize("text", ["", "a b", "x" * 65, 'a"b', "a\\nb"])
def test_request_id_that_could_forge_a_log_line_is_refused(text):
    """Guards against log injection by a caller."""

    async def scenario(entry):
        caller = await connect(entry)
        assert await caller.error_code(f"SET @citronwood_request_id = '{text}'") == 1231
        await caller(WRITE)
        assert entry.executor.requests[0].request_id not in ("", text)

    run(scenario)

"""Statements that a session answers without its database group."""

from typing import Protocol

from mysql_mimic.errors import MysqlError

from citronwood.mysql.access import Access
from citronwood.mysql.assignments import Assignment, Default, parse_set
from citronwood.mysql.codes import MysqlCode
from citronwood.mysql.connection import SERVER_VERSION
from citronwood.mysql.handler import StatementResult
from citronwood.mysql.lexical import tokenize
from citronwood.mysql.literals import Value
from citronwood.mysql.local import (
    SelectItem,
    local_result,
    select_items,
    show_variables,
    substitute_session_values,
)
from citronwood.mysql.requests import GroupRequests
from citronwood.mysql.state import SessionState
from citronwood.mysql.statement import Statement

SESSION_TOKEN = "citronwood_token"
IDEMPOTENCY_KEY = "citronwood_idempotency_key"
REQUEST_ID = "citronwood_request_id"


class Owner(Protocol):
    """Session whose statements are answered."""

    access: Access

    @property
    def state(self) -> SessionState:
        """Variables of the session."""
        ...

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open."""
        ...

    @property
    def requests(self) -> GroupRequests:
        """Requests to the database group."""
        ...

    async def use(self, database: str) -> None:
        """Select the route."""
        ...


class LocalAnswers:
    """Answers the statements that concern only the session."""

    __slots__ = ("_owner", "connection_id")

    def __init__(self, owner: Owner) -> None:
        self._owner = owner
        self.connection_id = 0

    async def answer(self, sql: str, statement: Statement) -> StatementResult | None:
        """Return the result of a statement, None if it is not answered locally."""
        words = statement.words
        verb = words[0]
        if verb == "SELECT":
            return self._select(sql) if statement.uses_session else None
        if verb == "SET":
            return await self._set(sql)
        if verb == "USE":
            return await self._use(sql)
        if verb == "SHOW":
            return self._show(sql, words)
        if verb in ("SAVEPOINT", "RELEASE") and not self._keeps_savepoints():
            return StatementResult()
        return None

    def substitute(self, sql: str, statement: Statement) -> str:
        """Return the statement as it is sent to the group.

        Session values are replaced by literals, and in SHOW the name of the route by
        that of the backend database.
        """
        if statement.uses_session:
            sql = substitute_session_values(
                sql,
                self._owner.state.system_variable,
                self._user_variable,
                self._function_value,
            )
        if statement.words[0] == "SHOW":
            sql = self._replace_route_name(sql)
        return sql

    def _keeps_savepoints(self) -> bool:
        """Whether a savepoint outlives its statement.

        Without autocommit, the statement itself opens a transaction.
        """
        return self._owner.in_transaction or not self._owner.state.autocommit

    async def _use(self, sql: str) -> StatementResult:
        operands = [token.text for token in tokenize(sql) if token.text != ";"][1:]
        if len(operands) != 1:
            raise MysqlError("USE takes the name of a route", MysqlCode.NOT_SUPPORTED)
        await self._owner.use(operands[0])
        return StatementResult()

    async def _set(self, sql: str) -> StatementResult:
        """Check all system variables and references before any assignment is applied.

        A user variable that is refused when it is applied, such as an invalid session
        token, does not undo the assignments before it.
        """
        state = self._owner.state
        checked: list[tuple[Assignment, Value]] = []
        assigned: dict[str, Value] = {}
        for assignment in parse_set(sql):
            value = state.resolve(assignment, assigned)
            if not assignment.is_user:
                value = state.check_assignment(assignment, value)
            elif isinstance(value, Default):
                raise MysqlError(
                    "User variables have no default", MysqlCode.WRONG_VALUE
                )
            else:
                assigned[assignment.name] = value
            checked.append((assignment, value))
        for assignment, checked_value in checked:
            await self._apply(assignment, checked_value)
        return StatementResult()

    async def _apply(self, assignment: Assignment, value: Value) -> None:
        state = self._owner.state
        if assignment.is_user and assignment.name == SESSION_TOKEN:
            self._owner.requests.accept_token(value)
        elif assignment.is_user and assignment.name == IDEMPOTENCY_KEY:
            self._owner.requests.set_idempotency_key(value)
        elif assignment.is_user and assignment.name == REQUEST_ID:
            self._owner.requests.set_request_id(value)
        elif assignment.is_user:
            state.assign_user(assignment.name, value)
        elif isinstance(value, int | str | None):
            name = assignment.name.lower()
            if name == "autocommit" and value == 1 and not state.autocommit:
                await self._owner.requests.commit()
            state.assign_system(name, value, assignment.next_transaction_only)

    def _select(self, sql: str) -> StatementResult | None:
        items = select_items(sql)
        if items is None:
            return None
        values = tuple(self._item_value(item) for item in items)
        return local_result([item.label for item in items], [values])

    def _item_value(self, item: SelectItem) -> Value:
        if item.kind == "system":
            return self._owner.state.system_variable(item.name)
        if item.kind == "user":
            return self._user_variable(item.name)
        return (
            self._function_value(item.name) if item.kind == "function" else item.value
        )

    def _user_variable(self, name: str) -> Value:
        if name == SESSION_TOKEN:
            return self._owner.requests.issue_token()
        if name == IDEMPOTENCY_KEY:
            return self._owner.requests.idempotency_key()
        if name == REQUEST_ID:
            return self._owner.requests.request_id()
        return self._owner.state.user_variable(name)

    def _function_value(self, name: str) -> Value:
        owner = self._owner
        if name in ("DATABASE", "SCHEMA"):
            return owner.access.route
        if name == "VERSION":
            return SERVER_VERSION
        if name == "CONNECTION_ID":
            return self.connection_id
        if name == "LAST_INSERT_ID":
            return owner.state.last_insert_id
        if name == "ROW_COUNT":
            return owner.state.row_count
        return f"{owner.access.account}@%"

    def _show(self, sql: str, words: tuple[str, ...]) -> StatementResult | None:
        words = tuple(w for w in words[1:] if w not in ("SESSION", "GLOBAL", "LOCAL"))
        subject = words[0] if words else ""
        if subject in ("WARNINGS", "ERRORS"):
            return self._show_errors()
        if subject == "COUNT":
            count = int(self._owner.state.last_error is not None)
            counted = "error" if "ERRORS" in sql.upper() else "warning"
            return local_result((f"@@session.{counted}_count",), [(count,)])
        if subject == "VARIABLES":
            return show_variables(sql, self._owner.state.system_variable)
        if subject in ("DATABASES", "SCHEMAS"):
            names: list[tuple[Value, ...]] = [(n,) for n in self._owner.access.routes()]
            return local_result(("Database",), names)
        return None

    def _show_errors(self) -> StatementResult:
        error = self._owner.state.last_error
        rows: list[tuple[Value, ...]] = []
        if error is not None:
            rows.append(("Error", int(error.code), error.message))
        return local_result(("Level", "Code", "Message"), rows)

    def _replace_route_name(self, sql: str) -> str:
        """Replace the first use of the route as a database by the backend database."""
        route = self._owner.access.route
        all_tokens = list(tokenize(sql))
        for index, token in enumerate(all_tokens):
            after_keyword = index and all_tokens[index - 1].text.upper() in (
                "FROM",
                "IN",
            )
            is_qualifier = (
                index + 1 < len(all_tokens) and all_tokens[index + 1].text == "."
            )
            if (after_keyword or is_qualifier) and token.text == route:
                name = self._owner.access.backend_database().replace("`", "``")
                return f"{sql[: token.start]}`{name}`{sql[token.end :]}"
        return sql

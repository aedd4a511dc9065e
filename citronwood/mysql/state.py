"""State of a client session that is stored on the VM."""

from typing import NamedTuple

from mysql_mimic.errors import MysqlError

from citronwood.mysql.assignments import Assignment, Default, Reference
from citronwood.mysql.codes import MysqlCode
from citronwood.mysql.literals import Value
from citronwood.mysql.variables import (
    VariableValue,
    canonical_name,
    find_variable,
    validate_value,
)

MAX_USER_VARIABLES = 64
MAX_USER_VARIABLES_TOTAL_CHARS = 65_536


class LastError(NamedTuple):
    """Error of the last statement, for SHOW WARNINGS."""

    code: int
    message: str


class SessionState:
    """Variables and results that statements of the session can refer to.

    The dictionaries are created on first use, because most sessions set no variable.
    """

    __slots__ = (
        "_next_transaction",
        "_system",
        "_user",
        "last_error",
        "last_insert_id",
        "row_count",
    )

    def __init__(self) -> None:
        self._system: dict[str, VariableValue] | None = None
        self._user: dict[str, Value] | None = None
        self._next_transaction: dict[str, VariableValue] | None = None
        self.last_insert_id = 0
        self.row_count = 0
        self.last_error: LastError | None = None

    @property
    def autocommit(self) -> bool:
        """Whether statements outside a transaction commit on their own."""
        return self._system is None or self._system.get("autocommit", 1) == 1

    def system_variable(self, name: str) -> VariableValue:
        """Return the value of a system variable, or raise ``MysqlError``."""
        name = canonical_name(name)
        if name == "error_count" or name == "warning_count":
            return int(self.last_error is not None)
        if name in ("identity", "last_insert_id"):
            return self.last_insert_id
        default = find_variable(name).default
        return default if self._system is None else self._system.get(name, default)

    def user_variable(self, name: str) -> Value:
        """Return the value of a user variable, None if it was never set."""
        return None if self._user is None else self._user.get(name)

    def take_read_only(self) -> bool:
        """Return whether the transaction that begins now is read-only.

        Drops all settings that apply to the next transaction only.
        """
        pending, self._next_transaction = self._next_transaction, None
        name = "transaction_read_only"
        if pending is not None and name in pending:
            return pending[name] == 1
        return self.system_variable(name) == 1

    def check_assignment(
        self, assignment: Assignment, value: Value | Default
    ) -> VariableValue:
        """Return the value to store in a system variable, or raise ``MysqlError``."""
        if isinstance(value, Default):
            return find_variable(assignment.name).default
        if not isinstance(value, int | str | None):
            value = str(value)
        return validate_value(assignment.name, value)

    def assign_system(
        self, name: str, value: VariableValue, next_transaction_only: bool = False
    ) -> None:
        """Store a value that ``check_assignment`` has returned."""
        if next_transaction_only:
            if self._next_transaction is None:
                self._next_transaction = {}
            self._next_transaction[canonical_name(name)] = value
            return
        if self._system is None:
            self._system = {}
        self._system[canonical_name(name)] = value

    def assign_user(self, name: str, value: Value) -> None:
        """Store a user variable, within the limits on number and size."""
        if self._user is None:
            self._user = {}
        size = sum(len(str(stored)) for stored in self._user.values()) + len(str(value))
        too_many = len(self._user) >= MAX_USER_VARIABLES and name not in self._user
        if too_many or size > MAX_USER_VARIABLES_TOTAL_CHARS:
            raise MysqlError(
                f"At most {MAX_USER_VARIABLES} user variables with"
                f" {MAX_USER_VARIABLES_TOTAL_CHARS} characters can be kept",
                MysqlCode.WRONG_VALUE,
            )
        self._user[name] = value

    def resolve(
        self, assignment: Assignment, assigned: dict[str, Value]
    ) -> Value | Default:
        """Return the value of an assignment; references are replaced.

        ``assigned`` holds the user variables that the same statement has assigned.
        """
        value = assignment.value
        if not isinstance(value, Reference):
            return value
        if value.is_user:
            return assigned.get(value.name, self.user_variable(value.name))
        return self.system_variable(value.name)

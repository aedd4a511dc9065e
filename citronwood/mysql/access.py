"""What one caller may do, by the configuration in force."""

from typing import NamedTuple

from mysql_mimic.errors import MysqlError

from citronwood.backend.answers import refuse_withdrawn
from citronwood.config.api import ConfigSource
from citronwood.config.model import ANONYMOUS, Configuration, Route
from citronwood.errors import ErrorCode, Refusal
from citronwood.mysql.codes import MysqlCode


class Target(NamedTuple):
    """Where the statements of a route go."""

    route: str
    group: str
    max_age_ms: int | None


class Access:
    """Account, key and route of one connection.

    Checks are repeated only when the configuration in force is another object.
    """

    __slots__ = ("_config", "_digest", "_key_id", "_target", "_valid_in", "account")

    def __init__(self, config: ConfigSource) -> None:
        self._config = config
        self._key_id: str | None = None
        self._digest: str | None = None
        self._target: Target | None = None
        self._valid_in: Configuration | None = None
        self.account = ""

    @property
    def route(self) -> str | None:
        """Name of the selected route."""
        return None if self._target is None else self._target.route

    @property
    def key(self) -> tuple[str, int] | None:
        """Id of the key, and the configuration version that it was last valid in."""
        if self._key_id is None or self._valid_in is None:
            return None
        return self._key_id, self._valid_in.version

    def find_digests(self, username: str) -> list[str] | None:
        """Return the digests of all keys of an account."""
        account = self._config.current.accounts.get(username)
        if account is None or username == ANONYMOUS:
            return None
        # An empty list would admit the account without a password.
        return list(account.keys.values()) or None

    def admits_without_key(self, database: str | None) -> bool:
        """Whether an open route is named."""
        route = self._config.current.routes.get(database or "")
        return route is not None and route.open_to_all

    def accept(self, username: str, digest: str | None) -> None:
        """Remember who has logged in; None stands for a caller without a key."""
        self._digest, self._key_id, self._target = digest, None, None
        self._valid_in = None
        self.account = ANONYMOUS
        if digest is not None:
            self.account = username
            keys = self._config.current.accounts[username].keys
            self._key_id = next(name for name, d in keys.items() if d == digest)

    def check_route(self, name: str) -> Route:
        """Return a route that the account may use, or raise ``MysqlError``."""
        route = self._config.current.routes.get(name)
        if route is None:
            raise MysqlError(
                f"Unknown route '{name}'; use one that your operator has created",
                ErrorCode.UNKNOWN_ROUTE,
            )
        if not self._may_use(route):
            raise MysqlError(
                f"Account '{self.account}' may not use route '{name}'; ask your"
                " operator",
                ErrorCode.ROUTE_FORBIDDEN,
            )
        return route

    def select(self, name: str) -> None:
        """Make a route the target of the following statements."""
        route = self.check_route(name)
        self._target = Target(name, route.group, route.max_read_age_ms)

    def target(self) -> Target:
        """Return the selected target, or raise ``MysqlError``."""
        if self._target is None:
            raise MysqlError(
                "No route selected; name one as the database", MysqlCode.NO_DATABASE
            )
        return self._target

    def routes(self) -> list[str]:
        """Return the names of all routes that the account may use."""
        found = self._config.current.routes.items()
        return sorted(name for name, route in found if self._may_use(route))

    def groups(self) -> set[str]:
        """Return the groups of all routes that the account may use."""
        routes = self._config.current.routes.values()
        return {route.group for route in routes if self._may_use(route)}

    def backend_database(self) -> str:
        """Return the name of the database on the backend servers."""
        group = self._config.current.groups.get(self.target().group)
        return "" if group is None else group.database

    def may_serve(self) -> bool:
        """Whether this VM may run requests."""
        return self._config.may_serve

    def isolation(self) -> Refusal | None:
        """Return the refusal of a VM that is cut off from the fleet."""
        if self.may_serve():
            return None
        return Refusal(
            ErrorCode.VM_ISOLATED,
            "This VM is cut off from the fleet and ran nothing; connect elsewhere",
        )

    def refusal(self) -> Refusal | None:
        """Return why the caller may no longer run requests, None if it may."""
        config = self._config
        if config.may_serve and config.current is self._valid_in:
            return None
        isolation = self.isolation()
        if isolation is not None:
            return isolation
        try:
            valid = self.is_valid()
        except MysqlError as error:
            return Refusal(error.code, error.msg)
        if valid:
            return None
        return refuse_withdrawn()

    def is_valid(self) -> bool:
        """Whether the key that logged in is still in force."""
        current = self._config.current
        if current is self._valid_in:
            return True
        if self._key_id is not None:
            account = current.accounts.get(self.account)
            if account is None or account.keys.get(self._key_id) != self._digest:
                return False
        if self._target is not None:
            # Routes may have changed with the configuration.
            self.select(self._target.route)
        self._valid_in = current
        return True

    def _may_use(self, route: Route) -> bool:
        if route.open_to_all:
            return True
        if self.account == ANONYMOUS:
            return False
        return route.accounts is None or self.account in route.accounts

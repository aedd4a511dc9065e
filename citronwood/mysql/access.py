"""Access rights of one client under the current configuration."""

from typing import NamedTuple

from mysql_mimic.errors import MysqlError

from citronwood.backend.answers import refuse_withdrawn
from citronwood.config.api import ConfigSource
from citronwood.config.model import ANONYMOUS, Configuration, Route
from citronwood.errors import ErrorCode, Refusal
from citronwood.mysql.codes import MysqlCode


class Target(NamedTuple):
    """Database group and maximum read age of a route."""

    route: str
    group: str
    max_age_ms: int | None


class Access:
    """Account, key and route of one connection.

    The result of a check is cached until the configuration is replaced.
    """

    __slots__ = (
        "_config",
        "_digest",
        "_key_id",
        "_target",
        "_validated_config",
        "account",
    )

    def __init__(self, config: ConfigSource) -> None:
        self._config = config
        self._key_id: str | None = None
        self._digest: str | None = None
        self._target: Target | None = None
        self._validated_config: Configuration | None = None
        self.account = ""

    @property
    def route(self) -> str | None:
        """Name of the selected route."""
        return None if self._target is None else self._target.route

    @property
    def key(self) -> tuple[str, int] | None:
        """Id of the key, and the configuration version it was last found valid in.

        None for a client without a key, and before the first check.
        """
        if self._key_id is None or self._validated_config is None:
            return None
        return self._key_id, self._validated_config.version

    def find_key_digests(self, username: str) -> list[str] | None:
        """Return the digests of all keys of an account, None if it has none."""
        account = self._config.current.accounts.get(username)
        if account is None or username == ANONYMOUS:
            return None
        # By the contract of ``Handler``, an empty list would permit a login with an
        # empty password.
        return list(account.keys.values()) or None

    def allows_anonymous(self, database: str | None) -> bool:
        """Whether the database names an open route."""
        route = self._config.current.routes.get(database or "")
        return route is not None and route.open_to_all

    def log_in(self, username: str, digest: str | None) -> None:
        """Store the account and key of a login; the digest is None without a key."""
        self._digest, self._key_id, self._target = digest, None, None
        self._validated_config = None
        self.account = ANONYMOUS
        if digest is not None:
            self.account = username
            keys = self._config.current.accounts[username].keys
            self._key_id = next(
                name for name, known_digest in keys.items() if known_digest == digest
            )

    def check_route(self, name: str) -> Route:
        """Return the route if the account may use it, or raise ``MysqlError``."""
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
        """Select the route whose group runs the following statements."""
        route = self.check_route(name)
        self._target = Target(name, route.group, route.max_read_age_ms)

    def target(self) -> Target:
        """Return the target of the selected route, or raise ``MysqlError``."""
        if self._target is None:
            raise MysqlError(
                "No route selected; name one as the database", MysqlCode.NO_DATABASE
            )
        return self._target

    def routes(self) -> list[str]:
        """Return the names of all routes that the account may use."""
        all_routes = self._config.current.routes.items()
        return sorted(name for name, route in all_routes if self._may_use(route))

    def groups(self) -> set[str]:
        """Return the groups of all routes that the account may use."""
        routes = self._config.current.routes.values()
        return {route.group for route in routes if self._may_use(route)}

    def backend_database(self) -> str:
        """Return the database of the selected group, empty if the group is unknown."""
        group = self._config.current.groups.get(self.target().group)
        return "" if group is None else group.database

    def may_serve(self) -> bool:
        """Whether this VM may run requests."""
        return self._config.may_serve

    def isolation_refusal(self) -> Refusal | None:
        """Return the refusal if this VM is cut off from the fleet, None otherwise."""
        if self.may_serve():
            return None
        return Refusal(
            ErrorCode.VM_ISOLATED,
            "This VM is cut off from the fleet and ran nothing; connect elsewhere",
        )

    def refusal(self) -> Refusal | None:
        """Return the refusal if the client may no longer run requests, or None."""
        config = self._config
        if config.may_serve and config.current is self._validated_config:
            return None
        isolation_refusal = self.isolation_refusal()
        if isolation_refusal is not None:
            return isolation_refusal
        try:
            valid = self.is_valid()
        except MysqlError as error:
            return Refusal(error.code, error.msg)
        if valid:
            return None
        return refuse_withdrawn()

    def is_valid(self) -> bool:
        """Whether the key of the login is still valid.

        Updates the target of the selected route. Raises ``MysqlError`` if the route is
        gone or forbidden.
        """
        current = self._config.current
        if current is self._validated_config:
            return True
        if self._key_id is not None:
            account = current.accounts.get(self.account)
            if account is None or account.keys.get(self._key_id) != self._digest:
                return False
        if self._target is not None:
            # The route may have another group or maximum read age now.
            self.select(self._target.route)
        self._validated_config = current
        return True

    def _may_use(self, route: Route) -> bool:
        if route.open_to_all:
            return True
        if self.account == ANONYMOUS:
            return False
        return route.accounts is None or self.account in route.accounts

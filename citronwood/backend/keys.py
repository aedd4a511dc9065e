"""Check of a caller's key at the gateway of another VM."""

from citronwood.backend.answers import refuse_withdrawn
from citronwood.config.api import ConfigSource
from citronwood.errors import Refusal


class KeyCheck:
    """Check whether the key with which a statement was sent is still in force.

    Only the id of the key is sent between VMs. The entry VM has found the key in
    ``version`` of the configuration. A key that this VM does not know yet is accepted
    while the configuration of this VM is older than ``version``. After a withdrawal the
    id may be reused for a new key, so a changed digest also means a withdrawn key.
    """

    __slots__ = ("_account", "_config", "_digest", "_key_id", "_version")

    def __init__(
        self, config: ConfigSource, account: str, key_id: str, version: int
    ) -> None:
        self._config = config
        self._account = account
        self._key_id = key_id
        self._version = version
        self._digest = self._find_digest()

    def __call__(self) -> Refusal | None:
        """Return the refusal of a withdrawn key; None if the key is in force."""
        digest = self._find_digest()
        if digest is None:
            is_outdated = self._config.current.version < self._version
            return None if self._digest is None and is_outdated else refuse_withdrawn()
        if self._digest is None:
            self._digest = digest
        return None if digest == self._digest else refuse_withdrawn()

    def _find_digest(self) -> str | None:
        account = self._config.current.accounts.get(self._account)
        return None if account is None else account.keys.get(self._key_id)

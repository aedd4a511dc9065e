"""Intents on client accounts and their keys."""

from typing import Annotated, Literal

from pydantic import Field

from citronwood.config.draft import Document, Draft, Intent
from citronwood.config.keys import key_digest, new_secret
from citronwood.config.model import Name

Rate = Annotated[float, Field(gt=0, le=1e6)]
Burst = Annotated[int, Field(ge=1, le=1_000_000)]
Weight = Annotated[int, Field(ge=1, le=100)]


class CreateAccount(Intent):
    """Create a client account, without a key."""

    kind: Literal["create_account"]
    name: Name
    rate: Rate
    burst: Burst
    weight: Weight = 1
    new = {"name": "accounts"}

    def apply(self, draft: Draft) -> None:
        """Add the account."""
        fields = self.model_dump(exclude={"kind", "name"})
        draft.section("accounts")[self.name] = {**fields, "keys": {}}
        draft.warnings.append(f"account {self.name} has no key yet")


class ChangeAccount(Intent):
    """Change the given fields of a client account.

    The defaults only make the fields optional: a field that is not given stays
    unchanged.
    """

    kind: Literal["change_account"]
    account: Name
    rate: Rate = 1
    burst: Burst = 1
    weight: Weight = 1
    existing = {"account": "accounts"}

    def apply(self, draft: Draft) -> None:
        """Change the account."""
        draft.section("accounts")[self.account].update(self.changed_fields())


class SetRate(Intent):
    """Set both the rate in requests per second and the burst in requests."""

    kind: Literal["set_rate"]
    account: Name
    rate: Rate
    burst: Burst
    existing = {"account": "accounts"}

    def apply(self, draft: Draft) -> None:
        """Change the account."""
        draft.section("accounts")[self.account].update(self.changed_fields())


class RemoveAccount(Intent):
    """Remove a client account, its keys, and its name from the routes that list it.

    A route without a list admits all accounts, a route with an empty list none.
    """

    kind: Literal["remove_account"]
    account: Name
    existing = {"account": "accounts"}

    def apply(self, draft: Draft) -> None:
        """Remove the account."""
        keys = draft.section("accounts").pop(self.account)["keys"]
        if keys:
            draft.warnings.append(
                f"{len(keys)} keys of account {self.account} stop working"
            )
        for name, route in draft.section("routes").items():
            if self.account in (route["accounts"] or ()):
                route["accounts"] = [a for a in route["accounts"] if a != self.account]
                draft.warnings.append(f"route {name} no longer lists {self.account}")


class GrantKey(Intent):
    """Add a key; its secret is returned once and only its digest is stored."""

    kind: Literal["grant_key"]
    account: Name
    key_id: Name | None = None
    existing = {"account": "accounts"}

    def apply(self, draft: Draft) -> None:
        """Generate a secret, which only the draft contains, and add its digest."""
        keys = draft.section("accounts")[self.account]["keys"]
        key_id = self.key_id or _next_free_key_id(keys)
        if key_id in keys:
            draft.add_finding(
                "key_id", f"account {self.account} already has key {key_id}"
            )
            return
        secret = new_secret()
        keys[key_id] = key_digest(secret)
        draft.secrets[f"{self.account}/{key_id}"] = secret


class WithdrawKey(Intent):
    """Withdraw a key.

    New logins with it are refused, and statements on open connections that use it.
    """

    kind: Literal["withdraw_key"]
    account: Name
    key_id: Name
    existing = {"account": "accounts"}

    def apply(self, draft: Draft) -> None:
        """Remove the digest of the key."""
        keys = draft.section("accounts")[self.account]["keys"]
        if keys.pop(self.key_id, None) is None:
            draft.add_finding(
                "key_id", f"account {self.account} has no key {self.key_id}"
            )
        elif not keys:
            draft.warnings.append(f"account {self.account} has no key left")


def _next_free_key_id(keys: Document) -> str:
    number = len(keys) + 1
    while f"k{number}" in keys:
        number += 1
    return f"k{number}"

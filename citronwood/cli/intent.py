"""Short command line forms of configuration intents."""

from collections.abc import Callable
from typing import Any, NamedTuple

Document = dict[str, Any]


class UsageError(Exception):
    """The arguments do not describe an intent."""


class ShortForm(NamedTuple):
    """Intent kind of a short form and the intent fields that its arguments set.

    The first ``required`` fields of ``names`` are mandatory. ``rest`` names a field for
    all further arguments and the function that converts them. ``fixed`` holds fields
    with a constant value.
    """

    kind: str
    names: tuple[str, ...]
    required: int
    rest: tuple[str, Callable[[list[str]], Any]] | None = None
    fixed: Document = {}


def _simple_form(kind: str, *names: str, optional: tuple[str, ...] = ()) -> ShortForm:
    return ShortForm(kind, (*names, *optional), len(names))


def _parse_members(arguments: list[str]) -> Document:
    members = {}
    for argument in arguments:
        name, _, address = argument.partition("=")
        parts = address.rsplit(":", 2)
        if len(parts) != 3:
            raise UsageError(f"{argument}: expected NAME=HOST:PORT:FAILURE_DOMAIN")
        host, port, domain = parts
        members[name] = {"host": host, "port": port, "failure_domain": domain}
    return members


SHORT_FORMS = {
    "create-account": _simple_form(
        "create_account", "name", "rate", "burst", optional=("weight",)
    ),
    "set-rate": _simple_form("set_rate", "account", "rate", "burst"),
    "set-weight": _simple_form("change_account", "account", "weight"),
    "remove-account": _simple_form("remove_account", "account"),
    "grant-key": _simple_form("grant_key", "account", optional=("key_id",)),
    "withdraw-key": _simple_form("withdraw_key", "account", "key_id"),
    "create-group": ShortForm(
        "create_group", ("name", "database"), 2, ("members", _parse_members)
    ),
    "remove-group": _simple_form("remove_group", "group"),
    "add-member": _simple_form(
        "add_member", "group", "member", "host", "port", "failure_domain"
    ),
    "mark-leaving": ShortForm(
        "change_member", ("group", "member"), 2, fixed={"leaving": True}
    ),
    "unmark-leaving": ShortForm(
        "change_member", ("group", "member"), 2, fixed={"leaving": False}
    ),
    "remove-member": _simple_form("remove_member", "group", "member"),
    "create-route": ShortForm("create_route", ("name", "group"), 2, ("accounts", list)),
    "remove-route": _simple_form("remove_route", "route"),
    "change-primary": _simple_form("change_primary", "group", "member"),
    "set-share-slots": _simple_form("set_share_slots", "count"),
}


def parse_short_form(form_name: str, arguments: list[str]) -> Document:
    """Return the intent of a short form or raise ``UsageError``.

    Values stay strings; the VM that creates the plan converts and validates them.
    """
    form = SHORT_FORMS[form_name]
    extra = arguments[len(form.names) :]
    if len(arguments) < form.required or (extra and form.rest is None):
        raise UsageError(f"usage: citronwood plan {usage_of(form_name)}")
    intent: Document = {"kind": form.kind, **form.fixed}
    intent.update(zip(form.names, arguments, strict=False))
    if form.rest is not None and extra:
        field, convert = form.rest
        intent[field] = convert(extra)
    return intent


def usage_of(form_name: str) -> str:
    """Return the usage line of a short form."""
    form = SHORT_FORMS[form_name]
    words = [name.upper() for name in form.names[: form.required]]
    words += [f"[{name.upper()}]" for name in form.names[form.required :]]
    if form.rest is not None:
        words.append(f"[{form.rest[0].upper()}...]")
    return " ".join([form_name, *words])

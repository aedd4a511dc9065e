"""Short command line forms of configuration intents."""

from collections.abc import Callable
from typing import Any, NamedTuple

Document = dict[str, Any]


class UsageError(Exception):
    """The arguments do not describe an intent."""


class ShortForm(NamedTuple):
    """Intent kind of a short form and the intent fields that its arguments set.

    ``field_names`` are set by one argument each; the first ``required_count`` are
    mandatory. ``trailing`` is a field that all further arguments set, and the function
    that converts them. ``constants`` holds fields with a constant value.
    """

    kind: str
    field_names: tuple[str, ...]
    required_count: int
    trailing: tuple[str, Callable[[list[str]], Any]] | None = None
    constants: Document = {}


def _simple_form(
    kind: str, *required: str, optional: tuple[str, ...] = ()
) -> ShortForm:
    return ShortForm(kind, (*required, *optional), len(required))


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
        "change_member", ("group", "member"), 2, constants={"leaving": True}
    ),
    "unmark-leaving": ShortForm(
        "change_member", ("group", "member"), 2, constants={"leaving": False}
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
    extra = arguments[len(form.field_names) :]
    if len(arguments) < form.required_count or (extra and form.trailing is None):
        raise UsageError(f"usage: citronwood plan {usage_of(form_name)}")
    intent: Document = {"kind": form.kind, **form.constants}
    intent.update(zip(form.field_names, arguments, strict=False))
    if form.trailing is not None and extra:
        field, convert = form.trailing
        intent[field] = convert(extra)
    return intent


def usage_of(form_name: str) -> str:
    """Return the usage line of a short form."""
    form = SHORT_FORMS[form_name]
    words = [name.upper() for name in form.field_names[: form.required_count]]
    words += [f"[{name.upper()}]" for name in form.field_names[form.required_count :]]
    if form.trailing is not None:
        words.append(f"[{form.trailing[0].upper()}...]")
    return " ".join([form_name, *words])

"""``citronwood check-settings`` and the command line flags of the settings."""

import json

from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option
from cleo.io.outputs.output import Type

from citronwood.errors import SettingsError
from citronwood.ingress.budget import ENTRY_BASE_MB, find_misfits
from citronwood.settings import (
    EXIT_CODE_INVALID,
    LoadedSettings,
    Settings,
    describe_settings,
    flag_of,
    load_settings,
    variable_of,
)


def settings_options() -> list[Option]:
    """Return one option for each setting."""
    return [
        option(
            flag_of(name).removeprefix("--"),
            None,
            f"{field.description}; or {variable_of(name)}",
            flag=False,
        )
        for name, field in Settings.model_fields.items()
    ]


def load_command_settings(command: Command) -> LoadedSettings | None:
    """Return the settings of a command, or print all errors and return None."""
    flags = {
        name: command.option(flag_of(name).removeprefix("--"))
        for name in Settings.model_fields
    }
    try:
        return load_settings(flags)
    except SettingsError as error:
        for finding in error.findings:
            command.io.write_error_line(finding, type=Type.RAW)
        return None


class CheckSettingsCommand(Command):
    """Check the settings without starting anything."""

    name = "check-settings"
    description = "Print the effective settings and the source of each."
    options = [*settings_options(), option("json", None, "print JSON")]

    def handle(self) -> int:
        """Print the settings with masked secrets, or all errors."""
        loaded = load_command_settings(self)
        if loaded is None:
            return EXIT_CODE_INVALID
        rows = describe_settings(loaded)
        settings = loaded.settings
        for warning in find_misfits(
            settings.memory_mb, settings.max_descriptors, ENTRY_BASE_MB
        ):
            self.io.write_error_line(f"warning: {warning}", type=Type.RAW)
        if self.option("json"):
            document = {n: {"value": v, "source": s} for n, v, s in rows}
            self.io.write_line(json.dumps(document, indent=2), type=Type.RAW)
            return 0
        for name, value, source in rows:
            self.io.write_line(f"{name} = {value}  ({source})", type=Type.RAW)
        return 0

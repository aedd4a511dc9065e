"""``citronwood node``: the proxy process on a VM of the platform."""

from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.outputs.output import Type

from citronwood.errors import SettingsError
from citronwood.ingress.budget import derive_limits, find_misfits
from citronwood.platform.nodefile import load_settings
from citronwood.platform.process import EXIT_CODE_INVALID, main, settings_path


class NodeCommand(Command):
    """Relay client sessions on a VM of the platform."""

    name = "node"
    description = "Serve client sessions on a VM of the platform (CITRONWOOD_SETTINGS)."
    options = [option("check", None, "check the settings file, print it and exit")]

    def handle(self) -> int:
        """Run until a stop signal arrives, or check the settings."""
        if not self.option("check"):
            return main()
        path = settings_path()
        try:
            settings = load_settings(path)
        except SettingsError as error:
            for finding in error.findings:
                self.io.write_error_line(f"{path}: {finding}", type=Type.RAW)
            return EXIT_CODE_INVALID
        for name, value in settings._asdict().items():
            self.io.write_line(f"{name} = {value}", type=Type.RAW)
        limits = derive_limits(settings.memory_mb, settings.max_descriptors)
        for name, value in limits._asdict().items():
            self.io.write_line(f"limits.{name} = {value}", type=Type.RAW)
        for warning in find_misfits(settings.memory_mb, settings.max_descriptors):
            self.io.write_error_line(f"warning: {path}: {warning}", type=Type.RAW)
        return 0

"""``citronwood standin-platform``: a small platform service for demos and tests."""

from aiomisc import entrypoint
from cleo.commands.command import Command
from cleo.helpers import option

from citronwood.standin.platform import StandinPlatformService


class StandinPlatformCommand(Command):
    """Run the stand-in for the platform."""

    name = "standin-platform"
    description = "Run a small stand-in for the platform service."
    options = [
        option(
            "host", None, "IP address to listen on", flag=False, default="127.0.0.1"
        ),
        option("port", None, "TCP port to listen on", flag=False, default="8500"),
    ]

    def handle(self) -> int:
        """Run until a signal arrives."""
        service = StandinPlatformService(self.option("host"), int(self.option("port")))
        with entrypoint(service) as loop:
            loop.run_forever()
        return 0

"""The ``citronwood`` command."""

from cleo.application import Application

from citronwood import __version__
from citronwood.cli.demo import DemoCommand
from citronwood.cli.entry import EntryCommand
from citronwood.cli.node import NodeCommand
from citronwood.cli.operator import (
    ConfirmCommand,
    ExplainCommand,
    PlanCommand,
    StatusCommand,
)
from citronwood.cli.platform import StandinPlatformCommand
from citronwood.cli.settings import CheckSettingsCommand
from citronwood.cli.simulate import simulate_commands
from citronwood.cli.standin import StandinMemberCommand


def create_application() -> Application:
    """Return the command line application with all commands."""
    application = Application("citronwood", __version__)
    application.add(DemoCommand())
    application.add(EntryCommand())
    application.add(NodeCommand())
    application.add(PlanCommand())
    application.add(ConfirmCommand())
    application.add(StatusCommand())
    application.add(ExplainCommand())
    application.add(CheckSettingsCommand())
    application.add(StandinMemberCommand())
    application.add(StandinPlatformCommand())
    for command in simulate_commands():
        application.add(command)
    return application


def main() -> int:
    """Run the command line."""
    return create_application().run()

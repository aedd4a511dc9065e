"""``citronwood demo``: a small fleet and its stand-ins in one process."""

import asyncio
import logging

import uvloop
from cleo.commands.command import Command
from cleo.helpers import option

from citronwood.demo import (
    ACCOUNT,
    HOST,
    KEY,
    PORT_COUNT,
    ROUTE,
    open_demo,
    run_scenario,
)


class DemoCommand(Command):
    """Demonstrate the guarantees of the proxy, or serve the user's own client."""

    name = "demo"
    description = "Run two VMs, a database group and the platform in one process."
    options = [
        option(
            "port",
            None,
            "TCP port of the first VM; 0 for any free ports",
            flag=False,
            default="3406",
        ),
        option("serve", None, "keep running for your own MySQL client"),
    ]

    def handle(self) -> int:
        """Run the scenario, or serve until interrupted."""
        logging.basicConfig(level=logging.ERROR)
        port = int(self.option("port"))
        if port and not 1024 <= port <= 65535 - PORT_COUNT:
            self.line_error(f"--port must be 0 or from 1024 to {65535 - PORT_COUNT}")
            return 2
        coroutine = (
            self._serve(port) if self.option("serve") else self._run_scenario(port)
        )
        try:
            return asyncio.Runner(loop_factory=uvloop.new_event_loop).run(coroutine)
        except KeyboardInterrupt:
            return 0
        except OSError as error:
            self.line_error(f"cannot start: {error}; choose another --port")
            return 1

    async def _run_scenario(self, port: int) -> int:
        async with open_demo(port) as demo:
            all_kept = await run_scenario(demo, self.line)
        self.line("all promises were kept" if all_kept else "a promise was broken")
        return 0 if all_kept else 1

    async def _serve(self, port: int) -> int:
        async with open_demo(port) as demo:
            for entry in demo.ports.entries:
                self.line(f"host {HOST} port {entry}")
            self.line(f"account {ACCOUNT} key {KEY} database {ROUTE}")
            self.line("press Ctrl-C to stop")
            await asyncio.Event().wait()
        return 0

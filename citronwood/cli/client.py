"""Base class and helpers of the commands that call the operator API."""

import asyncio
import json
import os
from typing import Any, NamedTuple

from aiohttp import ClientError, ClientSession, ClientTimeout
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option
from cleo.io.outputs.output import Type
from yarl import URL

from citronwood.errors import CitronwoodError

URL_VARIABLE = "CITRONWOOD_OPERATOR_URL"
TOKEN_VARIABLE = "CITRONWOOD_OPERATOR_TOKEN"
DEFAULT_URL = "http://127.0.0.1:7400"
# A confirmation waits up to 10 s for the store and 5 s until the plan is in force.
CALL_TIMEOUT_S = 20.0

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
# It is unknown whether a change was applied, or it is not in force on all VMs yet.
EXIT_UNCERTAIN = 3

Document = dict[str, Any]


class OperatorResponse(NamedTuple):
    """HTTP status and JSON body of a response."""

    status: int
    body: Document


class OperatorUnavailableError(CitronwoodError):
    """The operator API sent no usable response."""


def client_options() -> list[Option]:
    """Return the options of all commands that call the operator API."""
    return [
        option("url", None, f"URL of the operator API; or {URL_VARIABLE}", flag=False),
        option("token", None, f"operator token; or {TOKEN_VARIABLE}", flag=False),
        option("json", None, "print the response as JSON"),
    ]


class OperatorCommand(Command):
    """Command that calls the operator API once and prints the response."""

    def request(
        self,
        method: str,
        path: str,
        body: Any = None,
        query: dict[str, str] | None = None,
    ) -> OperatorResponse:
        """Call the operator API."""
        url = self.option("url") or os.environ.get(URL_VARIABLE) or DEFAULT_URL
        token = self.option("token") or os.environ.get(TOKEN_VARIABLE) or ""
        return asyncio.run(_call(url, token, method, path, body, query or {}))

    def call_and_print(
        self,
        method: str,
        path: str,
        body: Any = None,
        query: dict[str, str] | None = None,
    ) -> int:
        """Call the operator API, print the response and return the exit code."""
        try:
            reply = self.request(method, path, body, query)
        except OperatorUnavailableError as error:
            self.print_error(str(error))
            # Without a response, it is unknown whether a change was applied.
            return EXIT_REFUSED if method == "GET" else EXIT_UNCERTAIN
        if self.option("json"):
            self.print_line(json.dumps(reply.body, indent=2, ensure_ascii=False))
        elif reply.status >= 400:
            self._print_refusal(reply.body)
        else:
            self.print_body(reply.body)
        return _exit_code(reply)

    def print_body(self, body: Document) -> None:
        """Print a response in readable form."""
        raise NotImplementedError

    def print_line(self, text: str) -> None:
        """Print a line without formatting, because values may contain cleo markup."""
        self.io.write_line(text, type=Type.RAW)

    def print_error(self, text: str) -> None:
        """Print a line to standard error."""
        self.io.write_error_line(text, type=Type.RAW)

    def _print_refusal(self, body: Document) -> None:
        self.print_error(f"refused: {body.get('message', 'unknown error')}")
        for finding in body.get("findings", ()):
            place = finding["place"] or "intent"
            self.print_error(f"  {place}: {finding['message']}")
        for plan in body.get("plans", ()):
            self.print_error(f"  applied since: {plan}")
        for change in body.get("moved", ()):
            self.print_error(f"  changed since: {describe_change(change)}")


def describe_change(change: Document) -> str:
    """Format one change of a plan as a line."""
    old, new = change["old"], change["new"]
    if old is None:
        return f"{change['place']}: add {_to_json(new)}"
    if new is None:
        return f"{change['place']}: remove {_to_json(old)}"
    return f"{change['place']}: {_to_json(old)} -> {_to_json(new)}"


def _to_json(value: Any) -> str:
    return json.dumps(value, ensure_ascii=False)


def _exit_code(reply: OperatorResponse) -> int:
    if reply.status == 202 or reply.body.get("error") == "outcome_unknown":
        return EXIT_UNCERTAIN
    return EXIT_REFUSED if reply.status >= 400 else EXIT_OK


async def _call(
    url: str, token: str, method: str, path: str, body: Any, query: dict[str, str]
) -> OperatorResponse:
    try:
        async with ClientSession(
            timeout=ClientTimeout(total=CALL_TIMEOUT_S)
        ) as session:
            headers = {"Authorization": f"Bearer {token}"}
            async with session.request(
                method, URL(url) / path, json=body, params=query, headers=headers
            ) as response:
                document = await response.json()
    except TimeoutError:
        raise OperatorUnavailableError(
            f"no response from {url} before the timeout"
        ) from None
    except (ClientError, OSError, ValueError) as error:
        raise OperatorUnavailableError(f"cannot call {url}: {error}") from None
    if not isinstance(document, dict):
        raise OperatorUnavailableError(f"{url} did not send a JSON object")
    return OperatorResponse(response.status, document)

"""What the commands that talk to an operator API have in common."""

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
# A confirm may take 10 s for the store and 5 s until it is in force.
CALL_S = 20.0

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNCERTAIN = 3

Document = dict[str, Any]


class Answer(NamedTuple):
    """Status and JSON body of an answer."""

    status: int
    body: Document


class OperatorUnavailableError(CitronwoodError):
    """The operator API gave no usable answer."""


def client_options() -> list[Option]:
    """Return the options of all commands that talk to an operator API."""
    return [
        option("url", None, f"operator API; or {URL_VARIABLE}", flag=False),
        option("token", None, f"operator token; or {TOKEN_VARIABLE}", flag=False),
        option("json", None, "print the answer as JSON"),
    ]


class OperatorCommand(Command):
    """Command that makes one call and prints the answer."""

    def request(
        self,
        method: str,
        path: str,
        body: Any = None,
        query: dict[str, str] | None = None,
    ) -> Answer:
        """Call the operator API."""
        url = self.option("url") or os.environ.get(URL_VARIABLE) or DEFAULT_URL
        token = self.option("token") or os.environ.get(TOKEN_VARIABLE) or ""
        return asyncio.run(_call(url, token, method, path, body, query or {}))

    def run_call(
        self,
        method: str,
        path: str,
        body: Any = None,
        query: dict[str, str] | None = None,
    ) -> int:
        """Make the call, print the answer and return the exit code."""
        try:
            answer = self.request(method, path, body, query)
        except OperatorUnavailableError as error:
            self.complain(str(error))
            # A call that changes something may have reached the VM.
            return EXIT_REFUSED if method == "GET" else EXIT_UNCERTAIN
        if self.option("json"):
            self.say(json.dumps(answer.body, indent=2, ensure_ascii=False))
        elif answer.status >= 400:
            self._print_error(answer.body)
        else:
            self.show(answer.body)
        return _exit_code(answer)

    def show(self, body: Document) -> None:
        """Print an answer in readable form."""
        raise NotImplementedError

    def say(self, text: str) -> None:
        """Print a line as it is: values may look like the library's markup."""
        self.io.write_line(text, type=Type.RAW)

    def complain(self, text: str) -> None:
        """Print a line to standard error."""
        self.io.write_error_line(text, type=Type.RAW)

    def _print_error(self, body: Document) -> None:
        self.complain(f"refused: {body.get('message', 'unknown error')}")
        for finding in body.get("findings", ()):
            place = finding["place"] or "intent"
            self.complain(f"  {place}: {finding['message']}")
        for plan in body.get("plans", ()):
            self.complain(f"  applied since: {plan}")
        for change in body.get("moved", ()):
            self.complain(f"  changed since: {describe_change(change)}")


def describe_change(change: Document) -> str:
    """Return one changed place on one line."""
    old, new = change["old"], change["new"]
    if old is None:
        return f"{change['place']}: add {_compact(new)}"
    if new is None:
        return f"{change['place']}: remove {_compact(old)}"
    return f"{change['place']}: {_compact(old)} -> {_compact(new)}"


def _compact(value: Any) -> str:
    return json.dumps(value, ensure_ascii=False)


def _exit_code(answer: Answer) -> int:
    if answer.status == 202 or answer.body.get("error") == "outcome_unknown":
        return EXIT_UNCERTAIN
    return EXIT_REFUSED if answer.status >= 400 else EXIT_OK


async def _call(
    url: str, token: str, method: str, path: str, body: Any, query: dict[str, str]
) -> Answer:
    try:
        async with ClientSession(timeout=ClientTimeout(total=CALL_S)) as session:
            headers = {"Authorization": f"Bearer {token}"}
            async with session.request(
                method, URL(url) / path, json=body, params=query, headers=headers
            ) as response:
                document = await response.json()
    except TimeoutError:
        raise OperatorUnavailableError(f"no answer from {url} in time") from None
    except (ClientError, OSError, ValueError) as error:
        raise OperatorUnavailableError(f"cannot call {url}: {error}") from None
    if not isinstance(document, dict):
        raise OperatorUnavailableError(f"{url} is not an operator API")
    return Answer(response.status, document)

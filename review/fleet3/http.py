"""Minimal HTTP/1.1 server for the stand-ins of the platform."""

import asyncio
import json
from urllib.parse import parse_qsl, unquote, urlsplit

REASONS = {200: "OK", 201: "Created", 404: "Not Found", 409: "Conflict"}


class HttpServer:
    """Serves keep-alive connections; ``handle`` returns a status and a JSON value."""

    def __init__(self, host, handle, headers=None):
        self.host = host
        self.port = 0
        self._handle = handle
        self._headers = headers or {}
        self._server = None

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self):
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader, writer):
        try:
            while True:
                request = await reader.readline()
                if not request:
                    return
                method, target, _ = request.decode().split(" ", 2)
                headers = {}
                while line := (await reader.readline()).strip():
                    name, _, value = line.decode().partition(":")
                    headers[name.strip().lower()] = value.strip()
                length = int(headers.get("content-length", "0"))
                body = await reader.readexactly(length) if length else b""
                parts = urlsplit(target)
                status, value = await self._handle(
                    method,
                    [unquote(word) for word in parts.path.strip("/").split("/")],
                    dict(parse_qsl(parts.query)),
                    headers,
                    json.loads(body) if body else None,
                )
                data = json.dumps(value).encode()
                lines = [
                    f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}",
                    "Content-Type: application/json",
                    f"Content-Length: {len(data)}",
                    *(f"{name}: {text}" for name, text in self._headers.items()),
                ]
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
                await writer.drain()
        except (OSError, EOFError, ValueError, asyncio.CancelledError):
            return
        finally:
            writer.close()

"""Frames between VMs over WebSockets.

Each VM accepts connections from other VMs (``listener``) and dials each peer that it
sends to with one connection and one sender task (``peer``). A connection carries
messages in one direction only, so an answer does not depend on the connection that
brought the call. A connection that accepts nothing for a while, or that a caller
reports as silent, is replaced, because connections may stop responding for good while
new ones work.
"""

import asyncio
import logging
from collections.abc import Callable
from time import monotonic

from aiohttp import ClientSession, ClientTimeout, DummyCookieJar, TCPConnector

from citronwood.errors import MessageError, PeerUnavailableError
from citronwood.inner.codec import Codec
from citronwood.inner.listener import Listener
from citronwood.inner.messages import Envelope
from citronwood.inner.peer import CHECK_INTERVAL_S, Connection, Outgoing, Peer
from citronwood.inner.refusals import RefusalCounter
from citronwood.tasks import cancel_tasks

log = logging.getLogger(__name__)

Receiver = Callable[[Envelope], None]


class Transport:
    """Sends envelopes to peers and passes received ones to a receiver."""

    def __init__(self, codec: Codec, refusals: RefusalCounter) -> None:
        self._codec = codec
        self._refusals = refusals
        self._peers: dict[str, Peer] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._session: ClientSession | None = None
        self._watching: asyncio.Task[None] | None = None
        self._listener: Listener | None = None
        self._receiver: Receiver | None = None
        self._closed = False
        self._closed_totals = (0, 0, 0)
        self.received_frames = 0
        self.received_bytes = 0

    @property
    def sent(self) -> tuple[int, int, int]:
        """Frames, messages and bytes sent so far."""
        frames, messages, size = self._closed_totals
        for peer in self._peers.values():
            frames += peer.sent_frames
            messages += peer.sent_messages
            size += peer.sent_bytes
        return frames, messages, size

    def listen(self, url: str, receiver: Receiver) -> str:
        """Listen and return the URL, with the actual port if ``url`` has port 0."""
        self._receiver = receiver
        self._listener = Listener(self._refusals, self._deliver)
        return self._listener.start(url)

    def send(self, url: str, data: bytes) -> Outgoing:
        """Queue an encoded envelope.

        Raises
        ------
        PeerUnavailableError
            The queue to this peer is full or this VM stops; nothing was sent.
        """
        if self._closed:
            raise PeerUnavailableError("this VM is stopping")
        peer = self._peers.get(url)
        if peer is None:
            peer = self._peers[url] = Peer(url, self._codec, self._open_session())
            task = asyncio.create_task(self._run_peer(peer), name=f"send to {url}")
            self._tasks[url] = task
        item = Outgoing(data)
        peer.enqueue(item)
        return item

    def redial(self, url: str) -> None:
        """Replace the connection to a peer that does not respond."""
        peer = self._peers.get(url)
        if peer is not None:
            peer.redial()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        self._closed = True
        await cancel_tasks([*self._tasks.values(), self._watching])
        if self._session is not None:
            await self._session.close()
            self._session = None
        if self._listener is not None:
            await self._listener.close()
            self._listener = None

    def _open_session(self) -> ClientSession:
        if self._session is None:
            self._watching = asyncio.create_task(self._watch_peers())
            self._session = ClientSession(
                # Each peer limits itself to one connection.
                connector=TCPConnector(limit=0, force_close=True),
                cookie_jar=DummyCookieJar(),
                timeout=ClientTimeout(total=None),
                ws_response_class=Connection,
            )
        return self._session

    async def _watch_peers(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now = monotonic()
            for peer in self._peers.values():
                peer.check(now)

    async def _run_peer(self, peer: Peer) -> None:
        try:
            await peer.run()
        except Exception as error:
            # Such as an address that cannot be parsed; it came from another VM.
            self._refusals.refuse("peer_failed", f"{peer.url[:100]}: {error!r}")
        finally:
            del self._peers[peer.url]
            del self._tasks[peer.url]
            frames, messages, size = self._closed_totals
            self._closed_totals = (
                frames + peer.sent_frames,
                messages + peer.sent_messages,
                size + peer.sent_bytes,
            )

    def _deliver(self, frame: bytes) -> None:
        self.received_frames += 1
        self.received_bytes += len(frame)
        try:
            envelopes = self._codec.decode_frame(frame)
        except MessageError as error:
            self._refusals.refuse(*map(str, error.args))
            return
        assert self._receiver is not None
        for envelope in envelopes:
            try:
                self._receiver(envelope)
            except Exception:
                # A fault in one handler must not stop the messages behind it.
                log.exception("inner: handler of %s failed", envelope.kind)

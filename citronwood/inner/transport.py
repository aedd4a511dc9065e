"""Frames between VMs over WebSockets.

Each VM accepts connections from other VMs (``listener``), and has one outgoing
connection and one sender task for each peer that it sends to (``peer``). A connection
carries messages in one direction only, so an answer does not depend on the connection
on which the call arrived. A connection is replaced when it stalls or when a caller
reports that the peer does not respond, because a connection may stop responding for
good while new ones work.
"""

import asyncio
import logging
from collections.abc import Callable
from time import monotonic

from aiohttp import ClientSession, ClientTimeout, DummyCookieJar, TCPConnector

from citronwood.errors import MessageError, PeerUnavailableError
from citronwood.ingress.budget import Limits
from citronwood.inner.codec import Codec
from citronwood.inner.listener import Listener
from citronwood.inner.messages import Envelope
from citronwood.inner.peer import CHECK_INTERVAL_S, Connection, Outgoing, Peer
from citronwood.inner.refusals import RefusalCounter
from citronwood.metrics import Metrics
from citronwood.tasks import cancel_tasks

log = logging.getLogger(__name__)

Receiver = Callable[[Envelope], None]


class Transport:
    """Sends envelopes to peers and passes received ones to a receiver."""

    def __init__(self, codec: Codec, refusals: RefusalCounter) -> None:
        self._codec = codec
        self._refusals = refusals
        self._peers: dict[str, Peer] = {}
        self._sender_tasks: dict[str, asyncio.Task[None]] = {}
        self._session: ClientSession | None = None
        self._peer_check_task: asyncio.Task[None] | None = None
        self._listener: Listener | None = None
        self._receiver: Receiver | None = None
        self._closed = False
        self._closed_peer_totals = (0, 0, 0)
        self.received_frames = 0
        self.received_bytes = 0

    @property
    def sent(self) -> tuple[int, int, int]:
        """Frames, messages and bytes sent so far."""
        frames, messages, byte_count = self._closed_peer_totals
        for peer in self._peers.values():
            frames += peer.sent_frames
            messages += peer.sent_messages
            byte_count += peer.sent_bytes
        return frames, messages, byte_count

    def listen(
        self,
        url: str,
        receiver: Receiver,
        metrics: Metrics,
        limits: Limits | None = None,
    ) -> str:
        """Listen and return the URL, with the actual port if ``url`` has port 0."""
        self._receiver = receiver
        self._listener = Listener(self._refusals, self._deliver, metrics, limits)
        return self._listener.start(url)

    def send(self, url: str, data: bytes) -> Outgoing:
        """Queue an encoded envelope.

        Raises
        ------
        PeerUnavailableError
            The queue to this peer is full or this VM is stopping; nothing was sent.
        """
        if self._closed:
            raise PeerUnavailableError("this VM is stopping")
        peer = self._peers.get(url)
        if peer is None:
            peer = self._peers[url] = Peer(url, self._codec, self._get_session())
            task = asyncio.create_task(self._run_peer(peer), name=f"send to {url}")
            self._sender_tasks[url] = task
        item = Outgoing(data)
        peer.enqueue(item)
        return item

    def reconnect(self, url: str) -> None:
        """Replace the connection to a peer that stopped responding."""
        peer = self._peers.get(url)
        if peer is not None:
            peer.reconnect()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        self._closed = True
        await cancel_tasks([*self._sender_tasks.values(), self._peer_check_task])
        if self._session is not None:
            await self._session.close()
            self._session = None
        if self._listener is not None:
            await self._listener.close()
            self._listener = None

    def _get_session(self) -> ClientSession:
        if self._session is None:
            self._peer_check_task = asyncio.create_task(self._check_peers())
            self._session = ClientSession(
                # ``Peer`` already limits itself to one connection.
                connector=TCPConnector(limit=0, force_close=True),
                cookie_jar=DummyCookieJar(),
                timeout=ClientTimeout(total=None),
                ws_response_class=Connection,
            )
        return self._session

    async def _check_peers(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now = monotonic()
            for peer in self._peers.values():
                peer.check_timeouts(now)

    async def _run_peer(self, peer: Peer) -> None:
        try:
            await peer.run()
        except Exception as error:
            # For example an invalid address, which was received from another VM.
            self._refusals.record("peer_failed", f"{peer.url[:100]}: {error!r}")
        finally:
            del self._peers[peer.url]
            del self._sender_tasks[peer.url]
            frames, messages, byte_count = self._closed_peer_totals
            self._closed_peer_totals = (
                frames + peer.sent_frames,
                messages + peer.sent_messages,
                byte_count + peer.sent_bytes,
            )

    def _deliver(self, frame: bytes) -> bool:
        """Pass on the messages of a frame; False if it is not from another VM."""
        self.received_frames += 1
        self.received_bytes += len(frame)
        try:
            envelopes = self._codec.decode_frame(frame)
        except MessageError as error:
            self._refusals.record(*map(str, error.args))
            return False
        assert self._receiver is not None
        for envelope in envelopes:
            try:
                self._receiver(envelope)
            except Exception:
                # A failing handler must not block the messages after it.
                log.exception("inner: handler of %s failed", envelope.kind)
        return True

"""Splits received bytes into messages, with bounded memory."""

from citronwood.errors import MessageError

_ENCODING = "latin-1"
_END = b"\r\n"


class MessageBuffer:
    """Bytes of one connection, divided into lines that end with CR LF.

    Each byte is searched once, however small the pieces are in which it arrives. A line
    longer than the limit is not kept: its bytes are dropped as they arrive.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._data = bytearray()
        self._searched = 0
        # Length of the first line; -1 while its end has not arrived.
        self.first_size = -1
        self.is_oversized = False

    def __len__(self) -> int:
        return len(self._data)

    def feed(self, data: bytes | memoryview) -> None:
        """Add received bytes."""
        if self.is_oversized:
            return
        self._data += data
        if self.first_size < 0:
            self._search()

    def take(self) -> str | None:
        """Return the first line without CR LF; None if it is not complete.

        Raises ``MessageError`` once a line is too long; nothing can be read after that.
        """
        if self.is_oversized:
            raise MessageError("oversized", "line")
        size = self.first_size
        if size < 0:
            return None
        # Without the view, a long line would be copied twice.
        with memoryview(self._data) as view:
            line = str(view[:size], _ENCODING)
        self.first_size, self._searched = -1, 0
        if size + len(_END) == len(self._data):
            # A new object frees the memory of a long line at once.
            self._data = bytearray()
        else:
            del self._data[: size + len(_END)]
            self._search()
        return line

    def drop(self) -> None:
        """Drop everything, also what arrives later."""
        self._data = bytearray()
        self.first_size = -1
        self.is_oversized = True

    def _search(self) -> None:
        # The end may have arrived in two pieces.
        start = self._searched - 1 if self._searched else 0
        self.first_size = self._data.find(_END, start)
        self._searched = len(self._data)
        length = self.first_size if self.first_size >= 0 else self._searched - 1
        if length > self._limit:
            self.drop()

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
        # Length of the first line; -1 while its end has not arrived.
        self._first = -1
        self._searched = 0
        self.is_oversized = False

    def __len__(self) -> int:
        return len(self._data)

    @property
    def first_size(self) -> int | None:
        """Length of the first complete line; None if there is none."""
        return None if self._first < 0 else self._first

    @property
    def is_ready(self) -> bool:
        """Whether ``take`` returns a line or raises an exception."""
        return self._first >= 0 or self.is_oversized

    def feed(self, data: bytes | memoryview) -> None:
        """Add received bytes."""
        if self.is_oversized:
            return
        self._data += data
        if self._first < 0:
            self._search()

    def take(self) -> str | None:
        """Return the first line without CR LF; None if it is not complete.

        Raises ``MessageError`` once a line is too long; nothing can be read after that.
        """
        if self.is_oversized:
            raise MessageError("oversized", "line")
        if self._first < 0:
            return None
        with memoryview(self._data) as view:
            line = str(view[: self._first], _ENCODING)
        length = self._first + len(_END)
        if length == len(self._data):
            # A new object frees the memory of a long line at once.
            self._data = bytearray()
        else:
            del self._data[:length]
        self._first, self._searched = -1, 0
        self._search()
        return line

    def drop(self) -> None:
        """Drop everything, also what arrives later."""
        self._data = bytearray()
        self._first = -1
        self.is_oversized = True

    def _search(self) -> None:
        # The end may have arrived in two pieces.
        self._first = self._data.find(_END, max(0, self._searched - 1))
        self._searched = len(self._data)
        length = self._first if self._first >= 0 else len(self._data) - 1
        if length > self._limit:
            self.drop()

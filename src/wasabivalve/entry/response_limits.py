"""Bound what faulty servers may send, for one response and for all of a process."""

import http.client
import threading
import time
from typing import Any

from wasabivalve.gateway import receiving

MAX_STATUS_LINES = 9
"""Interim responses before the final one, and the final one itself."""

MAX_OVERHEAD_BYTES = 64 * 1024
"""Bytes of all lines of a response: heads, trailers and the sizes of chunks."""


class ResponseMemory:
    """Count the bytes of the incomplete responses of all threads.

    Beyond the limit, responses of at least the average size are given up: one of them
    most likely never ends, and small ones are not affected.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.total_bytes = 0
        self._response_count = 0
        self._lock = threading.Lock()

    def start(self) -> None:
        """Count one more response."""
        with self._lock:
            self._response_count += 1

    def add(self, byte_count: int, held_bytes: int) -> bool:
        """Count bytes of a response that holds ``held_bytes`` with them.

        Return whether it may go on.
        """
        with self._lock:
            self.total_bytes += byte_count
            return (
                self.total_bytes <= self.limit_bytes
                or held_bytes * self._response_count < self.total_bytes
            )

    def end(self, held_bytes: int) -> None:
        """Stop counting a response."""
        with self._lock:
            self._response_count -= 1
            self.total_bytes -= held_bytes


class _BoundedStream:
    """Read from a stream until a time, and a limited number of bytes in lines.

    The standard library bounds each line and the time between two bytes.
    ``body_bytes`` is what the body has so far, which may have its framing.
    """

    def __init__(self, stream: Any, deadline_at: float) -> None:
        self._stream = stream
        self._deadline_at = deadline_at
        self._line_bytes = 0
        self.body_bytes = 0
        self.ended_line = False

    def readline(self, limit: int = -1) -> bytes:
        """Return the next line, or nothing at the end of the connection."""
        line = bytearray()
        while limit < 0 or len(line) < limit:
            available = self._peek()
            size = available.find(b"\n") + 1 or len(available)
            if limit >= 0:
                size = min(size, limit - len(line))
            self._line_bytes += size
            allowance = receiving.framing_allowance(self.body_bytes)
            if self._line_bytes > MAX_OVERHEAD_BYTES + allowance:
                raise http.client.HTTPException("too many bytes outside the body")
            line += self._stream.read(size)
            if not available or line.endswith(b"\n"):
                break
        self.ended_line = line in (b"\r\n", b"\n")
        return bytes(line)

    def read(self, size: int | None = -1) -> bytes:
        """Return this many bytes, or fewer at the end of the connection."""
        data = bytearray()
        unlimited = size is None or size < 0
        while unlimited or len(data) < (size or 0):
            available = len(self._peek())
            if not available:
                break
            wanted = available if unlimited else (size or 0) - len(data)
            data += self._stream.read(min(available, wanted))
        return bytes(data)

    def readinto(self, buffer: Any) -> int:
        """Fill a buffer, or less at the end of the connection."""
        data = self.read(len(buffer))
        buffer[: len(data)] = data
        return len(data)

    def _peek(self) -> bytes:
        """Return what is buffered, after one read from the connection if nothing is."""
        if time.monotonic() > self._deadline_at:
            raise TimeoutError("response did not end in time")
        available: bytes = self._stream.peek(1)
        return available

    def __getattr__(self, name: str) -> Any:
        """Return other attributes of the stream."""
        return getattr(self._stream, name)


class BoundedResponse(http.client.HTTPResponse):
    """Read a response within limits of time, head, trailers and interim responses."""

    def __init__(self, *arguments: Any, deadline_at: float, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self._status_lines = 0
        self._bounded_stream = _BoundedStream(self.fp, deadline_at)
        self.fp = self._bounded_stream  # type: ignore[assignment]

    def begin(self) -> None:
        """Read the head; raise RemoteDisconnected if the connection ends in it.

        The base class takes such a head for a complete one, with a body that may be
        empty.
        """
        super().begin()
        if not self._bounded_stream.ended_line:
            raise http.client.RemoteDisconnected("connection ended in the head")

    def on_body(self, body_bytes: int) -> None:
        """Set how many bytes of the body have been read."""
        self._bounded_stream.body_bytes = body_bytes

    def _read_status(self) -> tuple[str, int, str]:
        self._status_lines += 1
        if self._status_lines > MAX_STATUS_LINES:
            raise http.client.HTTPException("too many interim responses")
        return super()._read_status()  # type: ignore[misc]

"""Write to a caller that may not read, and watch what waits to be written."""

import asyncio
from collections.abc import Callable

from wasabivalve import events

from . import disconnects, memory_account, send_queue

WRITE_BYTES = 64 * 1024
"""Bytes written at once; the transport copies what it can't send."""


class UnreadResponses:
    """Write responses, count what is unread, and reset when nothing is read in time.

    A reset keeps a response whose end is the end of its connection from looking
    complete. ``handed_over_bytes`` counts all that was to be written so far.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        buffers: memory_account.ReceiveBuffers,
        timeout_s: Callable[[], float],
    ) -> None:
        self._loop = loop
        self._buffers = buffers
        self._timeout_s = timeout_s
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._rest = memoryview(b"")
        self.handed_over_bytes = 0
        self._paused = False
        self._when_written: Callable[[], None] | None = None

    @property
    def is_writable(self) -> bool:
        """Return whether the next response may be written."""
        return not self._paused and not self._rest

    @property
    def is_sending(self) -> bool:
        """Return whether a part of a response is not with the transport."""
        return bool(self._rest)

    def start(self, transport: asyncio.Transport) -> None:
        """Watch a transport."""
        self._transport = transport

    def write(self, head: bytes, body: bytes = b"") -> None:
        """Write bytes; what the caller does not read yet of the body is not copied."""
        if self._transport is None or self._transport.is_closing():
            return
        self.handed_over_bytes += len(head) + len(body)
        if self._rest:
            # Only a refusal behind an unread response gets here.
            self._rest = memoryview(b"".join((self._rest, head, body)))
        else:
            first = body[:WRITE_BYTES]
            self._rest = memoryview(body)[len(first) :]
            self._transport.write(head + first)
        self._write_rest()

    def pause(self) -> None:
        """Write no more until the caller has read."""
        self._paused = True

    def resume(self) -> None:
        """Write more, as the caller has read."""
        self._paused = False
        self._write_rest()

    def when_written(self, action: Callable[[], None]) -> None:
        """Run an action when the transport has all, in place of an earlier one."""
        if self._rest:
            self._when_written = action
        else:
            action()

    def _write_rest(self) -> None:
        if self._transport is None:
            return
        while self._rest and not self._paused:
            piece = self._rest[:WRITE_BYTES]
            self._rest = self._rest[WRITE_BYTES:]
            self._transport.write(piece)
        if not self._rest:
            # An empty view would still hold the body.
            self._rest = memoryview(b"")
        self._update()
        if self._when_written is not None and not self._rest:
            action, self._when_written = self._when_written, None
            # The transport may be about to close, and must finish this call first.
            self._loop.call_soon(action)

    def _update(self) -> None:
        self._buffers.set_unwritten(self, self.held_bytes())
        if self._timer is None and self.unwritten_bytes():
            self._watch()

    def stop(self) -> None:
        """End the watch; the connection is closed."""
        self._transport = None
        self._rest = memoryview(b"")
        if self._timer is not None:
            self._timer.cancel()
        self._buffers.release_unwritten(self)

    def unwritten_bytes(self) -> int:
        """Return the bytes that wait to be written."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size() + len(self._rest)

    def unsent_bytes(self) -> int:
        """Return the bytes that the caller has not acknowledged."""
        if self._transport is None:
            return 0
        sock = self._transport.get_extra_info("socket")
        queued_bytes = 0 if sock is None else send_queue.unacknowledged_bytes(sock)
        return self.unwritten_bytes() + queued_bytes

    def held_bytes(self) -> int:
        """Return the memory of what waits; a body is held whole until its end."""
        if self._transport is None:
            return 0
        body_bytes = memoryview(self._rest.obj).nbytes if self._rest else 0
        return self._transport.get_write_buffer_size() + body_bytes

    def on_unwritten_evicted(self) -> None:
        """Reset the connection, as the memory is needed."""
        self._reset("memory is short")

    def _read_bytes(self) -> int:
        """Return how many bytes the caller has taken so far."""
        return self.handed_over_bytes - self.unwritten_bytes()

    def _watch(self) -> None:
        self._timer = self._loop.call_later(
            self._timeout_s(), self._check, self._read_bytes()
        )

    def _check(self, read_bytes_before: int) -> None:
        self._timer = None
        unwritten_bytes = self.unwritten_bytes()
        self._buffers.set_unwritten(self, self.held_bytes())
        if unwritten_bytes and self._read_bytes() > read_bytes_before:
            self._watch()
        elif unwritten_bytes:
            self._reset("nothing was read in time")

    def _reset(self, reason: str) -> None:
        if self._transport is None:
            return
        events.emit(415, reason=reason, bytes=self.unwritten_bytes())
        self._rest = memoryview(b"")
        disconnects.reset(self._transport)

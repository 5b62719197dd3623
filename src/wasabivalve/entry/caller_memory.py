"""Account for what the threaded daemon holds for its callers."""

import contextlib
import io
import socket
import struct
import threading
from collections.abc import Callable
from typing import Any

import waitress.buffers
import waitress.channel
import waitress.parser
import waitress.receiver
import waitress.utilities

from wasabivalve import events
from wasabivalve.gateway import memory_account

BYTES_PER_MB = 1_000_000

CALLER_MEMORY_SHARE = 0.3
"""Share of the memory of a VM for requests and responses that callers don't read.

Temporary files of bodies count too: VMs have no disks. The responses of instances that
are being read have ``limits.response_bytes`` beside it.
"""

FIELD_BYTES = 250
"""Memory of a parsed header field: two strings and an entry of a dictionary."""

MAX_CLOSING_WAIT_S = 0.1
"""Time for which a thread waits before it adds a response, until others are freed.

The thread of the server closes connections; it is slower than those that fill memory.
"""

SEND_BYTES = 64 * 1024
"""Bytes read back from a response for one write; the default is up to 2.6 MB."""

RESET_ON_CLOSE = struct.pack("ii", 1, 0)

SHARED_BYTES = 256 * 1024
"""Size from which a response is not copied to a buffer, or from there to a file."""


class CallerMemory:
    """Guard an account that the threads of the daemon share."""

    def __init__(self, limit_bytes: int) -> None:
        self._account = memory_account.ReceiveBuffers(limit_bytes)
        self._lock = threading.RLock()
        self._changed = threading.Condition(self._lock)
        self._closing: set[Any] = set()

    @property
    def total_bytes(self) -> int:
        """Return the bytes that are held."""
        return self._account.total_bytes

    def use(self, action: Callable[[memory_account.ReceiveBuffers], Any]) -> Any:
        """Run an action on the account, alone, and return its result."""
        with self._lock:
            return action(self._account)

    def on_dropped(self, channel: Any) -> None:
        """Record that a connection is to be closed, which frees what it holds."""
        with self._lock:
            self._closing.add(channel)

    def on_closed(self, channel: Any) -> None:
        """Stop counting what a connection holds."""
        with self._lock:
            self._account.release(channel)
            self._account.release_unwritten(channel)
            self._closing.discard(channel)
            self._changed.notify_all()

    def wait_for_closed(self) -> None:
        """Wait a short time until the connections to be closed are closed."""
        with self._lock:
            self._changed.wait_for(lambda: not self._closing, MAX_CLOSING_WAIT_S)


class _Unavailable(waitress.utilities.Error):
    code = 503
    reason = "Service Unavailable"


def make_parser_class(memory: CallerMemory) -> type:
    """Return a parser that refuses a head whose fields have no room."""

    class AccountingParser(waitress.parser.HTTPRequestParser):
        has_no_room = False

        def parse_header(self, header_plus: bytes) -> None:
            cost_bytes = FIELD_BYTES * header_plus.count(b"\n")
            if not memory.use(lambda account: account.has_room(cost_bytes)):
                self.has_no_room = True
                raise waitress.parser.ParsingError("no room")
            super().parse_header(header_plus)

        def received(self, data: bytes) -> int:
            consumed = int(super().received(data))
            if self.has_no_room:
                self.error = _Unavailable("too many requests are held")
            return consumed

    return AccountingParser


def make_channel_class(memory: CallerMemory, max_line_bytes: int) -> type:
    """Return a channel class that counts what its connection holds.

    ``max_line_bytes`` bounds the trailers and the extension of a chunk.
    """

    class AccountingChannel(waitress.channel.HTTPChannel):
        parser_class = make_parser_class(memory)
        counted_bytes = 0
        shared_bytes = 0
        reserved_bytes = 0
        is_ending = False

        @property
        def will_close(self) -> bool:
            """Return whether the thread of the server closes the connection."""
            return self.is_ending

        @will_close.setter
        def will_close(self, value: bool) -> None:
            self.is_ending = value
            if value and self.total_outbufs_len and self.socket is not None:
                # The server waits until the socket is writable, which it never is if
                # the caller does not read. A reset keeps a part from looking whole.
                with contextlib.suppress(OSError):
                    self.socket.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                    )
                    self.socket.shutdown(socket.SHUT_RDWR)

        def received(self, data: bytes) -> Any:
            result = super().received(data)
            request = self.request
            if request is None:
                # The request is complete, or was refused.
                memory.use(self._keep_complete)
                return result
            receiver = request.body_rcv
            if isinstance(receiver, waitress.receiver.ChunkedReceiver) and (
                max(len(receiver.control_line), len(receiver.trailer)) > max_line_bytes
            ):
                self._drop("trailer or extension is too long")
                return result
            cost_bytes = (
                len(request.header_plus)
                + FIELD_BYTES * len(request.headers)
                + request.body_bytes_received
            )
            added_bytes = cost_bytes - self.counted_bytes
            self.counted_bytes = cost_bytes
            memory.use(lambda account: account.add(self, added_bytes))
            return result

        def reserve(self, byte_count: int) -> None:
            """Make room for a response before any byte of it is written."""
            self.reserved_bytes = byte_count
            memory.use(lambda account: account.set_unwritten(self, self.held_bytes()))
            memory.wait_for_closed()

        def write_soon(self, data: Any) -> int:
            byte_count = len(data)
            self.sendbuf_len = SEND_BYTES
            if isinstance(data, bytes) and byte_count >= SHARED_BYTES:
                # BytesIO shares the memory of the bytes that it is made of.
                data = waitress.buffers.ReadOnlyFileBasedBuffer(io.BytesIO(data))
                data.prepare()
                self.shared_bytes = byte_count
            super().write_soon(data)
            # The head is written by a call of its own.
            self.reserved_bytes -= min(self.reserved_bytes, byte_count)
            memory.use(lambda account: account.set_unwritten(self, self.held_bytes()))
            return byte_count

        def service(self) -> None:
            try:
                super().service()
            finally:
                self.reserved_bytes = 0
                memory.use(
                    lambda account: account.set_unwritten(self, self.held_bytes())
                )
                if not self.requests:
                    memory.use(lambda account: account.release_complete(self))

        def handle_close(self) -> None:
            super().handle_close()
            memory.on_closed(self)

        def held_bytes(self) -> int:
            """Return the memory of what the caller has not read."""
            unread_bytes = int(self.total_outbufs_len)
            # A response that is not copied is held whole until its end.
            written_bytes = max(unread_bytes, self.shared_bytes) if unread_bytes else 0
            return max(written_bytes, self.reserved_bytes)

        def on_evicted(self) -> None:
            """Close the connection of an incomplete request."""
            events.emit(404, bytes=self.counted_bytes)
            self._drop("memory is short")

        def on_unwritten_evicted(self) -> None:
            """Close the connection of a response that is not read."""
            events.emit(
                415, reason="memory is short", bytes=int(self.total_outbufs_len)
            )
            self._drop("memory is short")

        def _drop(self, reason: str) -> None:
            # The thread of the server closes it.
            self.logger.info(f"Closing a connection: {reason}")
            memory.on_dropped(self)
            self.will_close = True
            self.server.pull_trigger()

        def _keep_complete(self, account: memory_account.ReceiveBuffers) -> None:
            self.counted_bytes = 0
            account.keep_complete(self)

    return AccountingChannel

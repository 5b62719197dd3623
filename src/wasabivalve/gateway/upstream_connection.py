"""Carry one exchange at a time over a connection to a server."""

import asyncio
import dataclasses
import socket
import struct
from typing import Any

import httptools

from . import messages

LARGEST_ANSWER_BYTES = 32 * 1024 * 1024
"""Answers are held whole until their end is proved; larger ones count as broken."""

MOST_FOREIGN_ANSWERS = 4
"""Answers to other requests that are passed over before a connection is given up."""

RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """State that no byte of the request was sent."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Broken:
    """State that the exchange ended without a whole answer after bytes were sent."""

    reason: str


Outcome = messages.Answer | Broken


class UpstreamConnection(asyncio.Protocol):
    """Hold a connection to a server; times are in s of the loop.

    ``received_at`` is when the last byte of the present exchange came.
    """

    def __init__(self, opened_at: float) -> None:
        self.opened_at = opened_at
        self.idle_since = opened_at
        self.received_at: float | None = None
        self.keep_alive_s: float | None = None
        self.usable = True
        self._transport: asyncio.Transport | None = None
        self._result: asyncio.Future[Outcome] | None = None
        self._identity: tuple[bytes, bytes] | None = None
        self._to_head = False
        self._foreign = 0
        self._parser: Any = None
        self._begin()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def exchange(
        self,
        data: bytes,
        identity: tuple[bytes, bytes] | None = None,
        to_head: bool = False,
    ) -> "asyncio.Future[Outcome]":
        """Send a request and return the future of its answer.

        ``identity`` is a header with its value that the answer echoes; answers that
        carry another value belong to other requests and are passed over.
        """
        assert self._transport is not None and self._result is None
        self._result = asyncio.get_running_loop().create_future()
        self.received_at = None
        self._identity = identity
        self._to_head = to_head
        self._foreign = 0
        self._begin()
        self._transport.write(data)
        return self._result

    def abort(self) -> None:
        """Reset the connection, so that bytes still on their way are dropped."""
        self.usable = False
        if self._transport is None:
            return
        sock = self._transport.get_extra_info("socket")
        if sock is not None:
            try:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            except OSError:
                # The socket is closed already; nothing is left to drop.
                pass
        self._transport.abort()

    def close(self) -> None:
        """Close an idle connection."""
        self.usable = False
        if self._transport is not None:
            self._transport.close()

    def _begin(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._reset_message()

    def _reset_message(self) -> None:
        self._reason = b""
        self._headers: messages.Headers = []
        self._chunks: list[bytes] = []
        self._size = 0
        self._framed = False
        self._in_body = False

    def data_received(self, data: bytes) -> None:
        """Feed the parser."""
        if self._result is None or self._result.done():
            # Bytes that no request asked for.
            self.abort()
            return
        self.received_at = asyncio.get_running_loop().time()
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.usable = False
            self._finish(Broken(f"not an HTTP answer: {error}"))
            self.abort()

    def eof_received(self) -> bool:
        """End an answer without a length."""
        self.usable = False
        if self._in_body and not self._framed and self._result is not None:
            self._complete(unframed=True)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End the exchange."""
        self.usable = False
        reason = "connection reset" if exc else "connection closed"
        self._finish(Broken(reason))

    def on_status(self, status: bytes) -> None:
        """Take the reason phrase."""
        self._reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        self._headers.append((name.lower(), value.strip()))

    def on_headers_complete(self) -> None:
        """Note how the body ends."""
        self._status = self._parser.get_status_code()
        names = {name for name, _ in self._headers}
        framed = b"content-length" in names or b"transfer-encoding" in names
        self._framed = framed or self._status in (204, 304) or self._to_head
        self._in_body = self._status >= 200
        if self._to_head and self._status >= 200:
            self._complete(unframed=False)

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self._chunks.append(body)
        self._size += len(body)
        if self._size > LARGEST_ANSWER_BYTES:
            self._finish(Broken(f"answer is larger than {LARGEST_ANSWER_BYTES} bytes"))
            self.abort()

    def on_message_begin(self) -> None:
        """Start the next answer; one after the end of the exchange is unasked."""
        if self._result is None or self._result.done():
            self.usable = False
        self._reset_message()

    def on_message_complete(self) -> None:
        """End the answer, or pass over one that belongs to another request."""
        if self._status < 200:
            return
        if not self._framed:
            self.usable = False
        self._complete(unframed=not self._framed)

    def _complete(self, unframed: bool) -> None:
        if self._result is None or self._result.done():
            self.usable = False
            return
        answer = messages.Answer(
            self._status, self._reason, self._headers, b"".join(self._chunks), unframed
        )
        self._in_body = False
        if self._is_foreign(answer):
            self._foreign += 1
            if unframed or self._foreign > MOST_FOREIGN_ANSWERS:
                self._finish(Broken("answers belong to other requests"))
                self.abort()
            return
        if not self._parser.should_keep_alive():
            self.usable = False
        self._take_keep_alive(answer)
        assert self._transport is not None
        if self._transport.get_write_buffer_size():
            # The server answered before it read the body, and would take the rest of
            # the body for the next request.
            self.usable = False
        self._finish(answer)

    def _is_foreign(self, answer: messages.Answer) -> bool:
        if self._identity is None:
            return False
        name, value = self._identity
        echoed = answer.header(name)
        return echoed is not None and echoed != value

    def _take_keep_alive(self, answer: messages.Answer) -> None:
        value = answer.header(b"keep-alive")
        if value is None:
            return
        for part in value.split(b","):
            name, _, seconds = part.strip().partition(b"=")
            if name.strip().lower() == b"timeout" and seconds.strip().isdigit():
                self.keep_alive_s = float(seconds)

    def _finish(self, outcome: Outcome) -> None:
        if self._result is not None and not self._result.done():
            self._result.set_result(outcome)

    def end_exchange(self, now: float) -> None:
        """Make the connection ready for the next exchange."""
        self._result = None
        self.idle_since = now


async def connect(
    host: str, port: int, timeout_s: float
) -> UpstreamConnection | NotSent:
    """Open a connection within a time limit in s."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(
                lambda: UpstreamConnection(loop.time()), host, port
            )
    except TimeoutError:
        return NotSent("connection timed out")
    except OSError as error:
        return NotSent(f"connection failed: {error.strerror or error}")
    return connection

"""Run one HTTP exchange at a time over a connection to a server."""

import asyncio
import dataclasses
import socket
import struct
from typing import Any

import httptools

from . import messages

MAX_RESPONSE_BYTES = 32 * 1024 * 1024
"""Responses are buffered until they are complete; larger ones count as failed."""

MAX_MISMATCHED_RESPONSES = 4
"""Responses to other requests that are skipped before the connection is reset."""

RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """State that no byte of the request was sent."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeFailed:
    """State that bytes were sent, but no complete response was received."""

    reason: str


ExchangeResult = messages.HttpResponse | ExchangeFailed


class UpstreamConnection(asyncio.Protocol):
    """Hold a connection to a server; times are in s of the event loop's clock.

    ``received_at`` is when the last byte of the current exchange arrived.
    """

    def __init__(self, opened_at: float) -> None:
        self.opened_at = opened_at
        self.idle_since = opened_at
        self.received_at: float | None = None
        self.keep_alive_s: float | None = None
        self.usable = True
        self._transport: asyncio.Transport | None = None
        self._result: asyncio.Future[ExchangeResult] | None = None
        self._echoed_header: tuple[bytes, bytes] | None = None
        self._for_head_request = False
        self._mismatched_responses = 0
        self._parser: Any = None
        self._reset_parser()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def exchange(
        self,
        data: bytes,
        echoed_header: tuple[bytes, bytes] | None = None,
        for_head_request: bool = False,
    ) -> "asyncio.Future[ExchangeResult]":
        """Send a request and return the future of its response.

        ``echoed_header`` is the name and value of a header that the response echoes;
        responses with another value belong to other requests and are skipped.
        """
        assert self._transport is not None and self._result is None
        self._result = asyncio.get_running_loop().create_future()
        self.received_at = None
        self._echoed_header = echoed_header
        self._for_head_request = for_head_request
        self._mismatched_responses = 0
        self._reset_parser()
        self._transport.write(data)
        return self._result

    def abort(self) -> None:
        """Reset the connection, so that bytes in transit are dropped."""
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

    def _reset_parser(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._reset_message()

    def _reset_message(self) -> None:
        self._reason = b""
        self._headers: messages.Headers = []
        self._chunks: list[bytes] = []
        self._body_bytes = 0
        self._self_delimited = False
        self._in_body = False

    def data_received(self, data: bytes) -> None:
        """Pass received bytes to the parser."""
        if self._result is None or self._result.done():
            # No exchange is in progress, so these bytes belong to no request.
            self.abort()
            return
        self.received_at = asyncio.get_running_loop().time()
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.usable = False
            self._set_result(ExchangeFailed(f"not an HTTP answer: {error}"))
            self.abort()

    def eof_received(self) -> bool:
        """End a response that is delimited by the end of the connection."""
        self.usable = False
        if self._in_body and not self._self_delimited and self._result is not None:
            self._complete_response(close_delimited=True)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange in progress."""
        self.usable = False
        reason = "connection reset" if exc else "connection closed"
        self._set_result(ExchangeFailed(reason))

    def on_status(self, status: bytes) -> None:
        """Append a part of the reason phrase."""
        self._reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header."""
        self._headers.append((name.lower(), value.strip()))

    def on_headers_complete(self) -> None:
        """Determine how the end of the body is found."""
        self._status = self._parser.get_status_code()
        names = {name for name, _ in self._headers}
        has_framing_header = b"content-length" in names or b"transfer-encoding" in names
        self._self_delimited = (
            has_framing_header or self._status in (204, 304) or self._for_head_request
        )
        self._in_body = self._status >= 200
        if self._for_head_request and self._status >= 200:
            self._complete_response(close_delimited=False)

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self._chunks.append(body)
        self._body_bytes += len(body)
        if self._body_bytes > MAX_RESPONSE_BYTES:
            self._set_result(
                ExchangeFailed(f"answer is larger than {MAX_RESPONSE_BYTES} bytes")
            )
            self.abort()

    def on_message_begin(self) -> None:
        """Start the next response; one after the end of the exchange is unexpected."""
        if self._result is None or self._result.done():
            self.usable = False
        self._reset_message()

    def on_message_complete(self) -> None:
        """End the response, or skip it if it belongs to another request."""
        if self._status < 200:
            return
        if not self._self_delimited:
            self.usable = False
        self._complete_response(close_delimited=not self._self_delimited)

    def _complete_response(self, close_delimited: bool) -> None:
        if self._result is None or self._result.done():
            self.usable = False
            return
        response = messages.HttpResponse(
            self._status,
            self._reason,
            self._headers,
            b"".join(self._chunks),
            close_delimited,
        )
        self._in_body = False
        if self._is_mismatched(response):
            self._mismatched_responses += 1
            if close_delimited or self._mismatched_responses > MAX_MISMATCHED_RESPONSES:
                self._set_result(ExchangeFailed("answers belong to other requests"))
                self.abort()
            return
        if not self._parser.should_keep_alive():
            self.usable = False
        self._read_keep_alive(response)
        assert self._transport is not None
        if self._transport.get_write_buffer_size():
            # The server responded before it read the whole body, and would parse the
            # rest of the body as the next request.
            self.usable = False
        self._set_result(response)

    def _is_mismatched(self, response: messages.HttpResponse) -> bool:
        if self._echoed_header is None:
            return False
        name, value = self._echoed_header
        echoed = response.header(name)
        return echoed is not None and echoed != value

    def _read_keep_alive(self, response: messages.HttpResponse) -> None:
        value = response.header(b"keep-alive")
        if value is None:
            return
        for part in value.split(b","):
            name, _, seconds = part.strip().partition(b"=")
            if name.strip().lower() == b"timeout" and seconds.strip().isdigit():
                self.keep_alive_s = float(seconds)

    def _set_result(self, result: ExchangeResult) -> None:
        if self._result is not None and not self._result.done():
            self._result.set_result(result)

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

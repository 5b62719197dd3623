"""Run one HTTP exchange at a time over a connection to a server."""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import Any

import httptools

from wasabivalve import retries

from . import disconnects, memory_account, messages, receiving, response_stream

MAX_MISMATCHED_RESPONSES = 4
"""Responses to other requests that are skipped before the connection is reset."""

MAX_REFUSED_REQUESTS = 16
"""Refused requests that a connection remembers before it is replaced."""

WRITE_BYTES = 64 * receiving.KIB
"""Bytes of a body written at once; the transport copies what it can't send."""

StreamCheck = Callable[[messages.HttpResponse], bool]
"""Decide by the head of a response whether it may be passed on while it is read."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """State that no byte of the request was sent.

    ``was_reset`` is true if the server reset the new connection.
    """

    reason: str
    was_reset: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeFailed:
    """State that bytes were sent, but no complete response was received.

    ``over_limit`` is true if the server sent more than a response may have, and
    ``ended_by_peer`` if it closed or reset the connection before its response began,
    ``was_reset`` if it reset it then.
    """

    reason: str
    over_limit: bool = False
    ended_by_peer: bool = False
    was_reset: bool = False


ExchangeResult = messages.HttpResponse | ExchangeFailed


class UpstreamConnection(asyncio.BufferedProtocol):
    """Hold a connection to a server; times are in s of the event loop's clock.

    ``received_at`` is when the last byte of the current exchange arrived.
    ``refused_request_ids`` are the requests that the server said it did not run. None
    of them is sent over this connection again: a repeated refusal would have the id of
    the second attempt and deny that it runs.
    """

    def __init__(
        self,
        opened_at: float,
        limits: receiving.MessageLimits = receiving.DEFAULT_LIMITS,
        buffers: receiving.ReceiveBuffers | None = None,
    ) -> None:
        self.opened_at = opened_at
        self.exchange_count = 0
        self.refused_request_ids: set[bytes] = set()
        self._limits = limits
        self._buffers = buffers
        self._overhead_bytes = 0
        self._interim_responses = 0
        self.idle_since = opened_at
        self.received_at: float | None = None
        self.keep_alive_s: float | None = None
        self.usable = True
        self._transport: asyncio.Transport | None = None
        self._result: asyncio.Future[ExchangeResult] | None = None
        self._echoed_header: tuple[bytes, bytes] | None = None
        self._for_head_request = False
        self._may_stream: StreamCheck | None = None
        self._stream: response_stream.ResponseStream | None = None
        self._mismatched_responses = 0
        self._unsent_body = memoryview(b"")
        self._writing_paused = False
        self._stream_paused = False
        self._paced = False
        self._pieces = 0
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
        body: bytes | bytearray = b"",
        may_stream: StreamCheck | None = None,
    ) -> "asyncio.Future[ExchangeResult]":
        """Send a request and return the future of its response.

        ``data`` is all of the request but ``body``, which is written as the server
        reads it.
        ``echoed_header`` is the name and value of a header that the response echoes;
        responses with another value, or on a reused connection with none, belong to
        other requests and are skipped. If ``may_stream`` allows it, the future of a
        large response is done before its body is complete.
        """
        assert self._transport is not None and self._result is None
        self.exchange_count += 1
        self._result = asyncio.get_running_loop().create_future()
        self.received_at = None
        self._echoed_header = echoed_header
        self._for_head_request = for_head_request
        self._may_stream = may_stream
        self._stream = None
        self._mismatched_responses = 0
        self._overhead_bytes = self._body_bytes = self._interim_responses = 0
        self._reset_parser()
        first = body[:WRITE_BYTES]
        self._unsent_body = memoryview(body)[len(first) :]
        self._transport.write(data + first)
        self._write_body()
        return self._result

    def pause_writing(self) -> None:
        """Keep the rest of the body until the server has read."""
        self._writing_paused = True

    def resume_writing(self) -> None:
        """Write more of the body."""
        self._writing_paused = False
        self._write_body()

    def _write_body(self) -> None:
        assert self._transport is not None
        while self._unsent_body and not self._writing_paused and self.usable:
            piece = self._unsent_body[:WRITE_BYTES]
            self._unsent_body = self._unsent_body[WRITE_BYTES:]
            self._transport.write(piece)
        if not self._unsent_body:
            # An empty view would still hold the body.
            self._unsent_body = memoryview(b"")

    def on_refused(self, request_id: bytes) -> None:
        """Record that the server stated that it did not run a request."""
        self.refused_request_ids.add(request_id)
        if len(self.refused_request_ids) >= MAX_REFUSED_REQUESTS:
            self.usable = False

    def abort(self) -> None:
        """Reset the connection, so that bytes in transit are dropped."""
        self.usable = False
        self._release_buffers()
        if self._transport is not None:
            disconnects.reset(self._transport)

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
        self._body = bytearray()
        self._self_delimited = False
        self._in_body = False

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer for the next read, which all connections share."""
        return receiving.READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Pass received bytes to the parser."""
        self.data_received(bytes(memoryview(receiving.READ_BUFFER)[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Pass received bytes to the parser."""
        if self._result is None or (self._result.done() and self._stream is None):
            # No exchange is in progress, so these bytes belong to no request.
            self.abort()
            return
        loop = asyncio.get_running_loop()
        self.received_at = loop.time()
        self._pieces = 0
        self._overhead_bytes += len(data)
        if self._buffers is not None and self._stream is None:
            self._buffers.add(self, len(data))
            if self._result.done():
                return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail(ExchangeFailed(f"not an HTTP answer: {error}"))
        max_overhead_bytes = self._limits.overhead_bytes + receiving.framing_allowance(
            self._body_bytes
        )
        if self._overhead_bytes > max_overhead_bytes:
            self._fail_over_limit(f"{self._limits.overhead_bytes} bytes of head")
        if self._buffers is not None:
            pause_s = self._buffers.pace.pause_s(self.received_at, self._pieces)
            if pause_s:
                self._paced = True
                self._update_reading()
                loop.call_later(pause_s, self._end_pace)

    def _end_pace(self) -> None:
        self._paced = False
        self._update_reading()

    def _pause_stream(self) -> None:
        self._stream_paused = True
        self._update_reading()

    def _resume_stream(self) -> None:
        self._stream_paused = False
        self._update_reading()

    def _update_reading(self) -> None:
        assert self._transport is not None
        if self._paced or self._stream_paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def on_evicted(self) -> None:
        """Fail the exchange, as this process holds too many bytes."""
        self._fail(ExchangeFailed("receive buffers are full", over_limit=True))

    def _fail_over_limit(self, limit: str) -> None:
        self._fail(ExchangeFailed(f"answer exceeds {limit}", over_limit=True))

    def _fail(self, failure: ExchangeFailed) -> None:
        """Fail the exchange and drop what the server still sends."""
        self._break_stream(failure.reason)
        if self._result is not None and not self._result.done():
            self._set_result(failure)
            self._reset_message()
        self.abort()

    def _release_buffers(self) -> None:
        if self._buffers is not None:
            self._buffers.release(self)

    def eof_received(self) -> bool:
        """End a response that is delimited by the end of the connection."""
        self.usable = False
        if self._in_body and not self._self_delimited and self._result is not None:
            self._complete_response(close_delimited=True)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange in progress."""
        self.usable = False
        self._unsent_body = memoryview(b"")
        self._release_buffers()
        reason = "connection reset" if exc else "connection closed"
        self._break_stream(reason)
        # Bytes of a response prove that the server did not end when it began to run
        # the request.
        ended_by_peer = self.received_at is None
        was_reset = ended_by_peer and exc is not None
        self._set_result(
            ExchangeFailed(reason, ended_by_peer=ended_by_peer, was_reset=was_reset)
        )
        # The parser and this connection refer to each other.
        self._parser = None

    def on_status(self, status: bytes) -> None:
        """Append a part of the reason phrase."""
        self._reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header."""
        self._headers.append((name.lower(), value.strip()))
        if len(self._headers) > self._limits.header_fields:
            self._fail_over_limit(f"{self._limits.header_fields} header fields")
        elif self._buffers is not None and self._result and not self._result.done():
            self._buffers.add(self, memory_account.FIELD_BYTES)

    def on_headers_complete(self) -> None:
        """Determine how the end of the body is found."""
        self._status = self._parser.get_status_code()
        if not retries.is_valid_status(self._status):
            self._fail(ExchangeFailed(f"status {self._status:03} is not valid"))
            return
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
        self._pieces += 1
        self._overhead_bytes -= len(body)
        self._body_bytes += len(body)
        if self._stream is not None:
            self._stream.feed(body)
        elif self._result is None or self._result.done():
            return
        else:
            self._body += body
            self._start_stream()
        if self._body_bytes > self._limits.body_bytes:
            self._fail_over_limit(f"{self._limits.body_bytes} bytes of body")

    def on_message_begin(self) -> None:
        """Start the next response; one after the end of the exchange is unexpected."""
        if self._result is None or self._result.done():
            self.usable = False
        self._reset_message()

    def on_message_complete(self) -> None:
        """End the response, or skip it if it belongs to another request."""
        if self._status < 200:
            self._interim_responses += 1
            if self._interim_responses > self._limits.interim_responses:
                self._fail_over_limit(
                    f"{self._limits.interim_responses} interim responses"
                )
            return
        if not self._self_delimited:
            self.usable = False
        self._complete_response(close_delimited=not self._self_delimited)

    def _start_stream(self) -> None:
        """Pass on the response from now on if it is large and certainly the right one.

        A body without a length ends with its connection, so that a broken one could
        look complete; it is read to its end.
        """
        if (
            len(self._body) <= response_stream.STREAM_FROM_BYTES
            or self._may_stream is None
            or self._echoed_header is None
            or not self._self_delimited
        ):
            return
        head = messages.HttpResponse(self._status, self._reason, self._headers, b"")
        if self._is_mismatched(head) or not self._may_stream(head):
            return
        assert self._transport is not None
        length = head.header(b"content-length")
        stream = response_stream.ResponseStream(
            None if length is None else int(length),
            self._buffers,
            self._pause_stream,
            self._resume_stream,
        )
        self._release_buffers()
        body, self._body = bytes(self._body), bytearray()
        self._stream = stream
        stream.feed(body)
        self._set_result(head._replace(stream=stream))

    def _break_stream(self, reason: str) -> None:
        if self._stream is not None:
            stream, self._stream = self._stream, None
            stream.break_off(reason)

    def _end_stream(self) -> None:
        """Record that the body of a stream was received to its end."""
        assert self._stream is not None and self._transport is not None
        stream, self._stream = self._stream, None
        self._in_body = False
        keep_alive = self._parser.should_keep_alive()
        unsent = self._unsent_body or self._transport.get_write_buffer_size()
        if not keep_alive or unsent:
            self.usable = False
        # Reading may have paused; the connection must be readable when it is idle.
        self._resume_stream()
        stream.finish()

    def _complete_response(self, close_delimited: bool) -> None:
        if self._stream is not None:
            self._end_stream()
            return
        if self._result is None or self._result.done():
            self.usable = False
            return
        response = messages.HttpResponse(
            self._status,
            self._reason,
            self._headers,
            bytes(self._body),
            close_delimited,
        )
        # An idle connection must not keep the body of its last response.
        self._body = bytearray()
        self._in_body = False
        if self._is_mismatched(response):
            self._mismatched_responses += 1
            # The server has sent something unexplained, and may do so again.
            self.usable = False
            if self.exchange_count == 1 and self._echoed_ids(response) == []:
                # No other request was sent that the response could belong to.
                self._fail(ExchangeFailed("answer does not echo the request id"))
            elif (
                close_delimited or self._mismatched_responses > MAX_MISMATCHED_RESPONSES
            ):
                self._fail(ExchangeFailed("answers belong to other requests"))
            return
        if not self._parser.should_keep_alive():
            self.usable = False
        self._read_keep_alive(response)
        assert self._transport is not None
        if self._unsent_body or self._transport.get_write_buffer_size():
            # The server responded before it read the whole body, and would parse the
            # rest of the body as the next request.
            self.usable = False
        if self._buffers is not None:
            self._buffers.keep_complete(self)
        self._set_result(response)

    def _is_mismatched(self, response: messages.HttpResponse) -> bool:
        if self._echoed_header is None:
            return False
        return self._echoed_ids(response) != [self._echoed_header[1]]

    def _echoed_ids(self, response: messages.HttpResponse) -> list[bytes]:
        """Return all values of the echoed header; several of them prove nothing."""
        assert self._echoed_header is not None
        name = self._echoed_header[0]
        return [value for header, value in response.headers if header == name]

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
        self._release_buffers()
        self._result = None
        self.idle_since = now


async def connect(
    host: str,
    port: int,
    timeout_s: float,
    limits: receiving.MessageLimits = receiving.DEFAULT_LIMITS,
    buffers: receiving.ReceiveBuffers | None = None,
) -> UpstreamConnection | NotSent:
    """Open a connection within a time limit in s."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(
                lambda: UpstreamConnection(loop.time(), limits, buffers), host, port
            )
    except TimeoutError:
        return NotSent("connection timed out")
    except OSError as error:
        return NotSent(
            f"connection failed: {error.strerror or error}",
            isinstance(error, ConnectionResetError),
        )
    return connection

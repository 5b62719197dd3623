"""Read the requests of one caller's connection."""

import asyncio
import functools
import math
from collections.abc import Callable
from typing import Any, Protocol

import httptools

from wasabivalve import events
from wasabivalve.desired_state import core as desired_state

from . import (
    connection_limit,
    disconnects,
    incoming_request,
    messages,
    read_pace,
    receiving,
    response_sender,
)

DEFAULT_LIMITS = desired_state.CallerLimits(16_384, 67_108_864, 5_000.0, 15_000.0)
"""Limits that apply until the first desired state is known."""

IDLE_MARGIN_S = 1.0
"""Time added to the announced idle timeout.

Without it, a request could be in transit when the connection is closed.
"""

FULL_BUFFERS_RETRY_AFTER_S = 0.5
"""Retry-After of requests for which the receive buffers have no room."""

LINGER_S = 1.0
"""Time for which bytes of the caller are discarded after the last response.

Closing with unread bytes resets the connection, and a caller that has sent further
requests would lose the responses that it has not read yet.
"""

DISCONNECT_CHECK_S = 0.2
"""Interval at which a connection that is not read is checked for its caller."""


class RequestServer(response_sender.RequestHandler, Protocol):
    """Handle the requests of connections; implemented by the gateway."""

    def on_open(self, connection: "CallerConnection") -> None:
        """Record that a connection was opened."""

    def on_closed(self, connection: "CallerConnection") -> None:
        """Record that a connection was closed."""


class CallerConnection(asyncio.BufferedProtocol):
    """Read the requests of a connection; ``ResponseSender`` answers them."""

    def __init__(self, server: RequestServer) -> None:
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._caller = ""
        self._parser: Any = httptools.HttpRequestParser(self)
        self._responses = response_sender.ResponseSender(server, self)
        self._disconnect_check: asyncio.TimerHandle | None = None
        self._closing = False
        self._input_ended = False
        self._lingering = False
        self._announced_idle_s = math.inf
        self._timer: asyncio.TimerHandle | None = None
        self._unsent_bytes = 0
        self._progressed_at = 0.0
        self._receiving = False
        self._read_at = self._loop.time()
        self._paced = False
        self._pieces = 0
        self._reset_message()

    @property
    def busy(self) -> bool:
        """Return whether a request is being read or served, or its response is sent."""
        return self._receiving or self._responses.busy or self._lingering

    @property
    def activity(self) -> connection_limit.Activity:
        """Return what the limit of connections needs to know."""
        is_answered = not (self._responses.busy or self._responses.has_unwritten)
        return connection_limit.Activity(
            # What is paused waits for this process, not for the caller.
            self._receiving and is_answered and not self._paced,
            is_answered and not self.busy,
            self._read_at,
        )

    @property
    def is_idle(self) -> bool:
        """Return whether nothing is read or served and the caller has received all."""
        return not self.busy and not self.unsent_bytes()

    def unsent_bytes(self) -> int:
        """Return the bytes of responses that the caller has not acknowledged."""
        return self._responses.unsent_bytes()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the idle timeout."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        address = transport.get_extra_info("peername")
        self._caller = address[0] if address else ""
        self._responses.start(transport)
        self._server.on_open(self)
        self._start_idle_timeout()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the requests in progress."""
        self._closing = True
        self._stop_timer()
        self._stop_disconnect_check()
        self._responses.cancel()
        self._server.buffers.release(self)
        self._reset_message()
        # The parser and this connection refer to each other; their memory would stay
        # until the next run of the garbage collector.
        self._parser = None
        self._server.on_closed(self)

    def pause_writing(self) -> None:
        """Write no further response until the caller has read its responses."""
        self._responses.on_unwritable()

    def resume_writing(self) -> None:
        """Write further responses."""
        self._responses.on_writable()

    def end_input(self) -> None:
        """Discard all bytes from now on, as no further request is answered."""
        self._input_ended = True
        self._receiving = False
        self._stop_timer()
        self._server.buffers.release_incomplete(self)
        self._reset_message()

    def pause_reading(self) -> None:
        """Stop reading, as enough requests are in progress."""
        if self._disconnect_check is None and self._transport is not None:
            # The caller must not be timed out for bytes that are not read.
            self._stop_timer()
            self._transport.pause_reading()
            self._check_disconnect()

    def resume_reading(self) -> None:
        """Read again."""
        if self._disconnect_check is None or self._transport is None:
            return
        self._stop_disconnect_check()
        if not self._paced:
            self._transport.resume_reading()
        if self._receiving:
            self._start_receive_timeout()

    def on_all_answered(self, announced_idle_s: float | None) -> None:
        """Wait for the next request; times in s."""
        if announced_idle_s is not None:
            self._announced_idle_s = announced_idle_s
        if self._continue_expected:
            self._send_continue()
        if not self._receiving and not self._input_ended:
            self._start_idle_timeout()

    def _check_disconnect(self) -> None:
        """Notice that the caller left although nothing is read from it."""
        if self._transport is None:
            return
        if not disconnects.has_left(self._transport):
            self._disconnect_check = self._loop.call_later(
                DISCONNECT_CHECK_S, self._check_disconnect
            )
        elif disconnects.has_ended(self._transport):
            self._disconnect_check = None
            self.abort()
        else:
            # As for the end of the input, which is read behind all that precedes it.
            self._responses.end_requests()
            self.finish()

    def _stop_disconnect_check(self) -> None:
        if self._disconnect_check is not None:
            self._disconnect_check.cancel()
            self._disconnect_check = None

    def on_evicted(self) -> None:
        """Refuse the request that is being read, as the receive buffers are full."""
        events.emit(404, bytes=self._message.cost_bytes)
        self._reject(503, "too many requests are held", FULL_BUFFERS_RETRY_AFTER_S)

    def eof_received(self) -> bool:
        """Close, after a response that is being written.

        A caller that closed its side of the connection reads no other response, and
        may have left: the work on all other requests ends.
        """
        self._responses.end_requests()
        if not self._responses.has_unwritten:
            self._allow_orderly_end()
            return False
        if self._responses.ends_with_connection:
            self.finish()
        else:
            self.close()
        return True

    def close(self) -> None:
        """Close the connection after buffered bytes are written."""
        self._closing = True
        self._stop_timer()
        if self._transport is not None:
            self._responses.when_written(self._close_transport)

    def _close_transport(self) -> None:
        assert self._transport is not None
        if not self._responses.has_unwritten:
            self._allow_orderly_end()
        self._transport.close()

    def _allow_orderly_end(self) -> None:
        """Let the kernel end the connection in order, as it has the whole response."""
        if self._responses.ends_with_connection and self._transport is not None:
            disconnects.set_reset_on_close(self._transport, False)

    def finish(self) -> None:
        """Close after the last response, when the caller closes or after a time."""
        self._closing = True
        self.end_input()
        if self._transport is None or self._transport.is_closing():
            return
        self.resume_reading()
        self._responses.when_written(self._end_output)

    def _end_output(self) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        try:
            self._transport.write_eof()
        except OSError:
            # The caller has reset the connection.
            self._transport.abort()
            return
        self._lingering = True
        self._close_when_received(LINGER_S)

    def _close_when_received(self, delay_s: float) -> None:
        """Close after ``delay_s`` s during which the caller had received everything.

        A caller that has stopped reading is not waited for.
        """
        self._unsent_bytes = 0
        self._start_timer(delay_s, functools.partial(self._check_received, delay_s))

    def _check_received(self, delay_s: float) -> None:
        unsent_before, self._unsent_bytes = self._unsent_bytes, self.unsent_bytes()
        now = self._loop.time()
        if not unsent_before or self._unsent_bytes < unsent_before:
            self._progressed_at = now
        stalled = now >= self._progressed_at + self._idle_timeout_s()
        if stalled or not (self._unsent_bytes or unsent_before):
            self.close()
        else:
            self._start_timer(delay_s, functools.partial(self._check_received, delay_s))

    def cut(self) -> None:
        """Close the connection at once; a response that is not whole is reset."""
        if self._responses.has_unwritten:
            self.abort()
        else:
            self.close()

    def abort(self) -> None:
        """Reset the connection, so that no response looks complete."""
        self._closing = True
        if self._transport is not None:
            disconnects.reset(self._transport)

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer for the next read, which all connections share."""
        return receiving.READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Pass received bytes to the parser."""
        self.data_received(bytes(memoryview(receiving.READ_BUFFER)[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Pass received bytes to the parser."""
        if self._closing or self._input_ended:
            return
        if not self._receiving:
            self._receiving = True
            self._start_header_timeout()
        self._read_at = self._loop.time()
        self._message.add_read(len(data))
        wait_s = self._head_wait_s(data)
        if wait_s is None:
            events.emit(404, bytes=self._message.cost_bytes)
            self._reject(503, "too many long heads are read", read_pace.MAX_LINE_WAIT_S)
        elif wait_s:
            self._count()
            # The caller must not be timed out for bytes that are not parsed.
            self._stop_timer()
            self._pause_for_pace(wait_s, functools.partial(self._parse_later, data))
        else:
            self._parse(data)

    def _head_wait_s(self, data: bytes) -> float | None:
        """Return how long what was read waits, as its head has very many lines."""
        if self._message.headers_done:
            return 0.0
        head = data.partition(b"\r\n\r\n")[0]
        return self._server.buffers.pace.head_wait_s(
            self._read_at, len(self._message.headers), head.count(b"\n")
        )

    def _parse_later(self, data: bytes) -> None:
        self._end_pace()
        if not (self._closing or self._input_ended):
            self._start_header_timeout()
            self._parse(data)

    def _parse(self, data: bytes) -> None:
        self._pieces = 0
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(400, "upgrade is not supported")
        except httptools.HttpParserError as error:
            self._reject(400, f"not an HTTP request: {error}")
        self._reject_excess()
        self._count()
        pause_s = self._server.buffers.pace.pause_s(self._loop.time(), self._pieces)
        if pause_s:
            self._pause_for_pace(pause_s, self._end_pace)

    def _pause_for_pace(self, pause_s: float, action: Callable[[], None]) -> None:
        if self._transport is not None:
            self._paced = True
            self._transport.pause_reading()
            self._loop.call_later(pause_s, action)

    def _end_pace(self) -> None:
        self._paced = False
        if self._disconnect_check is None and self._transport is not None:
            self._transport.resume_reading()

    def _reject_excess(self) -> None:
        rejection = self._message.find_excess(self._server.limits())
        if rejection is not None:
            self._reject(*rejection)

    def _count(self) -> None:
        """Tell the account what the request that is being read costs by now."""
        if self._closing or self._input_ended:
            return
        cost_bytes = self._message.cost_bytes
        added_bytes = cost_bytes - self._message.counted_bytes
        self._message.counted_bytes = cost_bytes
        self._server.buffers.add(self, added_bytes)

    def on_message_begin(self) -> None:
        """Start reading a request."""
        if self._input_ended:
            return
        self._receiving = True
        if self._timer is None:
            # The request begins in the same bytes in which the one before ended.
            self._start_header_timeout()

    def on_url(self, url: bytes) -> None:
        """Append a part of the target."""
        if not self._input_ended:
            self._message.add_target(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header; the parser calls this for trailers as well."""
        if not self._input_ended:
            self._message.add_field(name, value)

    def on_headers_complete(self) -> None:
        """Check the announced body size and send 100 Continue if it is expected."""
        if self._input_ended:
            return
        self._message.end_head()
        self._reject_excess()
        if self._input_ended:
            return
        self._stop_timer()
        self._start_body_timeout()
        max_bytes = self._server.limits().body_bytes
        for name, value in self._message.headers:
            if name == b"content-length" and value.isdigit() and int(value) > max_bytes:
                self._reject(413, f"body is larger than {max_bytes} bytes")
                return
            if name == b"expect" and value.lower() == b"100-continue":
                self._continue_expected = True
                # An earlier response must not be interrupted.
                if not self._responses.busy:
                    self._send_continue()

    def _send_continue(self) -> None:
        self._continue_expected = False
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        if self._input_ended:
            return
        self._pieces += 1
        self._message.add_body(body)
        if len(self._message.body) > self._server.limits().body_bytes:
            self._reject(413, "body is too large")

    def on_message_complete(self) -> None:
        """Serve the request."""
        if self._closing or self._input_ended:
            return
        self._stop_timer()
        self._receiving = False
        if self._parser.should_upgrade():
            self._reject(400, "upgrade is not supported")
            return
        request = self._build_request()
        if request is None:
            self._reject(400, "the target or the host is malformed")
            return
        self._count()
        if self._input_ended:
            return
        if not self._server.buffers.has_room_for_complete(self):
            self.on_evicted()
            return
        self._reset_message()
        held_bytes = self._server.buffers.keep_complete(self)
        if not request.keep_alive:
            self.end_input()
        self._responses.serve(request, held_bytes)

    def _build_request(self) -> messages.HttpRequest | None:
        try:
            url = httptools.parse_url(self._message.target)
            path = (url.path or b"/").decode("ascii")
        except (httptools.HttpParserInvalidURLError, UnicodeDecodeError):
            return None
        hosts = [value for name, value in self._message.headers if name == b"host"]
        if len(hosts) != 1:
            return None
        host = hosts[0].decode("latin-1").rsplit(":", 1)[0].lower()
        return messages.HttpRequest(
            self._parser.get_method(),
            self._message.target,
            path,
            host,
            self._message.headers,
            self._message.body,
            self._parser.should_keep_alive(),
            self._loop.time(),
            self._caller,
            takes_chunks=self._parser.get_http_version() != "1.0",
        )

    def _reject(
        self, status: int, text: str, retry_after_s: float | None = None
    ) -> None:
        """Refuse what is being read; the requests before it are answered first."""
        if self._closing or self._input_ended:
            return
        self.end_input()
        self._responses.refuse(messages.local_response(status, text, retry_after_s))

    def _reset_message(self) -> None:
        self._message = incoming_request.IncomingRequest()
        self._continue_expected = False

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _start_timer(self, delay_s: float, action: Callable[[], None]) -> None:
        self._stop_timer()
        self._timer = self._loop.call_later(delay_s, action)

    def _idle_timeout_s(self) -> float:
        return self._server.limits().idle_timeout_ms / 1000.0

    def _start_idle_timeout(self) -> None:
        timeout_s = self._idle_timeout_s()
        if self._announced_idle_s < math.inf:
            timeout_s = max(timeout_s, self._announced_idle_s)
        self._close_when_received(timeout_s + IDLE_MARGIN_S)

    def _start_header_timeout(self) -> None:
        timeout_s = self._server.limits().header_timeout_ms / 1000.0
        self._start_timer(timeout_s, lambda: self._reject(408, "header took too long"))

    def _start_receive_timeout(self) -> None:
        if self._message.headers_done:
            self._start_body_timeout()
        else:
            self._start_header_timeout()

    def _start_body_timeout(self) -> None:
        timeout_s = self._idle_timeout_s()
        self._start_timer(timeout_s, lambda: self._reject(408, "body took too long"))

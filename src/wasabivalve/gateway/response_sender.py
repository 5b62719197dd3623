"""Have the requests of one connection handled and write the responses in order."""

import asyncio
import weakref
from collections.abc import Callable
from typing import Protocol

from wasabivalve import events
from wasabivalve.desired_state import core as desired_state

from . import (
    disconnects,
    memory_account,
    messages,
    receiving,
    response_order,
    response_stream,
    unread_responses,
)

MEMORY_SHORT_SHARE = 0.5
"""Use of the receive buffers above which only responses that need not wait begin."""


STALL_TIMEOUT_S = 0.5
"""Time without a byte after which a stream to a half-closed connection is reset.

A caller that has left and one that has only closed its side look the same.
"""


class RequestHandler(Protocol):
    """Handle requests of any connection."""

    stopping: bool
    buffers: receiving.ReceiveBuffers
    pipelining: response_order.Pipelining

    def limits(self) -> desired_state.CallerLimits:
        """Return the limits that apply to callers."""

    async def handle(self, request: messages.HttpRequest) -> messages.HttpResponse:
        """Return the response to a request."""


class RequestReader(receiving.Receiver, Protocol):
    """Read the requests of a connection."""

    def end_input(self) -> None:
        """Read no further request."""

    def pause_reading(self) -> None:
        """Stop reading until it is resumed."""

    def resume_reading(self) -> None:
        """Read again if reading was paused."""

    def on_all_answered(self, announced_idle_s: float | None) -> None:
        """Record that no request is left, and the idle time that was announced."""

    def finish(self) -> None:
        """Close the connection after what was written."""

    def abort(self) -> None:
        """Close the connection at once."""


def _memory_bytes(response: messages.HttpResponse) -> int:
    """Return about how much memory a response takes."""
    header_bytes = sum(
        memory_account.field_cost(name, value) for name, value in response.headers
    )
    return len(response.body) + header_bytes


class ResponseSender:
    """Run the requests of a connection concurrently and answer them in order."""

    def __init__(self, server: RequestHandler, reader: RequestReader) -> None:
        self._server = server
        self._reader = reader
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._order = response_order.ResponseOrder(server.pipelining.may_run_twice)
        self._tasks: set[asyncio.Task[None]] = set()
        self._writable = asyncio.Event()
        self._writable.set()
        self._unread = unread_responses.UnreadResponses(
            self._loop,
            server.buffers,
            lambda: server.limits().idle_timeout_ms / 1000.0,
        )
        self._stream_task: asyncio.Task[None] | None = None
        self._after_stream: Callable[[], None] | None = None
        self._closed = False
        self._ending = False
        self._announced_idle_s: float | None = None
        self.ends_with_connection = False

    @property
    def busy(self) -> bool:
        """Return whether a request is not answered yet, or its response not sent."""
        return len(self._order) > 0 or self.is_sending

    def start(self, transport: asyncio.Transport) -> None:
        """Write responses to a connection."""
        self._transport = transport
        self._unread.start(transport)

    @property
    def is_sending(self) -> bool:
        """Return whether a part of a response waits until the caller reads."""
        return self._unread.is_sending or self._stream_task is not None

    @property
    def has_unwritten(self) -> bool:
        """Return whether a part of a response waits in this process."""
        return self._stream_task is not None or self._unread.unwritten_bytes() > 0

    def unsent_bytes(self) -> int:
        """Return the bytes of responses that the caller has not acknowledged."""
        return self._unread.unsent_bytes()

    def when_written(self, action: Callable[[], None]) -> None:
        """Run an action when all that was begun is with the transport."""
        if self._stream_task is not None:
            self._after_stream = action
        else:
            self._unread.when_written(action)

    def serve(self, request: messages.HttpRequest, held_bytes: int) -> None:
        """Answer a request; the memory account counts it with ``held_bytes``."""
        if self._closed or self._ending:
            return
        if self.busy:
            self._server.pipelining.count_event("request.pipelined")
        turn = self._order.add(request, held_bytes)
        # A strong reference would form a cycle, which keeps the body of the request
        # until the garbage collector runs, while the memory account has released it.
        turn_reference = weakref.ref(turn)

        def may_stream() -> bool:
            # A response that had to wait would stall at its instance, which gives it
            # up.
            turn = turn_reference()
            return (
                turn is not None
                and self._writable.is_set()
                and self._order.is_first(turn)
            )

        turn.request = request._replace(may_begin=turn.may_begin, may_stream=may_stream)
        self._advance()

    def refuse(self, response: messages.HttpResponse) -> None:
        """Send a last response after those to the requests in progress."""
        if self._closed or self._ending:
            return
        self._order.add_refusal(response)
        self._advance()

    def on_unwritable(self) -> None:
        """Write and start nothing until the caller has read."""
        self._unread.pause()
        self._writable.clear()
        self._update_room()

    def on_writable(self) -> None:
        """Write and start what has waited."""
        self._unread.resume()
        if self._unread.is_writable:
            self._writable.set()
            self._advance()

    def cancel(self) -> None:
        """End the work on all requests, as nobody can get their responses."""
        self._closed = True
        self._unread.stop()
        self._order.drop_all()
        for task in self._tasks:
            task.cancel()

    def end_requests(self) -> None:
        """End the work on all requests but the one whose response is being sent.

        Nothing is begun any more: the caller sends again what was not answered.
        """
        if self._ending:
            return
        self._ending = True
        if self._stream_task is None:
            dropped = self._order.drop_all()
        else:
            dropped = self._order.drop_behind_first()
            self._watch_stream()
        for turn in dropped:
            self._release(turn)
        for task in self._tasks:
            if task is not self._stream_task:
                task.cancel()

    def _watch_stream(self) -> None:
        handed_over_bytes = self._unread.handed_over_bytes
        self._loop.call_later(STALL_TIMEOUT_S, self._check_stream, handed_over_bytes)

    def _check_stream(self, bytes_before: int) -> None:
        """Reset a connection whose stream stalls: its caller may have left."""
        if self._closed or self._stream_task is None:
            return
        if self._unread.handed_over_bytes == bytes_before:
            self._reader.abort()
        else:
            self._watch_stream()

    def _advance(self) -> None:
        """Write the responses whose turn it is and start the requests that may run."""
        if self._ending:
            return
        while self._writable.is_set() and not self._closed:
            turn = self._order.take_ready()
            if turn is None:
                break
            self._write(turn)
        if self._closed:
            return
        self._update_room()
        if self._writable.is_set():
            self._start_requests()
        if self._order.is_full:
            self._reader.pause_reading()
        else:
            self._reader.resume_reading()
        if self._writable.is_set() and not self.busy:
            self._reader.on_all_answered(self._announced_idle_s)

    def _update_room(self) -> None:
        buffers = self._server.buffers
        memory_short = buffers.total_bytes > MEMORY_SHORT_SHARE * buffers.limit_bytes
        self._order.update_room(self._writable.is_set(), memory_short)

    def _start_requests(self) -> None:
        for turn in self._order.start_next():
            task = self._loop.create_task(self._serve(turn))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _serve(self, turn: response_order.Turn) -> None:
        assert turn.request is not None
        if not self._order.confirm_start(turn):
            return
        try:
            response = await self._server.handle(turn.request)
        except BaseException:
            if not (self._closed or self._ending):
                # Without a response, those to later requests would be taken for it.
                self._reader.abort()
            raise
        if response.stream is not None:
            await self._stream(turn, response, response.stream)
            return
        if self._closed:
            return
        if not self._writable.is_set() or not self._order.is_first(turn):
            byte_count = _memory_bytes(response)
            turn.waiting_bytes = byte_count
            self._server.buffers.add_waiting(self._reader, byte_count)
            self._server.pipelining.count_event("request.response_waited")
        self._order.on_response(turn, response)
        self._advance()

    async def _stream(
        self,
        turn: response_order.Turn,
        response: messages.HttpResponse,
        stream: response_stream.ResponseStream,
    ) -> None:
        """Pass on a response while it is read; reset the connection if it breaks."""
        try:
            if self._closed:
                return
            self._stream_task = asyncio.current_task()
            stream.when_ended(self._on_stream_end)
            keep_open = self._write_head(turn, response, len(self._order) > 1)
            while (data := await stream.read()) is not None:
                self._write_piece(stream, data)
                await self._writable.wait()
            if stream.end != response_stream.StreamEnd.COMPLETE or self._closed:
                return
            if stream.body_bytes is None:
                self._unread.write(b"0\r\n\r\n")
            self._order.remove_first(turn)
            self._release(turn)
        finally:
            self._stream_task = None
            stream.abandon()
        if self._after_stream is not None:
            self._unread.when_written(self._after_stream)
        elif keep_open:
            self._advance()
        else:
            self._finish()

    def _write_piece(self, stream: response_stream.ResponseStream, data: bytes) -> None:
        if stream.body_bytes is None:
            data = b"%x\r\n" % len(data) + data + b"\r\n"
        self._unread.write(b"", data)

    def _on_stream_end(self, end: response_stream.StreamEnd) -> None:
        if end == response_stream.StreamEnd.BROKEN and not self._closed:
            self._server.pipelining.count_event("request.response_cut")
            self._reader.abort()

    def _write(self, turn: response_order.Turn) -> None:
        assert turn.response is not None
        self._release(turn)
        if not self._write_head(turn, turn.response, len(self._order) > 0):
            self._finish()

    def _write_head(
        self,
        turn: response_order.Turn,
        response: messages.HttpResponse,
        others_left: bool,
    ) -> bool:
        """Write a response up to a streamed body; return whether others may follow.

        ``others_left`` says whether further requests were read.
        """
        request = turn.request
        keep_open = (
            request is not None and request.keep_alive and not response.close_delimited
        )
        if keep_open and self._server.stopping:
            # The requests that were read are answered, and no further one is read.
            self._reader.end_input()
            keep_open = others_left
        connection_headers: messages.Headers = []
        if keep_open:
            self._announced_idle_s = self._server.limits().idle_timeout_ms / 1000.0
            if self._announced_idle_s >= 1.0:
                value = b"timeout=%d" % int(self._announced_idle_s)
                connection_headers.append((b"keep-alive", value))
        else:
            connection_headers.append((b"connection", b"close"))
        if response.close_delimited and self._transport is not None:
            # The kernel would end the connection of a killed process in order, and
            # the part of the response that was sent would look complete.
            self.ends_with_connection = True
            disconnects.set_reset_on_close(self._transport, True)
        for_head_request = request is not None and request.method == b"HEAD"
        self._unread.write(
            *messages.split_response(response, connection_headers, for_head_request)
        )
        return keep_open

    def _release(self, turn: response_order.Turn) -> None:
        buffers = self._server.buffers
        buffers.release_complete(self._reader, turn.held_bytes)
        buffers.release_waiting(self._reader, turn.waiting_bytes)

    def _finish(self) -> None:
        """Close after the last response; what follows it counts as not read."""
        dropped = self._order.drop_all()
        self._closed = True
        for task in self._tasks:
            if task is not asyncio.current_task():
                task.cancel()
        for turn in dropped:
            self._release(turn)
        if dropped:
            events.emit(414, requests=len(dropped))
            self._server.pipelining.count_event("request.behind_close")
        self._reader.finish()

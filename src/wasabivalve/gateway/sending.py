"""Send a request to an instance and return its response."""

import asyncio
import functools
from collections.abc import Callable
from typing import NamedTuple

from wasabivalve import events, retries
from wasabivalve.placement import core as placement
from wasabivalve.slot_dispatch import messages as slot_messages

from . import (
    instance_responses,
    instance_selection,
    messages,
    pending_request,
    pool,
    reset_watch,
    response_stream,
    upstream_connection,
)

HEDGE_DELAY_FACTOR = 4.0
"""Multiple of the estimated time after which an attempt counts as silent."""


NOT_CONNECTED = instance_selection.SlotUse(slot_messages.SlotResult.NOT_CONNECTED)
EXCHANGE_FAILED = instance_selection.SlotUse(slot_messages.SlotResult.FAILED)
INSTANCE_FULL = instance_selection.SlotUse(slot_messages.SlotResult.FULL)


class SendResult(NamedTuple):
    """Hold the outcome of one send; ``timed_out`` if the deadline passed.

    ``is_refusal`` is true for a response that proves that the request was not run.
    ``is_full`` is true if the instance reset the connection because it was full.
    ``slot_use`` says what a dispatcher learns of the attempt.
    """

    outcome: upstream_connection.ExchangeResult | upstream_connection.NotSent
    timed_out: bool = False
    is_refusal: bool = False
    is_full: bool = False
    slot_use: instance_selection.SlotUse = instance_selection.UNUSED_SLOT


Attempt = asyncio.Task[messages.HttpResponse | None]


def when_received(attempt: Attempt, action: Callable[[], None]) -> None:
    """Call an action when a finished attempt has received its response to its end."""
    stream = _stream_of(attempt)
    if stream is None:
        action()
    else:
        stream.when_ended(lambda _: action())


def give_up(attempt: Attempt) -> None:
    """End an attempt whose response is not used."""
    attempt.cancel()
    stream = _stream_of(attempt) if attempt.done() else None
    if stream is not None:
        stream.abandon()


def _stream_of(attempt: Attempt) -> response_stream.ResponseStream | None:
    if attempt.cancelled() or attempt.exception() is not None:
        return None
    response = attempt.result()
    return None if response is None else response.stream


class Sender:
    """Send requests over pooled connections."""

    def __init__(
        self,
        header_format: messages.HeaderFormat,
        selector: instance_selection.InstanceSelector,
        connections: pool.ConnectionPool,
        resets: reset_watch.ResetWatch,
    ) -> None:
        self._header_format = header_format
        self._selector = selector
        self._pool = connections
        self._resets = resets

    async def send(
        self,
        pending: pending_request.PendingRequest,
        load: placement.InstanceLoad,
        requests_at_start: float,
        live_vm_count: int,
    ) -> SendResult:
        """Send a request; cancellation resets the connection to end the work on it.

        The caller has counted it in ``load.in_flight``, where its end is counted here;
        ``requests_at_start`` is how many requests the instance had before it.
        """
        loop = asyncio.get_running_loop()
        instance = load.instance
        started_at = loop.time()
        pending.steps.append(instance.id)
        connection: (
            upstream_connection.UpstreamConnection | upstream_connection.NotSent | None
        ) = None
        released = streaming = False
        try:
            max_open = max(
                2,
                int(
                    pool.PLANNED_CONNECTION_SHARE
                    * pending.service.max_connections
                    / max(1, live_vm_count)
                ),
            )
            connection = await self._pool.acquire(
                instance,
                pending.route.idempotent,
                max_open,
                pending.deadline_at - started_at,
                pending.request.header(self._header_format.request_id),
            )
            if (
                isinstance(connection, upstream_connection.UpstreamConnection)
                and not connection.usable
            ):
                # The event loop read the reset before this task went on.
                self._pool.discard(instance, connection)
                connection = upstream_connection.NotSent("connection reset", True)
            if isinstance(connection, upstream_connection.NotSent):
                released = True
                slot_use = instance_selection.UNUSED_SLOT
                is_full = connection.was_reset and self._resets.is_full(load)
                if is_full:
                    slot_use = INSTANCE_FULL
                elif connection.reason.startswith("connection"):
                    slot_use = NOT_CONNECTED
                return SendResult(connection, is_full=is_full, slot_use=slot_use)
            now = loop.time()
            if connection.opened_at >= started_at:
                load.round_trip_ms = 1000.0 * (now - started_at)
            if pending.deadline_at - now < pending_request.MIN_ATTEMPT_S:
                released = True
                self._pool.release(instance, connection)
                return SendResult(upstream_connection.NotSent("no time left"))
            if not self._selector.eligible.may_still_serve(pending, instance):
                released = True
                self._pool.release(instance, connection)
                return SendResult(upstream_connection.NotSent("not eligible any more"))
            pending.attempts += 1
            encoded_request_id = pending.request.header(self._header_format.request_id)
            exchange = connection.exchange(
                self._encode_head(pending, instance, now),
                (self._header_format.request_id, encoded_request_id)
                if encoded_request_id
                else None,
                pending.request.method == b"HEAD",
                pending.request.body,
                functools.partial(self._may_stream, pending.request),
            )
            try:
                async with asyncio.timeout_at(pending.deadline_at):
                    outcome = await exchange
            except TimeoutError:
                return SendResult(
                    upstream_connection.ExchangeFailed("no answer in time"),
                    True,
                    slot_use=EXCHANGE_FAILED,
                )
            is_refusal, slot_use = False, EXCHANGE_FAILED
            if isinstance(outcome, messages.HttpResponse):
                is_refusal = retries.proves_not_run(
                    retries.RefusalEvidence(
                        outcome.status,
                        outcome.header(self._header_format.not_run) is not None,
                        encoded_request_id,
                        outcome.header(self._header_format.request_id),
                        encoded_request_id in connection.refused_request_ids,
                        connection.exchange_count == 1,
                    )
                )
                if is_refusal and encoded_request_id is not None:
                    connection.on_refused(encoded_request_id)
                released = True
                if outcome.stream is None:
                    self._pool.release(instance, connection)
                slot_use = self._selector.record_response(
                    pending, load, outcome, started_at, requests_at_start
                )
                if outcome.stream is not None:
                    streaming = True
                    self._follow_stream(pending, load, connection, outcome.stream)
            elif outcome.was_reset and self._resets.is_full(load):
                return SendResult(outcome, is_full=True, slot_use=INSTANCE_FULL)
            return SendResult(outcome, is_refusal=is_refusal, slot_use=slot_use)
        finally:
            if not streaming:
                load.in_flight -= 1
            if not released and isinstance(
                connection, upstream_connection.UpstreamConnection
            ):
                self._pool.discard(instance, connection)
            if not streaming:
                self._selector.on_attempt_end(pending)

    def _may_stream(
        self, request: messages.HttpRequest, head: messages.HttpResponse
    ) -> bool:
        """Return whether a response may be passed on before it is complete."""
        return (
            request.may_stream is not None
            and 200 <= head.status < 300
            and not instance_responses.is_invalid(head, self._header_format)
            and (request.takes_chunks or head.header(b"content-length") is not None)
            and request.may_stream()
        )

    def _follow_stream(
        self,
        pending: pending_request.PendingRequest,
        load: placement.InstanceLoad,
        connection: upstream_connection.UpstreamConnection,
        stream: response_stream.ResponseStream,
    ) -> None:
        """Give up a stream at its deadline, and end its attempt when it ends."""
        loop = asyncio.get_running_loop()
        deadline = loop.call_at(
            pending.deadline_at, stream.break_off, "no end of the answer in time"
        )

        def on_end(end: response_stream.StreamEnd) -> None:
            deadline.cancel()
            load.in_flight -= 1
            if end == response_stream.StreamEnd.COMPLETE:
                self._pool.release(load.instance, connection)
            else:
                self._pool.discard(load.instance, connection)
            if end == response_stream.StreamEnd.BROKEN:
                events.emit(
                    400,
                    request=pending.request_id,
                    instance=load.instance.id,
                    reason=stream.reason,
                )
                if not stream.was_paused:
                    load.on_failure(1000.0 * loop.time(), connected=True)
                    self._pool.close_idle(load.instance)
            self._selector.on_attempt_end(pending)

        stream.when_ended(on_end)

    def hedge_delay_s(
        self, pending: pending_request.PendingRequest, estimate_ms: float
    ) -> float | None:
        """Return the time in s after which a silent attempt may get a second one.

        An instance at full capacity may never respond. None means that there is no
        second attempt: for requests that are not idempotent, and for keys, which have
        one holder.
        """
        if not pending.route.idempotent or pending.key is not None:
            return None
        time_left_ms = 1000.0 * (
            pending.deadline_at - asyncio.get_running_loop().time()
        )
        hedge_delay_ms = max(
            pending.route.target_latency_ms, HEDGE_DELAY_FACTOR * estimate_ms
        )
        # A target latency near the timeout must still leave time for a second attempt.
        max_delay_ms = max(2.0 * estimate_ms, 0.5 * time_left_ms)
        return max(0.0, min(time_left_ms, hedge_delay_ms, max_delay_ms)) / 1000.0

    def _encode_head(
        self,
        pending: pending_request.PendingRequest,
        instance: placement.RegisteredInstance,
        now: float,
    ) -> bytes:
        header_format = self._header_format
        replaced = (header_format.time_left, header_format.expected_instance)
        connection_tokens = {
            token.strip().lower()
            for name, value in pending.request.headers
            if name == b"connection"
            for token in value.split(b",")
        }
        headers = [
            (name, value)
            for name, value in pending.request.headers
            if name not in messages.UNFORWARDED_HEADERS
            and name not in replaced
            and name not in connection_tokens
        ]
        time_left_s = pending.deadline_at - now
        headers.append(
            (header_format.time_left, header_format.encode_time_left(time_left_s))
        )
        headers.append((header_format.expected_instance, instance.id.encode()))
        chunked = any(
            name == b"transfer-encoding" for name, _ in pending.request.headers
        )
        return messages.encode_request_head(
            pending.request.method,
            pending.request.target,
            headers,
            len(pending.request.body),
            chunked,
        )

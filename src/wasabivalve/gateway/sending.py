"""Send a request to an instance and take its answer."""

import asyncio
from typing import NamedTuple

from wasabivalve.placement import core as placement

from . import messages, pool, rooms, upstream_connection
from . import work as works

SILENCE_FACTOR = 4.0
"""Multiple of the estimate after which an attempt counts as silent."""


class Attempt(NamedTuple):
    """Hold the outcome of one send; ``timed_out`` if all the time was used."""

    outcome: upstream_connection.Outcome | upstream_connection.NotSent
    timed_out: bool = False


class Sender:
    """Send requests over kept connections."""

    def __init__(
        self, dialect: messages.Dialect, room: rooms.Rooms, connections: pool.Pool
    ) -> None:
        self._dialect = dialect
        self._rooms = room
        self._pool = connections

    async def send(
        self,
        work: works.Work,
        load: placement.InstanceLoad,
        live_vms: int,
    ) -> Attempt:
        """Send a request; when cancelled, the instance's work is ended."""
        loop = asyncio.get_running_loop()
        instance = load.instance
        started = loop.time()
        work.trail.append(instance.id)
        load_at_start = load.estimated_requests(1000.0 * started)
        load.in_flight += 1
        connection: (
            upstream_connection.UpstreamConnection | upstream_connection.NotSent | None
        ) = None
        ended = False
        try:
            most = max(
                2,
                int(
                    pool.CONNECTION_SHARE
                    * work.service.max_connections
                    / max(1, live_vms)
                ),
            )
            connection = await self._pool.take(
                instance, work.route.idempotent, most, work.end_at - started
            )
            if isinstance(connection, upstream_connection.NotSent):
                ended = True
                return Attempt(connection)
            now = loop.time()
            if connection.opened_at >= started:
                load.round_trip_ms = 1000.0 * (now - started)
            if work.end_at - now < works.LEAST_ATTEMPT_S:
                ended = True
                self._pool.give_back(instance, connection)
                return Attempt(upstream_connection.NotSent("no time left"))
            work.attempts += 1
            identity = work.request.header(self._dialect.request_id)
            exchange = connection.exchange(
                self._encode(work, instance, now),
                (self._dialect.request_id, identity) if identity else None,
                work.request.method == b"HEAD",
            )
            try:
                async with asyncio.timeout_at(work.end_at):
                    outcome = await exchange
            except TimeoutError:
                return Attempt(upstream_connection.Broken("no answer in time"), True)
            if isinstance(outcome, messages.Answer):
                ended = True
                self._pool.give_back(instance, connection)
                self._rooms.record_answer(work, load, outcome, started, load_at_start)
            return Attempt(outcome)
        finally:
            load.in_flight -= 1
            if not ended and isinstance(
                connection, upstream_connection.UpstreamConnection
            ):
                self._pool.discard(instance, connection)
            self._rooms.on_attempt_end(work)

    def patience_s(self, work: works.Work, estimate_ms: float) -> float | None:
        """Return how long an attempt may be silent until a second one may start.

        A full instance may never answer. None means that no other is asked: work that
        must not run twice, and keys, which have one holder.
        """
        if not work.route.idempotent or work.key is not None:
            return None
        left_ms = 1000.0 * (work.end_at - asyncio.get_running_loop().time())
        patience_ms = max(work.route.target_latency_ms, SILENCE_FACTOR * estimate_ms)
        # A target that is near the timeout must still leave time for another attempt.
        latest_ms = max(2.0 * estimate_ms, 0.5 * left_ms)
        return max(0.0, min(left_ms, patience_ms, latest_ms)) / 1000.0

    def _encode(
        self, work: works.Work, instance: placement.RegisteredInstance, now: float
    ) -> bytes:
        dialect = self._dialect
        own = (dialect.time_left, dialect.expected_instance)
        named = {
            token.strip().lower()
            for name, value in work.request.headers
            if name == b"connection"
            for token in value.split(b",")
        }
        headers = [
            (name, value)
            for name, value in work.request.headers
            if name not in messages.CONNECTION_HEADERS
            and name not in own
            and name not in named
        ]
        left = work.end_at - now
        headers.append((dialect.time_left, dialect.encode_time_left(left)))
        headers.append((dialect.expected_instance, instance.id.encode()))
        chunked = any(name == b"transfer-encoding" for name, _ in work.request.headers)
        return messages.encode_request(
            work.request.method,
            work.request.target,
            headers,
            work.request.body,
            chunked,
        )

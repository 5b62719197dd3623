"""Pool connections to instances for reuse."""

import asyncio
from typing import NamedTuple

from wasabivalve.placement import core as placement

from . import receiving, upstream_connection

CONNECT_TIMEOUT_S = 0.35
"""Time limit of a new connection; a round trip between regions takes 40 ms."""

MAX_IDLE_S = 4.0
"""Idle time after which connections are closed; instances do so after 5 s or more."""

KEEP_ALIVE_SHARE = 0.6
"""Share of an instance's announced idle timeout for which a connection is used."""

MAX_IDLE_NON_IDEMPOTENT_S = 0.5
"""Requests that must not run twice use only connections that were used just before."""

PLANNED_CONNECTION_SHARE = 0.85
"""Share of an instance's connection limit that all VMs together may use."""


class InstanceIncarnation(NamedTuple):
    """Identify one incarnation of an instance."""

    id: str
    born: int


class ConnectionPool:
    """Hold open connections by the incarnation of their instance."""

    def __init__(
        self, limits: receiving.MessageLimits, buffers: receiving.ReceiveBuffers
    ) -> None:
        self._limits = limits
        self._buffers = buffers
        self._idle_by_incarnation: dict[
            InstanceIncarnation, list[upstream_connection.UpstreamConnection]
        ] = {}
        self._open_count_by_incarnation: dict[InstanceIncarnation, int] = {}
        self.handshakes = 0

    async def acquire(
        self,
        instance: placement.RegisteredInstance,
        idempotent: bool,
        max_open: int,
        time_left_s: float,
        request_id: bytes | None,
    ) -> upstream_connection.UpstreamConnection | upstream_connection.NotSent:
        """Return an idle connection or a new one; ``max_open`` bounds the open ones.

        A connection over which the request was refused before is not used for it. A
        request without an id gets a new one, as its response can't be told from others.
        """
        incarnation = InstanceIncarnation(instance.id, instance.born)
        now = asyncio.get_running_loop().time()
        idle = self._idle_by_incarnation.get(incarnation, [])
        skipped: list[upstream_connection.UpstreamConnection] = []
        while idle and request_id is not None:
            connection = idle.pop()
            if connection.usable and request_id in connection.refused_request_ids:
                skipped.append(connection)
                continue
            idle_s = now - connection.idle_since
            if connection.usable and idle_s < self._max_idle_s(connection, idempotent):
                idle += skipped
                return connection
            self.discard(instance, connection)
        idle += skipped
        if self._open_count_by_incarnation.get(incarnation, 0) >= max_open:
            return upstream_connection.NotSent("all connections are in use")
        self._open_count_by_incarnation[incarnation] = (
            self._open_count_by_incarnation.get(incarnation, 0) + 1
        )
        self.handshakes += 1
        opened: upstream_connection.UpstreamConnection | upstream_connection.NotSent = (
            upstream_connection.NotSent("cancelled")
        )
        try:
            opened = await upstream_connection.connect(
                instance.host,
                instance.port,
                min(CONNECT_TIMEOUT_S, time_left_s),
                self._limits,
                self._buffers,
            )
        finally:
            if isinstance(opened, upstream_connection.NotSent):
                self._decrement_open(incarnation)
        return opened

    def release(
        self,
        instance: placement.RegisteredInstance,
        connection: upstream_connection.UpstreamConnection,
    ) -> None:
        """Return a connection to the pool after its exchange."""
        if not connection.usable:
            self.discard(instance, connection)
            return
        connection.end_exchange(asyncio.get_running_loop().time())
        incarnation = InstanceIncarnation(instance.id, instance.born)
        self._idle_by_incarnation.setdefault(incarnation, []).append(connection)

    def discard(
        self,
        instance: placement.RegisteredInstance,
        connection: upstream_connection.UpstreamConnection,
    ) -> None:
        """Reset a connection, which also ends the server's work on its request."""
        self._decrement_open(InstanceIncarnation(instance.id, instance.born))
        connection.abort()

    def close_idle(self, instance: placement.RegisteredInstance) -> None:
        """Close all idle connections to an incarnation of an instance."""
        incarnation = InstanceIncarnation(instance.id, instance.born)
        for connection in self._idle_by_incarnation.pop(incarnation, []):
            self._decrement_open(incarnation)
            connection.close()

    def close_expired(self, now: float) -> None:
        """Close the connections that were idle for too long."""
        for incarnation in list(self._idle_by_incarnation):
            remaining = []
            for connection in self._idle_by_incarnation[incarnation]:
                idle_s = now - connection.idle_since
                if connection.usable and idle_s < self._max_idle_s(connection, True):
                    remaining.append(connection)
                else:
                    self._decrement_open(incarnation)
                    connection.close()
            if remaining:
                self._idle_by_incarnation[incarnation] = remaining
            else:
                del self._idle_by_incarnation[incarnation]

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle_by_incarnation.values():
            for connection in idle:
                connection.close()
        self._idle_by_incarnation.clear()
        self._open_count_by_incarnation.clear()

    def _decrement_open(self, incarnation: InstanceIncarnation) -> None:
        open_count = self._open_count_by_incarnation.get(incarnation, 0) - 1
        if open_count > 0:
            self._open_count_by_incarnation[incarnation] = open_count
        else:
            self._open_count_by_incarnation.pop(incarnation, None)

    def _max_idle_s(
        self, connection: upstream_connection.UpstreamConnection, idempotent: bool
    ) -> float:
        announced_s = connection.keep_alive_s
        max_idle_s = MAX_IDLE_S
        if announced_s is not None:
            max_idle_s = min(max_idle_s, KEEP_ALIVE_SHARE * announced_s)
        return max_idle_s if idempotent else min(max_idle_s, MAX_IDLE_NON_IDEMPOTENT_S)

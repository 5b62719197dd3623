"""Keep connections to instances for reuse."""

import asyncio
from typing import NamedTuple

from wasabivalve.placement import core as placement

from . import upstream_connection

CONNECT_TIMEOUT_S = 0.35
"""Time for a new connection; a round trip between regions takes 40 ms."""

LONGEST_IDLE_S = 4.0
"""Idle connections are closed by then; instances close theirs after 5 s or more."""

KEEP_ALIVE_SHARE = 0.6
"""Share of the time that an instance states after which it is not trusted."""

UNSAFE_IDLE_S = 0.5
"""Work that must not run twice goes only on connections that were used just before."""

CONNECTION_SHARE = 0.85
"""Share of an instance's connections that all VMs together plan to use."""


class Life(NamedTuple):
    """Name one life of an instance."""

    id: str
    born: int


class Pool:
    """Hold open connections by the life of their instance."""

    def __init__(self) -> None:
        self._idle_by_life: dict[
            Life, list[upstream_connection.UpstreamConnection]
        ] = {}
        self._open_by_life: dict[Life, int] = {}
        self.handshakes = 0

    async def take(
        self,
        instance: placement.RegisteredInstance,
        idempotent: bool,
        most: int,
        time_left_s: float,
    ) -> upstream_connection.UpstreamConnection | upstream_connection.NotSent:
        """Return a kept connection or a new one; ``most`` bounds the open ones."""
        life = Life(instance.id, instance.born)
        now = asyncio.get_running_loop().time()
        idle = self._idle_by_life.get(life, [])
        while idle:
            connection = idle.pop()
            age = now - connection.idle_since
            if connection.usable and age < self._longest_idle(connection, idempotent):
                return connection
            self.discard(instance, connection)
        if self._open_by_life.get(life, 0) >= most:
            return upstream_connection.NotSent("all connections are in use")
        self._open_by_life[life] = self._open_by_life.get(life, 0) + 1
        self.handshakes += 1
        opened: upstream_connection.UpstreamConnection | upstream_connection.NotSent = (
            upstream_connection.NotSent("cancelled")
        )
        try:
            opened = await upstream_connection.connect(
                instance.host, instance.port, min(CONNECT_TIMEOUT_S, time_left_s)
            )
        finally:
            if isinstance(opened, upstream_connection.NotSent):
                self._forget(life)
        return opened

    def give_back(
        self,
        instance: placement.RegisteredInstance,
        connection: upstream_connection.UpstreamConnection,
    ) -> None:
        """Keep a connection whose exchange ended."""
        if not connection.usable:
            self.discard(instance, connection)
            return
        connection.end_exchange(asyncio.get_running_loop().time())
        life = Life(instance.id, instance.born)
        self._idle_by_life.setdefault(life, []).append(connection)

    def discard(
        self,
        instance: placement.RegisteredInstance,
        connection: upstream_connection.UpstreamConnection,
    ) -> None:
        """Reset a connection, which also ends work that the server does on it."""
        self._forget(Life(instance.id, instance.born))
        connection.abort()

    def close_idle(self, instance: placement.RegisteredInstance) -> None:
        """Close all idle connections to a life of an instance."""
        life = Life(instance.id, instance.born)
        for connection in self._idle_by_life.pop(life, []):
            self._forget(life)
            connection.close()

    def close_expired(self, now: float) -> None:
        """Close the connections that were idle for too long."""
        for life in list(self._idle_by_life):
            kept = []
            for connection in self._idle_by_life[life]:
                age = now - connection.idle_since
                if connection.usable and age < self._longest_idle(connection, True):
                    kept.append(connection)
                else:
                    self._forget(life)
                    connection.close()
            if kept:
                self._idle_by_life[life] = kept
            else:
                del self._idle_by_life[life]

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle_by_life.values():
            for connection in idle:
                connection.close()
        self._idle_by_life.clear()
        self._open_by_life.clear()

    def _forget(self, life: Life) -> None:
        left = self._open_by_life.get(life, 0) - 1
        if left > 0:
            self._open_by_life[life] = left
        else:
            self._open_by_life.pop(life, None)

    def _longest_idle(
        self, connection: upstream_connection.UpstreamConnection, idempotent: bool
    ) -> float:
        stated = connection.keep_alive_s
        longest = LONGEST_IDLE_S
        if stated is not None:
            longest = min(longest, KEEP_ALIVE_SHARE * stated)
        return longest if idempotent else min(longest, UNSAFE_IDLE_S)

"""Pass on a response while it is read, in bounded memory.

Nothing here depends on a network: the connection to the instance feeds a stream, and
the connection of the caller reads it.
"""

import asyncio
import enum
from collections import deque
from collections.abc import Callable

from . import receiving

STREAM_FROM_BYTES = 128 * receiving.KIB
"""Size of a body from which on it is passed on before it is complete.

Up to this size a request with a broken response can be retried. Most large responses
have 90 KB, and at 5 Mbit/s this size takes 0.2 s.
"""

MAX_UNREAD_BYTES = 64 * receiving.KIB
"""Bytes of a stream that wait for its caller before reading from the instance pauses.

At 5 Mbit/s they last for 0.1 s, longer than the instance takes to send on.
"""


class StreamEnd(enum.Enum):
    """Say how a stream ended: received whole, cut, or no longer wanted."""

    COMPLETE = enum.auto()
    BROKEN = enum.auto()
    ABANDONED = enum.auto()


EndCallback = Callable[[StreamEnd], None]


class ResponseStream:
    """Hold the part of a body that was received and not yet passed on.

    ``body_bytes`` is the announced size of the body, or None if it comes in chunks.
    ``end`` is set when nothing more will be received; ``reason`` says why it broke, and
    ``was_paused`` whether its caller has held it up.
    """

    def __init__(
        self,
        body_bytes: int | None,
        buffers: receiving.ReceiveBuffers | None,
        pause: Callable[[], None],
        resume: Callable[[], None],
    ) -> None:
        self.body_bytes = body_bytes
        self.end: StreamEnd | None = None
        self.reason = ""
        self.was_paused = False
        self._buffers = buffers
        self._pause = pause
        self._resume = resume
        self._paused = False
        self._pieces: deque[bytes] = deque()
        self._unread_bytes = 0
        self._changed = asyncio.Event()
        self._end_callbacks: list[EndCallback] = []

    def feed(self, data: bytes) -> None:
        """Append received bytes, and pause reading if too many of them are unread."""
        if self.end is not None:
            return
        self._pieces.append(data)
        self._unread_bytes += len(data)
        if self._buffers is not None:
            self._buffers.add_waiting(self, len(data))
        if self._unread_bytes >= MAX_UNREAD_BYTES and not self._paused:
            self._paused = self.was_paused = True
            self._pause()
        self._changed.set()

    def finish(self) -> None:
        """Record that the whole body was received."""
        self._set_end(StreamEnd.COMPLETE)

    def break_off(self, reason: str) -> None:
        """Record that the rest of the body will not arrive, and drop what is unread."""
        if self.end is None:
            self.reason = reason
            self._drop()
        self._set_end(StreamEnd.BROKEN)

    def abandon(self) -> None:
        """Drop what is unread, as the caller has left or another response is used."""
        self._drop()
        self._set_end(StreamEnd.ABANDONED)

    def when_ended(self, callback: EndCallback) -> None:
        """Call back when nothing more will be received; at once if that is so."""
        if self.end is not None:
            callback(self.end)
        else:
            self._end_callbacks.append(callback)

    async def read(self) -> bytes | None:
        """Return the next bytes, or None if no more come.

        ``end`` then says whether these were all.
        """
        while not self._pieces and self.end is None:
            self._changed.clear()
            await self._changed.wait()
        if not self._pieces:
            return None
        data = self._pieces.popleft()
        self._unread_bytes -= len(data)
        if self._buffers is not None:
            self._buffers.release_waiting(self, len(data))
        if self._paused and self._unread_bytes < MAX_UNREAD_BYTES // 2:
            self._paused = False
            if self.end is None:
                self._resume()
        return data

    def on_evicted(self) -> None:
        """Do nothing: bytes of a stream are not given up."""

    def _drop(self) -> None:
        self._pieces.clear()
        self._unread_bytes = 0
        if self._buffers is not None:
            self._buffers.release(self)

    def _set_end(self, end: StreamEnd) -> None:
        if self.end is not None:
            return
        self.end = end
        self._changed.set()
        callbacks, self._end_callbacks = self._end_callbacks, []
        for callback in callbacks:
            callback(end)

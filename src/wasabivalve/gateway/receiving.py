"""Bound what peers may send, for one message and for all connections of a process.

A faulty peer may send bytes without end. Messages are buffered until they are complete,
because a request that may run twice can then be retried and no partial response looks
complete, so the buffers need bounds.
"""

from typing import NamedTuple, Protocol

KIB = 1024
MIB = 1024 * 1024

FRAMING_BYTES_PER_BODY_BYTE = 8
"""Allowance for the framing of a short chunked body; one-byte chunks need five."""

SHORT_BODY_BYTES = 16 * KIB
"""Part of a body up to which any framing is allowed; beyond it one byte per byte.

Parsing tiny chunks without end would take all processor time.
"""

READ_BYTES = 16 * KIB
"""Bytes read at once from a connection, so that others are read in between."""


def framing_allowance(body_bytes: int) -> int:
    """Return how many bytes the framing of a chunked body may have."""
    short_bytes = min(body_bytes, SHORT_BODY_BYTES)
    return FRAMING_BYTES_PER_BODY_BYTE * short_bytes + body_bytes - short_bytes


class MessageLimits(NamedTuple):
    """Bound the responses to one request; sizes in bytes.

    ``overhead_bytes`` bounds all that is no body: heads, trailers, interim responses
    and the extensions of chunks.
    """

    overhead_bytes: int = 64 * KIB
    header_fields: int = 256
    interim_responses: int = 8
    body_bytes: int = 32 * MIB


DEFAULT_LIMITS = MessageLimits()

INTERNAL_LIMITS = MessageLimits(body_bytes=8 * MIB)
"""Limits of the store and of other VMs, whose documents have up to a few hundred KB."""


class Receiver(Protocol):
    """Receive a message that can be given up before it is complete."""

    def on_evicted(self) -> None:
        """Give up the incomplete message and release its bytes."""


class ReceiveBuffers:
    """Count the bytes of the messages that connections hold, and limit their sum.

    When the sum exceeds the limit, the largest incomplete message is given up: it is
    most likely the one that never ends, and small ones are not affected.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.total_bytes = 0
        self.evictions = 0
        self._bytes_by_incomplete: dict[Receiver, int] = {}
        self._bytes_by_complete: dict[Receiver, int] = {}

    def add(self, receiver: Receiver, byte_count: int) -> None:
        """Count received bytes; this may evict any receiver, also this one."""
        held_bytes = self._bytes_by_incomplete.get(receiver, 0) + byte_count
        self._bytes_by_incomplete[receiver] = held_bytes
        self.total_bytes += byte_count
        self._evict_incomplete()

    def add_complete(self, receiver: Receiver, byte_count: int) -> None:
        """Count a complete message; this may evict any incomplete one."""
        held_bytes = self._bytes_by_complete.get(receiver, 0) + byte_count
        self._bytes_by_complete[receiver] = held_bytes
        self.total_bytes += byte_count
        self._evict_incomplete()

    def _evict_incomplete(self) -> None:
        while self.total_bytes > self.limit_bytes and self._bytes_by_incomplete:
            largest = max(
                self._bytes_by_incomplete, key=self._bytes_by_incomplete.__getitem__
            )
            self.evictions += 1
            largest.on_evicted()
            self.release_incomplete(largest)

    def keep_complete(self, receiver: Receiver) -> int:
        """Count a message as complete: it is in use and can't be given up.

        Return how many bytes it is counted with.
        """
        held_bytes = self._bytes_by_incomplete.pop(receiver, 0)
        if held_bytes:
            self._bytes_by_complete[receiver] = (
                self._bytes_by_complete.get(receiver, 0) + held_bytes
            )
        return held_bytes

    def release_incomplete(self, receiver: Receiver) -> None:
        """Stop counting the incomplete message of a receiver."""
        self.total_bytes -= self._bytes_by_incomplete.pop(receiver, 0)

    def release(self, receiver: Receiver) -> None:
        """Stop counting all messages of a receiver."""
        self.release_incomplete(receiver)
        self.release_complete(receiver)

    def release_complete(
        self, receiver: Receiver, byte_count: int | None = None
    ) -> None:
        """Stop counting all complete messages of a receiver, or some of their bytes."""
        held_bytes = self._bytes_by_complete.pop(receiver, 0)
        released_bytes = held_bytes if byte_count is None else byte_count
        self.total_bytes -= released_bytes
        if held_bytes > released_bytes:
            self._bytes_by_complete[receiver] = held_bytes - released_bytes

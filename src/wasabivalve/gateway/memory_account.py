"""Account for the memory that a process holds for callers and instances.

An entry is what holding a message costs, not what was received: a header field of four
bytes takes more than a hundred. What is dropped when the account is full is decided
here; the connections tell what they hold and drop it.
"""

from collections.abc import Callable
from typing import Protocol

from . import allocator, read_pace

FIELD_BYTES = 150
"""Memory of a header field beside its bytes, on CPython 3.11.

A tuple and its garbage collector header take 72 bytes, two empty bytes objects 66, a
slot of the list 8.
"""

COMPLETE_SHARE = 0.75
"""Share of the account that complete requests may take; the rest is for responses.

Without it, the responses to requests that are in use find no room, and a request that
has run is lost.
"""


MAX_WAITING_SHARE = 0.75
"""Share of the account that responses may take before no further request is forwarded.

The rest is left to the responses to requests that are already in progress.
"""


def field_cost(name: bytes, value: bytes) -> int:
    """Return the bytes of memory that a header field takes."""
    return FIELD_BYTES + len(name) + len(value)


class Receiver(Protocol):
    """Receive a message that can be given up before it is complete."""

    def on_evicted(self) -> None:
        """Give up the incomplete message and release its bytes."""


class Writer(Protocol):
    """Write messages to a peer that may not read them."""

    def held_bytes(self) -> int:
        """Return the memory of what waits to be written."""

    def on_unwritten_evicted(self) -> None:
        """Close the connection and release the bytes that wait to be written."""


class ReceiveBuffers:
    """Count the memory that connections hold, and limit its sum.

    When the sum exceeds the limit, the largest incomplete message is given up: it is
    most likely the one that never ends, and small ones are not affected. A message that
    its peer has not read to the end counts as incomplete too.
    """

    def __init__(self, limit_bytes: int) -> None:
        # Memory that was freed but kept would be held beside the account.
        allocator.return_large_blocks()
        self.limit_bytes = limit_bytes
        self.total_bytes = 0
        self.evictions = 0
        self.unread_evictions = 0
        self.waiting_bytes = 0
        self.pace = read_pace.ReadPace()
        self._complete_bytes = 0
        self._bytes_by_incomplete: dict[Receiver, int] = {}
        self._bytes_by_complete: dict[Receiver, int] = {}
        self._bytes_by_waiting: dict[Receiver, int] = {}
        self._bytes_by_writer: dict[Writer, int] = {}

    def report(self, gauge: Callable[[str, float], None]) -> None:
        """Set the gauges of the account."""
        gauge("buffer.bytes", self.total_bytes)
        gauge("buffer.limit", self.limit_bytes)
        gauge("buffer.evicted", self.evictions)
        gauge("buffer.unread_evicted", self.unread_evictions)

    def add(self, receiver: Receiver, byte_count: int) -> None:
        """Count memory of an incomplete message; may evict any, also this one."""
        held_bytes = self._bytes_by_incomplete.get(receiver, 0) + byte_count
        self._bytes_by_incomplete[receiver] = held_bytes
        self.total_bytes += byte_count
        self._evict()

    def add_complete(self, receiver: Receiver, byte_count: int) -> None:
        """Count a complete message; this may evict any incomplete one."""
        held_bytes = self._bytes_by_complete.get(receiver, 0) + byte_count
        self._bytes_by_complete[receiver] = held_bytes
        self._complete_bytes += byte_count
        self.total_bytes += byte_count
        self._evict()

    @property
    def is_filled(self) -> bool:
        """Return whether responses that wait for callers leave too little room."""
        return self.waiting_bytes > MAX_WAITING_SHARE * self.limit_bytes

    def add_waiting(self, receiver: Receiver, byte_count: int) -> None:
        """Count bytes that wait for their caller; they are not given up any more.

        This may evict any incomplete message.
        """
        held_bytes = self._bytes_by_waiting.get(receiver, 0) + byte_count
        self._bytes_by_waiting[receiver] = held_bytes
        self.waiting_bytes += byte_count
        self.total_bytes += byte_count
        self._evict()

    def release_waiting(self, receiver: Receiver, byte_count: int) -> None:
        """Stop counting bytes that were passed on or dropped."""
        held_bytes = self._bytes_by_waiting.pop(receiver, 0)
        released_bytes = min(held_bytes, byte_count)
        self.waiting_bytes -= released_bytes
        self.total_bytes -= released_bytes
        if held_bytes > released_bytes:
            self._bytes_by_waiting[receiver] = held_bytes - released_bytes

    def set_unwritten(self, writer: Writer, byte_count: int) -> None:
        """Set the memory of what a peer has to read; may evict any, also this."""
        self.total_bytes += byte_count - self._bytes_by_writer.pop(writer, 0)
        if byte_count:
            self._bytes_by_writer[writer] = byte_count
        self._evict()

    def has_room(self, byte_count: int) -> bool:
        """Return whether memory can be held without giving anything up."""
        if self.total_bytes + byte_count > self.limit_bytes:
            self._update_unwritten()
        return self.total_bytes + byte_count <= self.limit_bytes

    def has_room_for_complete(self, receiver: Receiver) -> bool:
        """Return whether the message of a receiver may be kept while it is in use.

        A message that is the only one has room.
        """
        held_bytes = self._bytes_by_incomplete.get(receiver, 0) + self._complete_bytes
        return not self._complete_bytes or (
            held_bytes <= COMPLETE_SHARE * self.limit_bytes
        )

    def keep_complete(self, receiver: Receiver) -> int:
        """Count a message as complete: it is in use and can't be given up.

        Return how many bytes it is counted with.
        """
        held_bytes = self._bytes_by_incomplete.pop(receiver, 0)
        if held_bytes:
            self._complete_bytes += held_bytes
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
        self.release_waiting(receiver, self._bytes_by_waiting.get(receiver, 0))

    def release_complete(
        self, receiver: Receiver, byte_count: int | None = None
    ) -> None:
        """Stop counting all complete messages of a receiver, or some of their bytes."""
        held_bytes = self._bytes_by_complete.pop(receiver, 0)
        released_bytes = (
            held_bytes if byte_count is None else min(held_bytes, byte_count)
        )
        self._complete_bytes -= released_bytes
        self.total_bytes -= released_bytes
        if held_bytes > released_bytes:
            self._bytes_by_complete[receiver] = held_bytes - released_bytes

    def release_unwritten(self, writer: Writer) -> None:
        """Stop counting the bytes that wait to be written."""
        self.total_bytes -= self._bytes_by_writer.pop(writer, 0)

    def _evict(self) -> None:
        if self.total_bytes <= self.limit_bytes:
            return
        self._update_unwritten()
        while self.total_bytes > self.limit_bytes:
            if not self._evict_largest():
                return

    def _update_unwritten(self) -> None:
        # Peers have read since, without any call.
        for writer in list(self._bytes_by_writer):
            self.release_unwritten(writer)
            if held_bytes := writer.held_bytes():
                self._bytes_by_writer[writer] = held_bytes
                self.total_bytes += held_bytes

    def _evict_largest(self) -> bool:
        incomplete = max(
            self._bytes_by_incomplete,
            key=self._bytes_by_incomplete.__getitem__,
            default=None,
        )
        writer = max(
            self._bytes_by_writer, key=self._bytes_by_writer.__getitem__, default=None
        )
        incomplete_bytes = (
            0 if incomplete is None else self._bytes_by_incomplete[incomplete]
        )
        # The bytes are released first: what drops them may write a refusal, which is
        # counted in its turn.
        if writer is not None and self._bytes_by_writer[writer] >= incomplete_bytes:
            self.unread_evictions += 1
            self.release_unwritten(writer)
            writer.on_unwritten_evicted()
            return True
        if incomplete is None:
            return False
        self.evictions += 1
        self.release_incomplete(incomplete)
        incomplete.on_evicted()
        return True

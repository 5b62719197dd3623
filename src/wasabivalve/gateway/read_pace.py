"""Decide how long a connection that sends tiny pieces is not read or parsed."""

MAX_PIECES_PER_READ = 256
"""Pieces of a body in one read of 16 KiB up to which reading goes on at once.

Chunks of 64 bytes stay below it. One-byte chunks come in 2,700 pieces.
"""

SECONDS_PER_PIECE = 2e-6
"""Time in s for which nothing is read for each piece; parsing one takes 0.5 us.

A quarter of a processor then parses tiny chunks, whatever the number of connections.
"""

MAX_UNPACED_LINES = 256
"""Lines of a head up to which it is parsed at once; most requests have below 30."""

SECONDS_PER_LINE = 8e-6
"""Time in s for which no other long head is parsed, for each line of one.

Parsing a line and forwarding it takes up to 2 us, so that long heads take a quarter of
a processor, whatever the number of connections.
"""

MAX_LINE_WAIT_S = 1.0
"""Longest wait in s of a long head; a request that would wait longer is refused."""


class ReadPace:
    """Share out the time for tiny pieces among all connections of a process."""

    def __init__(self) -> None:
        self._free_at = 0.0
        self._long_heads_free_at = 0.0

    def pause_s(self, now: float, pieces: int) -> float:
        """Return for how long in s a connection is not read after a read.

        ``now`` is in s of the event loop's clock, ``pieces`` is what the read had.
        """
        if pieces <= MAX_PIECES_PER_READ:
            return 0.0
        self._free_at = max(self._free_at, now) + pieces * SECONDS_PER_PIECE
        return self._free_at - now

    def head_wait_s(
        self, now: float, earlier_lines: int, new_lines: int
    ) -> float | None:
        """Return for how long in s the new lines of a head wait until they are parsed.

        None means that too many others wait.
        """
        if earlier_lines + new_lines <= MAX_UNPACED_LINES:
            return 0.0
        begin_at = max(self._long_heads_free_at, now)
        if begin_at > now + MAX_LINE_WAIT_S:
            return None
        self._long_heads_free_at = begin_at + new_lines * SECONDS_PER_LINE
        return begin_at - now

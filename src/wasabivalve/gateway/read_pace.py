"""Decide how long a connection that sends tiny pieces is not read."""

MAX_PIECES_PER_READ = 256
"""Pieces of a body in one read of 16 KiB up to which reading goes on at once.

Chunks of 64 bytes stay below it. One-byte chunks come in 2,700 pieces.
"""

SECONDS_PER_PIECE = 2e-6
"""Time in s for which nothing is read for each piece; parsing one takes 0.5 us.

A quarter of a processor then parses tiny chunks, whatever the number of connections.
"""


class ReadPace:
    """Share out the time for tiny pieces among all connections of a process."""

    def __init__(self) -> None:
        self._free_at = 0.0

    def pause_s(self, now: float, pieces: int) -> float:
        """Return for how long in s a connection is not read after a read.

        ``now`` is in s of the event loop's clock, ``pieces`` is what the read had.
        """
        if pieces <= MAX_PIECES_PER_READ:
            return 0.0
        self._free_at = max(self._free_at, now) + pieces * SECONDS_PER_PIECE
        return self._free_at - now

"""Write log lines without blocking and within a bound of volume."""

import os
from collections.abc import Callable

MAX_LINES_PER_S = 150.0
"""Lines that a process writes over time; more cost more than they tell."""

MAX_BURST_LINES = 600.0
"""Lines that may come at once after a quiet time."""


class RateLimitedStream:
    """Write lines to a descriptor; those left out are counted and reported."""

    def __init__(self, descriptor: int, clock: Callable[[], float]) -> None:
        self._descriptor = descriptor
        self._clock = clock
        self._tokens = MAX_BURST_LINES
        self._filled_at = clock()
        self._left_out = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Write one line, or leave it out if too many came or the reader is slow."""
        now = self._clock()
        gained = (now - self._filled_at) * MAX_LINES_PER_S
        self._tokens = min(MAX_BURST_LINES, self._tokens + gained)
        self._filled_at = now
        if self._tokens < 1.0:
            self._left_out += 1
            return
        self._tokens -= 1.0
        if self._left_out:
            text = f"WV0007 log lines were left out count={self._left_out}\n{text}"
        try:
            os.write(self._descriptor, text.encode())
        except BlockingIOError:
            self._left_out += 1
            return
        self._left_out = 0

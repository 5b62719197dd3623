"""Write log lines without blocking, at a limited rate."""

import os
from collections.abc import Callable

MAX_LINES_PER_S = 150.0
"""Sustained rate; lines above it cost more than their information is worth."""

MAX_BURST_LINES = 600.0
"""Lines written at once after an idle time: the size of the token bucket."""


class RateLimitedStream:
    """Write lines to a descriptor, limited by a token bucket.

    Dropped lines are counted and reported before the next line written.
    """

    def __init__(self, descriptor: int, clock: Callable[[], float]) -> None:
        self._descriptor = descriptor
        self._clock = clock
        self._tokens = MAX_BURST_LINES
        self._refilled_at_s = clock()
        self._dropped_lines = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Write a line, or drop it above the rate limit or when the reader is slow."""
        now_s = self._clock()
        new_tokens = (now_s - self._refilled_at_s) * MAX_LINES_PER_S
        self._tokens = min(MAX_BURST_LINES, self._tokens + new_tokens)
        self._refilled_at_s = now_s
        if self._tokens < 1.0:
            self._dropped_lines += 1
            return
        self._tokens -= 1.0
        if self._dropped_lines:
            text = f"WV0007 log lines were dropped count={self._dropped_lines}\n{text}"
        try:
            os.write(self._descriptor, text.encode())
        except BlockingIOError:
            self._dropped_lines += 1
            return
        self._dropped_lines = 0

"""Limit the retries of a service in a sliding window, on each VM independently."""

from collections import deque

SAFETY_FACTOR = 0.8
"""Share of the limit that is used, as a restarted VM has lost its counts."""


class RetryWindow:
    """Limit retries to a share of the requests of a window plus an allowance.

    The limit holds for all VMs together: each uses the share of its own requests and
    an equal part of the allowance, so that VMs need not exchange their counts.
    """

    def __init__(self, window_ms: float, share: float, allowance: float) -> None:
        self._window_ms = window_ms
        self._share = share
        self._allowance = allowance
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def on_request(self, now: float) -> None:
        """Record a request."""
        self._requests.append(now)
        self._expire(now)

    def try_acquire(self, vm_count: int, now: float) -> bool:
        """Take one retry; return False if this VM has none left of its part."""
        self._expire(now)
        limit = self._share * len(self._requests) + self._allowance / max(1, vm_count)
        if len(self._retries) + 1 > SAFETY_FACTOR * limit:
            return False
        self._retries.append(now)
        return True

    def _expire(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now - self._window_ms:
                times.popleft()

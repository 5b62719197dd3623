"""Bound the repeats of a service in every span of time, on each VM by itself."""

from collections import deque

SAFETY_FACTOR = 0.8
"""Share of the bound that is used, since VMs that start again forget what they sent."""


class RetryWindow:
    """Allow repeats up to a share of the requests of a window plus an allowance.

    The bound holds for all VMs together: each spends the share of its own requests
    and its part of the allowance, so that no VM needs to hear from another.
    """

    def __init__(self, window_ms: float, share: float, allowance: float) -> None:
        self._window_ms = window_ms
        self._share = share
        self._allowance = allowance
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def on_request(self, now: float) -> None:
        """Count a request."""
        self._requests.append(now)
        self._expire(now)

    def try_acquire(self, vms: int, now: float) -> bool:
        """Take one repeat if the window has one left for one of this many VMs."""
        self._expire(now)
        limit = self._share * len(self._requests) + self._allowance / max(1, vms)
        if len(self._repeats) + 1 > SAFETY_FACTOR * limit:
            return False
        self._repeats.append(now)
        return True

    def _expire(self, now: float) -> None:
        for times in (self._requests, self._repeats):
            while times and times[0] <= now - self._window_ms:
                times.popleft()

"""Limit the retries of a service in a sliding window, on each VM independently."""

from collections import deque

SAFETY_FACTOR = 0.8
"""Share of the limit that is used; the rest is kept for VMs that were restarted."""

FIRST_WINDOW_SHARE = 1.0 - SAFETY_FACTOR
"""Share of the allowance that a VM uses in its first window.

Before a restart it may have used the rest in the same window, and has lost the count.
"""


class RetryWindow:
    """Limit retries to a share of the requests of a window plus an allowance.

    The limit holds for all VMs together: each uses the share of its own requests and
    an equal part of the allowance, so that VMs need not exchange their counts.
    ``started_at`` is when this VM started; all times are in ms.
    """

    def __init__(
        self, window_ms: float, share: float, allowance: float, started_at: float
    ) -> None:
        self._window_ms = window_ms
        self._started_at = started_at
        self._share = share
        self._allowance = allowance
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def on_request(self, now: float) -> None:
        """Record a request."""
        self._requests.append(now)
        self._expire(now)

    def try_acquire(self, vm_count: int, now: float) -> bool:
        """Take one retry; return False if this VM has none left of its part.

        While ``vm_count`` is 0, the number of VMs is not known yet.
        """
        self._expire(now)
        allowance_share = SAFETY_FACTOR
        if now < self._started_at + self._window_ms:
            allowance_share = FIRST_WINDOW_SHARE
        limit = SAFETY_FACTOR * self._share * len(self._requests)
        if vm_count > 0:
            limit += allowance_share * self._allowance / vm_count
        if len(self._retries) + 1 > limit:
            return False
        self._retries.append(now)
        return True

    def _expire(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now - self._window_ms:
                times.popleft()

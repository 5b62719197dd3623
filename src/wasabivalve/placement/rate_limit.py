"""Keep the requests to one instance within a rate."""

import math

MAX_SAVED_S = 0.5
"""Time for which unused permission is saved, so that requests may come unevenly."""


class RateLimiter:
    """Hand out permission for requests at a rate; times in ms.

    It starts with ``saved`` of one permission. A VM that has just started may have used
    its share already, so that this is less than 1. Permission that ``lapses`` ends
    ``MAX_SAVED_S`` after it was gained: each of many VMs with a small part of a rate
    would otherwise save one, and all of them could use it in the same second.
    """

    def __init__(
        self, rate_per_s: float, now: float, saved: float = 0.0, lapses: bool = False
    ) -> None:
        self.lapses = lapses
        self._rate_per_ms = rate_per_s / 1000.0
        self._saved = saved
        self._updated_at = now

    def set_rate(self, rate_per_s: float, now: float) -> None:
        """Change the rate; what is saved stays."""
        self._update(now)
        self._rate_per_ms = rate_per_s / 1000.0

    def wait_ms(self, requests_ahead: int, now: float) -> float:
        """Return the time until a request behind others may go, infinite at rate 0."""
        self._update(now)
        missing = requests_ahead + 1.0 - self._saved
        if missing <= 0.0:
            return 0.0
        return missing / self._rate_per_ms if self._rate_per_ms > 0.0 else math.inf

    def take(self, now: float) -> None:
        """Use permission for one request."""
        self._update(now)
        self._saved -= 1.0

    def _update(self, now: float) -> None:
        gained = self._rate_per_ms * max(0.0, now - self._updated_at)
        max_saved = 1000.0 * MAX_SAVED_S * self._rate_per_ms
        self._saved += gained
        if self.lapses and max_saved < 1.0:
            if self._saved >= 1.0 + max_saved:
                self._saved -= math.floor(self._saved - max_saved)
        else:
            self._saved = min(max(1.0, max_saved), self._saved)
        self._updated_at = now

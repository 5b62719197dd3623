"""Average the load of ranges and keys over a short time."""

from collections.abc import Hashable
from typing import Generic, TypeVar

Name = TypeVar("Name", bound=Hashable)


class LoadMeter(Generic[Name]):
    """Hold rates in requests per second, averaged with a half-time.

    A server's own reports are not needed: routers count the requests they send.
    """

    def __init__(self, half_time_ms: float, forget_below: float = 0.01):
        """Start empty; rates below ``forget_below`` per second are dropped."""
        self._half_time_ms = half_time_ms
        self._forget_below = forget_below
        self._rate_by_name: dict[Name, float] = {}

    def add(self, requests_by_name: dict[Name, float], interval_ms: float) -> None:
        """Take in the requests counted in one interval."""
        kept = 0.5 ** (interval_ms / self._half_time_ms)
        rates = self._rate_by_name
        for name in rates.keys() | requests_by_name.keys():
            rate = 1000.0 * requests_by_name.get(name, 0.0) / interval_ms
            # A new name starts at its first rate, not at zero.
            rates[name] = kept * rates.get(name, rate) + (1.0 - kept) * rate
        for name in [one for one in rates if rates[one] < self._forget_below]:
            del rates[name]

    @property
    def rate_by_name(self) -> dict[Name, float]:
        """Return a copy of the rates."""
        return dict(self._rate_by_name)

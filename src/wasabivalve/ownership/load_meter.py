"""Average the request rates of ranges and keys over time."""

from collections.abc import Hashable
from typing import Generic, TypeVar

Item = TypeVar("Item", bound=Hashable)


class LoadMeter(Generic[Item]):
    """Hold rates in requests per second as exponential moving averages.

    Routers count the requests that they send; servers need not report any load.
    """

    def __init__(self, half_life_ms: float, min_rate: float = 0.01):
        """Start empty; rates below ``min_rate`` requests per second are removed."""
        self._half_life_ms = half_life_ms
        self._min_rate = min_rate
        self._rate_by_name: dict[Item, float] = {}

    def add(self, requests_by_name: dict[Item, float], interval_ms: float) -> None:
        """Add the requests counted in one interval."""
        old_weight = 0.5 ** (interval_ms / self._half_life_ms)
        rates = self._rate_by_name
        for name in rates.keys() | requests_by_name.keys():
            rate = 1000.0 * requests_by_name.get(name, 0.0) / interval_ms
            # The average of a new name starts at its first rate instead of zero.
            rates[name] = old_weight * rates.get(name, rate) + (1.0 - old_weight) * rate
        for name in [name for name in rates if rates[name] < self._min_rate]:
            del rates[name]

    @property
    def rate_by_name(self) -> dict[Item, float]:
        """Return a copy of the rates."""
        return dict(self._rate_by_name)

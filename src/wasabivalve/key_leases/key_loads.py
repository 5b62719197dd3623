"""Count requests by key, the newest most."""

import bisect
import itertools
import math
from collections.abc import Iterable, Mapping

from . import core

HALF_TIME_MS = 1_000.0
"""Busy keys change within seconds; a shorter time would follow chance."""

LEAST_COUNT = 0.05
"""Decayed counts below this are forgotten."""

EVEN_SHARE = 0.03
"""Share of the load that is spread over all keys, for keys not yet seen."""


class LoadProfile:
    """Hold the requests per second of ranges of keys."""

    def __init__(self, rate_by_key: Mapping[int, float]) -> None:
        self._keys = sorted(rate_by_key)
        rates = (rate_by_key[key] for key in self._keys)
        self._sums = [0.0, *itertools.accumulate(rates)]
        self._even = (EVEN_SHARE * self._sums[-1] + 1.0) / core.KEYS

    @property
    def total(self) -> float:
        """Return the requests per second for all keys."""
        return self.range_load(0, core.KEYS - 1)

    def range_load(self, first: int, last: int) -> float:
        """Return the requests per second for the keys from first to last."""
        front = bisect.bisect_left(self._keys, first)
        back = bisect.bisect_right(self._keys, last)
        seen = self._sums[back] - self._sums[front]
        return seen + self._even * (last - first + 1)

    def hottest(self, ranges: Iterable[core.RangeAssignment]) -> tuple[int, float]:
        """Return the busiest key of the ranges and its rate; -1 where none was seen."""
        best = (-1, 0.0)
        for one in ranges:
            front = bisect.bisect_left(self._keys, one.first)
            back = bisect.bisect_right(self._keys, one.last)
            for index in range(front, back):
                rate = self._sums[index + 1] - self._sums[index]
                if rate > best[1]:
                    best = (self._keys[index], rate)
        return best

    def split(self, first: int, last: int, wanted: float) -> int:
        """Return the last key of the longest front part with at most this load.

        The part has at least one key.
        """
        low, high = first, last
        while low < high:
            middle = (low + high + 1) // 2
            if self.range_load(first, middle) <= wanted:
                low = middle
            else:
                high = middle - 1
        return low


class KeyLoads:
    """Hold decaying counts of requests by service and key; ``now`` in ms."""

    def __init__(self) -> None:
        self._counts_by_service: dict[str, dict[int, float]] = {}
        self._started_at_by_service: dict[str, float] = {}
        self._decayed_at_by_service: dict[str, float] = {}
        self._unreported_by_service: dict[str, dict[int, int]] = {}

    def count_request(self, service: str, key: int, now: float) -> None:
        """Count a request for a key."""
        if not 0 <= key < core.KEYS:
            return
        counts = self._counts(service, now)
        counts[key] = counts.get(key, 0.0) + 1.0
        unreported = self._unreported_by_service.setdefault(service, {})
        unreported[key] = unreported.get(key, 0) + 1

    def take_unreported(self) -> dict[str, dict[int, int]]:
        """Return the counts by service and key since the last call."""
        taken, self._unreported_by_service = self._unreported_by_service, {}
        return taken

    def on_report(
        self, counts_by_service: dict[str, dict[int, int]], now: float
    ) -> None:
        """Add the counts of another VM."""
        for service, count_by_key in counts_by_service.items():
            counts = self._counts(service, now)
            for key, count in count_by_key.items():
                if 0 <= key < core.KEYS:
                    counts[key] = counts.get(key, 0.0) + count

    def profile(self, service: str, now: float) -> LoadProfile:
        """Return the requests per second by key."""
        counts = self._counts(service, now)
        passed = now - self._decayed_at_by_service[service]
        if passed > 0.0:
            factor = 0.5 ** (passed / HALF_TIME_MS)
            decayed = {key: count * factor for key, count in counts.items()}
            counts = {
                key: count for key, count in decayed.items() if count > LEAST_COUNT
            }
            self._counts_by_service[service] = counts
            self._decayed_at_by_service[service] = now
        # Shortly after the first request the counts hold less than a full window.
        age = max(HALF_TIME_MS / 4.0, now - self._started_at_by_service[service])
        filled = 1.0 - 0.5 ** (age / HALF_TIME_MS)
        per_count = math.log(2.0) / (HALF_TIME_MS / 1000.0) / filled
        return LoadProfile({key: n * per_count for key, n in counts.items()})

    def _counts(self, service: str, now: float) -> dict[int, float]:
        counts = self._counts_by_service.get(service)
        if counts is None:
            counts = self._counts_by_service[service] = {}
            self._started_at_by_service[service] = now
            self._decayed_at_by_service[service] = now
        return counts

"""Count requests by key with an exponential decay."""

import bisect
import itertools
import math
from collections.abc import Iterable, Mapping

from . import core

HALF_LIFE_MS = 1_000.0
"""Hot keys change within seconds; a shorter half-life would follow random noise."""

MIN_COUNT = 0.05
"""Decayed counts below this are discarded."""

UNIFORM_SHARE = 0.03
"""Share of the load that is added evenly over all keys, for keys not yet seen."""


class LoadProfile:
    """Hold the requests per second by key and sum them over ranges."""

    def __init__(self, rate_by_key: Mapping[int, float]) -> None:
        self._keys = sorted(rate_by_key)
        rates = (rate_by_key[key] for key in self._keys)
        self._cumulative_rates = [0.0, *itertools.accumulate(rates)]
        self._uniform_rate_per_key = (
            UNIFORM_SHARE * self._cumulative_rates[-1] + 1.0
        ) / core.KEY_COUNT

    @property
    def total_rate(self) -> float:
        """Return the requests per second for all keys."""
        return self.range_rate(0, core.KEY_COUNT - 1)

    def range_rate(self, first: int, last: int) -> float:
        """Return the requests per second for the keys from first to last."""
        start = bisect.bisect_left(self._keys, first)
        end = bisect.bisect_right(self._keys, last)
        counted_rate = self._cumulative_rates[end] - self._cumulative_rates[start]
        return counted_rate + self._uniform_rate_per_key * (last - first + 1)

    def find_hottest_key(
        self, ranges: Iterable[core.RangeAssignment]
    ) -> tuple[int, float]:
        """Return the hottest key of the ranges and its requests per second.

        The key is -1 if no request for the ranges was counted.
        """
        hottest = (-1, 0.0)
        for assignment in ranges:
            start = bisect.bisect_left(self._keys, assignment.first)
            end = bisect.bisect_right(self._keys, assignment.last)
            for index in range(start, end):
                rate = self._cumulative_rates[index + 1] - self._cumulative_rates[index]
                if rate > hottest[1]:
                    hottest = (self._keys[index], rate)
        return hottest

    def find_split_key(self, first: int, last: int, max_rate: float) -> int:
        """Return the last key of the longest part from first within a request rate.

        The part has at least one key, even if that one exceeds the rate.
        """
        low, high = first, last
        while low < high:
            middle = (low + high + 1) // 2
            if self.range_rate(first, middle) <= max_rate:
                low = middle
            else:
                high = middle - 1
        return low


class KeyLoads:
    """Hold decaying counts of requests by service and key."""

    def __init__(self) -> None:
        self._counts_by_service: dict[str, dict[int, float]] = {}
        self._started_at_ms_by_service: dict[str, float] = {}
        self._decayed_at_ms_by_service: dict[str, float] = {}
        self._unreported_by_service: dict[str, dict[int, int]] = {}

    def count_request(self, service: str, key: int, now_ms: float) -> None:
        """Count a request for a key."""
        if not 0 <= key < core.KEY_COUNT:
            return
        count_by_key = self._find_or_add_counts(service, now_ms)
        count_by_key[key] = count_by_key.get(key, 0.0) + 1.0
        unreported = self._unreported_by_service.setdefault(service, {})
        unreported[key] = unreported.get(key, 0) + 1

    def take_unreported(self) -> dict[str, dict[int, int]]:
        """Return and reset the counts by service and key since the last call."""
        unreported, self._unreported_by_service = self._unreported_by_service, {}
        return unreported

    def on_report(
        self, counts_by_service: dict[str, dict[int, int]], now_ms: float
    ) -> None:
        """Add the counts that another VM reported."""
        for service, reported_counts in counts_by_service.items():
            count_by_key = self._find_or_add_counts(service, now_ms)
            for key, count in reported_counts.items():
                if 0 <= key < core.KEY_COUNT:
                    count_by_key[key] = count_by_key.get(key, 0.0) + count

    def profile(self, service: str, now_ms: float) -> LoadProfile:
        """Return the requests per second by key."""
        count_by_key = self._find_or_add_counts(service, now_ms)
        elapsed_ms = now_ms - self._decayed_at_ms_by_service[service]
        if elapsed_ms > 0.0:
            factor = 0.5 ** (elapsed_ms / HALF_LIFE_MS)
            decayed = {key: count * factor for key, count in count_by_key.items()}
            count_by_key = {
                key: count for key, count in decayed.items() if count > MIN_COUNT
            }
            self._counts_by_service[service] = count_by_key
            self._decayed_at_ms_by_service[service] = now_ms
        # Shortly after the first request the counts cover less than a full window.
        age_ms = max(
            HALF_LIFE_MS / 4.0, now_ms - self._started_at_ms_by_service[service]
        )
        covered_share = 1.0 - 0.5 ** (age_ms / HALF_LIFE_MS)
        rate_per_count = math.log(2.0) / (HALF_LIFE_MS / 1000.0) / covered_share
        return LoadProfile(
            {key: count * rate_per_count for key, count in count_by_key.items()}
        )

    def _find_or_add_counts(self, service: str, now_ms: float) -> dict[int, float]:
        count_by_key = self._counts_by_service.get(service)
        if count_by_key is None:
            count_by_key = self._counts_by_service[service] = {}
            self._started_at_ms_by_service[service] = now_ms
            self._decayed_at_ms_by_service[service] = now_ms
        return count_by_key

"""Count requests by key with an exponential decay."""

import bisect
import itertools
import math
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from . import core

HALF_LIFE_MS = 1_000.0
"""Hot keys change within seconds; a shorter half-life would follow random noise."""

RECENT_HALF_LIFE_MS = 400.0
"""Half-life of the counts by which hot keys are limited.

A key becomes hot within a second, and its holder is flooded until that is known.
"""

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

    def find_keys_above(self, min_rate: float) -> dict[int, float]:
        """Return the keys with at least this many requests per second, and theirs."""
        rates = (high - low for low, high in itertools.pairwise(self._cumulative_rates))
        return {
            key: rate
            for key, rate in zip(self._keys, rates, strict=True)
            if rate >= min_rate
        }

    def key_rate(self, key: int) -> float:
        """Return the counted requests per second for one key."""
        index = bisect.bisect_left(self._keys, key)
        if index == len(self._keys) or self._keys[index] != key:
            return 0.0
        return self._cumulative_rates[index + 1] - self._cumulative_rates[index]

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


class _DecayingCounts:
    """Hold exponentially decaying counts of the requests of one service by key."""

    def __init__(self, half_life_ms: float, now_ms: float) -> None:
        self._half_life_ms = half_life_ms
        self._count_by_key: dict[int, float] = {}
        self._started_at_ms = self._decayed_at_ms = now_ms

    def add(self, key: int, count: float) -> None:
        """Add requests for a key."""
        self._count_by_key[key] = self._count_by_key.get(key, 0.0) + count

    def profile(self, now_ms: float) -> LoadProfile:
        """Return the requests per second by key."""
        elapsed_ms = now_ms - self._decayed_at_ms
        if elapsed_ms > 0.0:
            factor = 0.5 ** (elapsed_ms / self._half_life_ms)
            min_count = MIN_COUNT / factor
            self._count_by_key = {
                key: count * factor
                for key, count in self._count_by_key.items()
                if count > min_count
            }
            self._decayed_at_ms = now_ms
        # Shortly after the first request the counts cover less than a full window.
        age_ms = max(self._half_life_ms / 4.0, now_ms - self._started_at_ms)
        covered_share = 1.0 - 0.5 ** (age_ms / self._half_life_ms)
        rate_per_count = math.log(2.0) / (self._half_life_ms / 1000.0) / covered_share
        return LoadProfile(
            {key: count * rate_per_count for key, count in self._count_by_key.items()}
        )


class ServiceLoads(NamedTuple):
    """Hold the requests per second of a service by key.

    ``recent`` follows changes faster than ``smooth``, with more noise.
    """

    smooth: LoadProfile
    recent: LoadProfile


class KeyLoads:
    """Hold decaying counts of requests by service and key."""

    def __init__(self) -> None:
        self._smooth_by_service: dict[str, _DecayingCounts] = {}
        self._recent_by_service: dict[str, _DecayingCounts] = {}
        self._unreported_by_service: dict[str, dict[int, int]] = {}

    def count_request(self, service: str, key: int, now_ms: float) -> None:
        """Count a request for a key."""
        if not 0 <= key < core.KEY_COUNT:
            return
        self._add(service, {key: 1}, now_ms)
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
            self._add(service, reported_counts, now_ms)

    def profile(self, service: str, now_ms: float) -> LoadProfile:
        """Return the requests per second by key, averaged over about a second."""
        self._start(service, now_ms)
        return self._smooth_by_service[service].profile(now_ms)

    def service_loads(self, service: str, now_ms: float) -> ServiceLoads:
        """Return the smooth and the recent requests per second by key."""
        smooth = self.profile(service, now_ms)
        return ServiceLoads(smooth, self._recent_by_service[service].profile(now_ms))

    def _add(
        self, service: str, count_by_key: Mapping[int, int], now_ms: float
    ) -> None:
        self._start(service, now_ms)
        for key, count in count_by_key.items():
            if 0 <= key < core.KEY_COUNT:
                self._smooth_by_service[service].add(key, count)
                self._recent_by_service[service].add(key, count)

    def _start(self, service: str, now_ms: float) -> None:
        if service not in self._smooth_by_service:
            self._smooth_by_service[service] = _DecayingCounts(HALF_LIFE_MS, now_ms)
            self._recent_by_service[service] = _DecayingCounts(
                RECENT_HALF_LIFE_MS, now_ms
            )

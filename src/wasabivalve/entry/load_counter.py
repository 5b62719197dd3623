"""Count requests by key range and by hot key for the shard balancer."""

import bisect
import threading
from collections.abc import Collection, Sequence

from wasabivalve import ownership
from wasabivalve.ownership import hot_keys
from wasabivalve.schema import messages_generated

from . import clock


class LoadCounter:
    """Count the requests of one shard on one VM; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._range_starts: Sequence[int] = (0,)
        self._exception_keys: frozenset[str] = frozenset()
        self._requests_by_start: dict[int, float] = {}
        self._requests_by_key: dict[str, float] = {}
        self._sketch = ownership.SpaceSaving(now=clock.monotonic_ms())
        self._reported_hot_keys: tuple[ownership.HotKey, ...] = ()

    def set_ranges(
        self, range_starts: Sequence[int], exception_keys: Collection[str]
    ) -> None:
        """Set the starts of the ranges and the keys that are assigned individually."""
        with self._lock:
            self._range_starts = tuple(range_starts) or (0,)
            self._exception_keys = frozenset(exception_keys)

    def add(self, key: str) -> None:
        """Count one request of a key."""
        with self._lock:
            self._sketch.add(key)
            if key in self._exception_keys:
                self._add_to_key(key, 1.0)
            else:
                self._add_to_range(key, 1.0)

    def take_report(self, shard: str) -> messages_generated.LoadReport:
        """Return the requests since the last call and reset the counts.

        A hot key is counted as a key and not with its range, so that the balancer
        can move it individually.
        """
        with self._lock:
            self._separate_hot_keys()
            report: messages_generated.LoadReport = {
                "shard": shard,
                "ranges": [
                    {"start": start, "requests": max(0.0, requests)}
                    for start, requests in self._requests_by_start.items()
                ],
                "keys": [
                    {"key": key, "requests": requests}
                    for key, requests in self._requests_by_key.items()
                ],
            }
            self._requests_by_start = {}
            self._requests_by_key = {}
            return report

    def _separate_hot_keys(self) -> None:
        hottest_keys = self._sketch.hottest(hot_keys.DEFAULT_COUNTERS)
        for key, requests in ownership.hot_keys.increments(
            self._reported_hot_keys, hottest_keys
        ).items():
            if key not in self._exception_keys and requests > 0:
                self._add_to_key(key, requests)
                self._add_to_range(key, -requests)
        total_before = self._sketch.total
        self._sketch.advance(clock.monotonic_ms())
        factor = self._sketch.total / total_before if total_before else 1.0
        self._reported_hot_keys = tuple(
            ownership.HotKey(
                hot_key.key, hot_key.requests * factor, hot_key.error * factor
            )
            for hot_key in hottest_keys
        )

    def _add_to_key(self, key: str, requests: float) -> None:
        count = self._requests_by_key.get(key, 0.0)
        self._requests_by_key[key] = count + requests

    def _add_to_range(self, key: str, requests: float) -> None:
        position = ownership.position_of_key(key)
        index = max(0, bisect.bisect_right(self._range_starts, position) - 1)
        start = self._range_starts[index]
        count = self._requests_by_start.get(start, 0.0)
        self._requests_by_start[start] = count + requests

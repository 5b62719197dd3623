"""Find the keys with the most requests in bounded memory."""

import heapq
from collections.abc import Iterable
from typing import NamedTuple

DEFAULT_COUNTERS = 256
HALVING_INTERVAL_MS = 30_000.0
# A longer key, in characters, counts only towards the total; this limits memory.
MAX_KEY_LENGTH = 1024


class HotKey(NamedTuple):
    """Hold the count of requests of a key and how much it may be too high."""

    key: str
    requests: float
    error: float


class SpaceSaving:
    """Count the requests of the hottest keys by the Space-Saving algorithm.

    A key with more than ``total / counters`` requests always has a counter. A sketch
    is not thread-safe; ``merge`` combines those of several threads or VMs.
    """

    def __init__(self, counters: int = DEFAULT_COUNTERS, now: float = 0.0):
        """Start empty; the first halving interval starts at ``now`` in milliseconds."""
        if counters < 1:
            raise ValueError(f"counters must be positive, not {counters}")
        self._counters = counters
        self._count_by_key: dict[str, float] = {}
        self._error_by_key: dict[str, float] = {}
        # One entry per counted key with its present count or an earlier, lower one.
        self._heap: list[tuple[float, str]] = []
        self._halved_at = now
        self._inherited_untracked_count = 0.0
        self.total = 0.0

    def __len__(self) -> int:
        """Return the number of counters in use."""
        return len(self._count_by_key)

    def add(self, key: str, amount: float = 1.0) -> None:
        """Count requests of a key."""
        self.total += amount
        count = self._count_by_key.get(key)
        if count is not None:
            self._count_by_key[key] = count + amount
        elif len(key) <= MAX_KEY_LENGTH:
            self._add_new(key, amount)

    def advance(self, now: float) -> None:
        """Halve all counts once per 30 s that have passed; ``now`` in milliseconds."""
        periods = int((now - self._halved_at) // HALVING_INTERVAL_MS)
        if periods > 0:
            self._scale(0.5**periods)
            self._halved_at += periods * HALVING_INTERVAL_MS

    def hottest(self, number: int) -> tuple[HotKey, ...]:
        """Return the keys with the highest counts, highest first."""
        keys = heapq.nsmallest(
            number, self._count_by_key, key=lambda key: (-self._count_by_key[key], key)
        )
        return tuple(
            HotKey(key, self._count_by_key[key], self._error_by_key[key])
            for key in keys
        )

    def max_untracked_count(self) -> float:
        """Return the highest possible count of a key without a counter."""
        if len(self._count_by_key) < self._counters:
            return self._inherited_untracked_count
        return max(self._inherited_untracked_count, self._lowest_counter()[0])

    def _add_new(self, key: str, amount: float) -> None:
        error = self.max_untracked_count()
        if len(self._count_by_key) >= self._counters:
            evicted = self._lowest_counter()[1]
            heapq.heapreplace(self._heap, (error + amount, key))
            del self._count_by_key[evicted]
            del self._error_by_key[evicted]
        else:
            heapq.heappush(self._heap, (error + amount, key))
        self._count_by_key[key] = error + amount
        self._error_by_key[key] = error

    def _lowest_counter(self) -> tuple[float, str]:
        while True:
            count, key = self._heap[0]
            current = self._count_by_key[key]
            if current == count:
                return count, key
            heapq.heapreplace(self._heap, (current, key))

    def _scale(self, factor: float) -> None:
        self.total *= factor
        self._inherited_untracked_count *= factor
        for key in self._count_by_key:
            self._count_by_key[key] *= factor
            self._error_by_key[key] *= factor
        self._heap = [(count, key) for key, count in self._count_by_key.items()]
        heapq.heapify(self._heap)

    def _load(
        self, entries: Iterable[HotKey], total: float, max_untracked_count: float
    ) -> None:
        for entry in entries:
            self._count_by_key[entry.key] = entry.requests
            self._error_by_key[entry.key] = entry.error
        self.total = total
        self._inherited_untracked_count = max_untracked_count
        self._scale(1.0)


def increments(
    earlier: Iterable[HotKey], later: Iterable[HotKey], halvings: int = 0
) -> dict[str, float]:
    """Return a lower bound of the requests per key between two reports of a sketch.

    ``halvings`` is how often the sketch was halved between the reports.
    """
    min_requests_before = {
        entry.key: (entry.requests - entry.error) * 0.5**halvings for entry in earlier
    }
    return {
        entry.key: max(
            0.0, entry.requests - entry.error - min_requests_before.get(entry.key, 0.0)
        )
        for entry in later
    }


def restore(
    entries: Iterable[HotKey],
    total: float,
    max_untracked_count: float,
    counters: int = DEFAULT_COUNTERS,
    now: float = 0.0,
) -> SpaceSaving:
    """Return a sketch with the reported entries, total and highest uncounted count."""
    sketch = SpaceSaving(counters, now)
    highest = heapq.nlargest(counters, entries, key=lambda entry: entry.requests)
    sketch._load(highest, total, max_untracked_count)
    return sketch


def merge(
    sketches: Iterable[SpaceSaving], counters: int = DEFAULT_COUNTERS, now: float = 0.0
) -> SpaceSaving:
    """Return a sketch of the requests of all sketches.

    A key without a counter in a sketch may have had up to the lowest count there.
    """
    all_sketches = list(sketches)
    max_untracked_counts = [sketch.max_untracked_count() for sketch in all_sketches]
    keys = {key for sketch in all_sketches for key in sketch._count_by_key}
    entries = []
    for key in keys:
        count = error = 0.0
        for sketch, max_untracked_count in zip(
            all_sketches, max_untracked_counts, strict=True
        ):
            count += sketch._count_by_key.get(key, max_untracked_count)
            error += sketch._error_by_key.get(key, max_untracked_count)
        entries.append(HotKey(key, count, error))
    total = sum(sketch.total for sketch in all_sketches)
    return restore(entries, total, sum(max_untracked_counts), counters, now)

"""Find the keys with the highest load in bounded memory."""

import heapq
from collections.abc import Iterable
from typing import NamedTuple

DEFAULT_COUNTERS = 256
HALVING_MS = 30_000.0
# A longer key is counted in the total only, which bounds the memory of a sketch.
LONGEST_KEY = 1024


class HotKey(NamedTuple):
    """Give the requests counted for a key and by how much that may be too high."""

    key: str
    requests: float
    error: float


class SpaceSaving:
    """Count the requests of the hottest keys with a fixed number of counters.

    A key that has more than ``total / counters`` requests is never missed. An
    instance serves one thread; ``merge`` joins those of threads and VMs.
    """

    def __init__(self, counters: int = DEFAULT_COUNTERS, now: float = 0.0):
        """Start empty; ``now`` is in milliseconds and starts the halving period."""
        if counters < 1:
            raise ValueError(f"counters must be positive, not {counters}")
        self._counters = counters
        self._count_by_key: dict[str, float] = {}
        self._error_by_key: dict[str, float] = {}
        # One entry for each counted key, with its count or an older, lower one.
        self._heap: list[tuple[float, str]] = []
        self._halved_at = now
        self._least_floor = 0.0
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
        elif len(key) <= LONGEST_KEY:
            self._add_new(key, amount)

    def advance(self, now: float) -> None:
        """Halve all counts once for each 30 s that have passed."""
        periods = int((now - self._halved_at) // HALVING_MS)
        if periods > 0:
            self._scale(0.5**periods)
            self._halved_at += periods * HALVING_MS

    def hottest(self, number: int) -> tuple[HotKey, ...]:
        """Return the keys with the highest counts, the highest first."""
        keys = heapq.nsmallest(
            number, self._count_by_key, key=lambda key: (-self._count_by_key[key], key)
        )
        return tuple(
            HotKey(key, self._count_by_key[key], self._error_by_key[key])
            for key in keys
        )

    def floor(self) -> float:
        """Return the highest count that a key without a counter can have."""
        if len(self._count_by_key) < self._counters:
            return self._least_floor
        return max(self._least_floor, self._lowest()[0])

    def _add_new(self, key: str, amount: float) -> None:
        error = self.floor()
        if len(self._count_by_key) >= self._counters:
            evicted = self._lowest()[1]
            heapq.heapreplace(self._heap, (error + amount, key))
            del self._count_by_key[evicted]
            del self._error_by_key[evicted]
        else:
            heapq.heappush(self._heap, (error + amount, key))
        self._count_by_key[key] = error + amount
        self._error_by_key[key] = error

    def _lowest(self) -> tuple[float, str]:
        while True:
            count, key = self._heap[0]
            current = self._count_by_key[key]
            if current == count:
                return count, key
            heapq.heapreplace(self._heap, (current, key))

    def _scale(self, factor: float) -> None:
        self.total *= factor
        self._least_floor *= factor
        for key in self._count_by_key:
            self._count_by_key[key] *= factor
            self._error_by_key[key] *= factor
        self._heap = [(count, key) for key, count in self._count_by_key.items()]
        heapq.heapify(self._heap)

    def _load(self, entries: Iterable[HotKey], total: float, floor: float) -> None:
        for entry in entries:
            self._count_by_key[entry.key] = entry.requests
            self._error_by_key[entry.key] = entry.error
        self.total = total
        self._least_floor = floor
        self._scale(1.0)


def increments(
    earlier: Iterable[HotKey], later: Iterable[HotKey], halvings: int = 0
) -> dict[str, float]:
    """Return the requests that certainly came between two reports of a sketch.

    ``halvings`` is how often the sketch was halved between them.
    """
    certain = {
        entry.key: (entry.requests - entry.error) * 0.5**halvings for entry in earlier
    }
    return {
        entry.key: max(0.0, entry.requests - entry.error - certain.get(entry.key, 0.0))
        for entry in later
    }


def restore(
    entries: Iterable[HotKey],
    total: float,
    floor: float,
    counters: int = DEFAULT_COUNTERS,
    now: float = 0.0,
) -> SpaceSaving:
    """Return a sketch with these entries, total and floor, as a peer reports them."""
    sketch = SpaceSaving(counters, now)
    highest = heapq.nlargest(counters, entries, key=lambda entry: entry.requests)
    sketch._load(highest, total, floor)
    return sketch


def merge(
    sketches: Iterable[SpaceSaving], counters: int = DEFAULT_COUNTERS, now: float = 0.0
) -> SpaceSaving:
    """Return a sketch of the requests of all sketches.

    A key without a counter in one of them may have had up to its lowest count there.
    """
    parts = list(sketches)
    floors = [part.floor() for part in parts]
    keys = {key for part in parts for key in part._count_by_key}
    entries = []
    for key in keys:
        count = error = 0.0
        for part, floor in zip(parts, floors, strict=True):
            count += part._count_by_key.get(key, floor)
            error += part._error_by_key.get(key, floor)
        entries.append(HotKey(key, count, error))
    total = sum(part.total for part in parts)
    return restore(entries, total, sum(floors), counters, now)

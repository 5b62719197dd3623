"""Map ranges of keys to values."""

from typing import NamedTuple


class Span(NamedTuple):
    """Hold the value of the keys from ``first`` to ``last``."""

    first: int
    last: int
    value: float


class RangeMap:
    """Hold a value for each key of some ranges."""

    def __init__(self) -> None:
        self.spans: list[Span] = []

    def put(self, first: int, last: int, value: float) -> None:
        """Set the value of a range."""
        kept = []
        for span in self.spans:
            if span.first < first:
                kept.append(span._replace(last=min(span.last, first - 1)))
            if span.last > last:
                kept.append(span._replace(first=max(span.first, last + 1)))
        kept = [span for span in kept if span.first <= span.last]
        self.spans = sorted([*kept, Span(first, last, value)])

    def get(self, key: int, default: float) -> float:
        """Return the value of a key."""
        for span in self.spans:
            if span.first <= key <= span.last:
                return span.value
        return default

    def highest(self, first: int, last: int, default: float) -> float:
        """Return the highest value in a range."""
        return max(
            (s.value for s in self.spans if s.first <= last and first <= s.last),
            default=default,
        )


def overlap(first: RangeMap, second: RangeMap, above: float) -> list[tuple[int, int]]:
    """Return the ranges for which both maps hold a value above a limit."""
    result = []
    for one in first.spans:
        for other in second.spans:
            low, high = max(one.first, other.first), min(one.last, other.last)
            if low <= high and min(one.value, other.value) > above:
                result.append((low, high))
    return result

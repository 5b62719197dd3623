"""Count requests by neighbouring keys, the newest most."""

from collections.abc import Sequence

from . import core, planning

HALF_TIME_MS = 4_000.0
"""Busy keys change within seconds; a shorter time would follow chance."""


class KeyLoads:
    """Hold decaying counts of requests by service and bucket of keys."""

    def __init__(self) -> None:
        self._counts_by_service: dict[str, list[float]] = {}
        self._decayed_at_by_service: dict[str, float] = {}

    def on_key(self, service: str, key: int, now: float) -> None:
        """Count a request for a key; ``now`` in ms."""
        if not 0 <= key < core.KEYS:
            return
        counts = self._counts_by_service.get(service)
        if counts is None:
            counts = self._counts_by_service[service] = [0.0] * planning.BUCKETS
            self._decayed_at_by_service[service] = now
        counts[key // planning.BUCKET_KEYS] += 1.0

    def by_bucket(self, service: str, now: float) -> Sequence[float]:
        """Return the decayed counts."""
        counts = self._counts_by_service.get(service)
        if counts is None:
            return [0.0] * planning.BUCKETS
        passed = now - self._decayed_at_by_service[service]
        if passed > HALF_TIME_MS / 8.0:
            factor = 0.5 ** (passed / HALF_TIME_MS)
            counts[:] = [count * factor for count in counts]
            self._decayed_at_by_service[service] = now
        return counts

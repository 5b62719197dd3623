"""Account slot time by rank over a sliding window."""

import heapq
import math

WINDOW_MS = 1_000.0
"""Length of the sliding window over which floors are counted."""

EWMA_WEIGHT = 0.1
"""Weight of the newest duration in the expected duration."""


class SlotUse:
    """Hold the slot time and the expected duration of one rank."""

    def __init__(self) -> None:
        self.backlogged_since: float | None = None
        # Ended uses by start, all of them at or after the start of the period.
        self._ended: list[tuple[float, float]] = []
        self._ended_ms = 0.0
        # Ends of uses that began before the period and ended in it.
        self._straddling: list[float] = []
        self._period_start = -math.inf
        self._started_by_permit: dict[str, float] = {}
        self._duration_ms = 0.0
        self._measured_at: float | None = None

    def start(self, permit_id: str, now: float) -> None:
        """Count a slot as used from now on."""
        self._started_by_permit[permit_id] = now

    def end(self, permit_id: str, now: float, *, record_duration: bool) -> None:
        """Count a slot as free, and use its duration as a measurement."""
        started = self._started_by_permit.pop(permit_id)
        heapq.heappush(self._ended, (started, now))
        self._ended_ms += now - started
        self._advance(now - WINDOW_MS)
        if record_duration:
            self._measure(now - started, now)

    def expected_ms(self, now: float) -> float:
        """Return the expected duration in ms, 0 without a recent measurement.

        An old measurement is dropped, because one that is too high refuses
        every request and so prevents the measurement that would correct it.
        """
        if self._measured_at is None or now - self._measured_at > WINDOW_MS:
            return 0.0
        return self._duration_ms

    def used_ms(self, since: float, now: float) -> float:
        """Return the slot time used since a time, which must never go back.

        A permit in use counts with its expected duration at least, so that
        two slots that become free together do not both go to the same rank.
        """
        self._advance(since)
        ended = self._ended_ms + sum(end - since for end in self._straddling)
        expected = self.expected_ms(now)
        running = sum(
            max(now - max(start, since), expected)
            for start in self._started_by_permit.values()
        )
        return ended + running

    def deficit_ms(self, floor_slots: float, now: float) -> float | None:
        """Return how far the rank is below its floor, or None when it is not.

        The floor accrues only while requests of the rank wait, at most over one
        window. The rank is served as soon as it lacks anything, so that its use
        varies from the floor upwards, except right after it began to wait: a
        single request of a lower rank does not go before all others.
        """
        if self.backlogged_since is None or floor_slots <= 0.0:
            return None
        waited = now - self.backlogged_since
        if waited < min(self.expected_ms(now), WINDOW_MS):
            return None
        since = now - min(waited, WINDOW_MS)
        missing = floor_slots * (now - since) - self.used_ms(since, now)
        return missing if missing > 0.0 else None

    def _advance(self, start: float) -> None:
        """Move the start of the period, so that its sum needs no search."""
        self._period_start = max(self._period_start, start)
        while self._ended and self._ended[0][0] < self._period_start:
            started, ended = heapq.heappop(self._ended)
            self._ended_ms -= ended - started
            self._straddling.append(ended)
        self._straddling = [end for end in self._straddling if end > self._period_start]
        if not self._ended:
            # Ends the accumulated rounding error.
            self._ended_ms = 0.0

    def _measure(self, duration_ms: float, now: float) -> None:
        if self._measured_at is None or now - self._measured_at > WINDOW_MS:
            self._duration_ms = duration_ms
        else:
            self._duration_ms += EWMA_WEIGHT * (duration_ms - self._duration_ms)
        self._measured_at = now

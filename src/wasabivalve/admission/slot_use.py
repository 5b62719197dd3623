"""Account the slot time of a rank over a sliding window."""

import heapq
import math

WINDOW_MS = 1_000.0
"""Length of the sliding window over which floors are enforced."""

DURATION_WEIGHT = 0.1
"""Weight of the newest duration in the moving average of durations."""


class SlotUse:
    """Hold the slot time and the expected duration of one rank, in ms."""

    def __init__(self) -> None:
        self.backlogged_since: float | None = None
        # Heap of (start, end) of the ended uses that began within the period.
        self._ended_uses: list[tuple[float, float]] = []
        self._ended_use_ms = 0.0
        # Ends of the uses that began before the period and ended within it.
        self._overlapping_ends: list[float] = []
        self._period_start = -math.inf
        self._start_by_permit_id: dict[str, float] = {}
        self._mean_duration_ms = 0.0
        self._measured_at: float | None = None

    def start(self, permit_id: str, now: float) -> None:
        """Record that a permit occupies a slot from now on."""
        self._start_by_permit_id[permit_id] = now

    def end(self, permit_id: str, now: float, *, record_duration: bool) -> None:
        """Record that a slot is free, and optionally the duration of its use."""
        started = self._start_by_permit_id.pop(permit_id)
        heapq.heappush(self._ended_uses, (started, now))
        self._ended_use_ms += now - started
        self._advance_period(now - WINDOW_MS)
        if record_duration:
            self._record_duration(now - started, now)

    def expected_duration_ms(self, now: float) -> float:
        """Return the expected duration in ms, 0 without a recent measurement.

        Old measurements are ignored: one that is too high leads to the refusal of
        every request, and so to no measurement that would correct it.
        """
        if self._measured_at is None or now - self._measured_at > WINDOW_MS:
            return 0.0
        return self._mean_duration_ms

    def used_ms(self, since: float, now: float) -> float:
        """Return the slot time in ms used since a time that never decreases.

        A permit in use counts with at least its expected duration, so that two
        slots that become free together do not both go to the same rank.
        """
        self._advance_period(since)
        ended_ms = self._ended_use_ms + sum(
            end - since for end in self._overlapping_ends
        )
        expected_ms = self.expected_duration_ms(now)
        running_ms = sum(
            max(now - max(start, since), expected_ms)
            for start in self._start_by_permit_id.values()
        )
        return ended_ms + running_ms

    def deficit_ms(self, floor_slots: float, now: float) -> float | None:
        """Return by how many ms the rank is below its floor, or None when it is not.

        The floor accrues only while requests of the rank wait, for at most one
        window. Any deficit counts, so that the rank gets at least its floor. The
        exception is the time of one expected duration after the queue became
        non-empty: a single request of a lower rank does not go before all others.
        """
        if self.backlogged_since is None or floor_slots <= 0.0:
            return None
        waited_ms = now - self.backlogged_since
        if waited_ms < min(self.expected_duration_ms(now), WINDOW_MS):
            return None
        since = now - min(waited_ms, WINDOW_MS)
        deficit = floor_slots * (now - since) - self.used_ms(since, now)
        return deficit if deficit > 0.0 else None

    def _advance_period(self, start: float) -> None:
        """Move the start of the period and keep the sum of the ended uses current."""
        self._period_start = max(self._period_start, start)
        while self._ended_uses and self._ended_uses[0][0] < self._period_start:
            started, ended = heapq.heappop(self._ended_uses)
            self._ended_use_ms -= ended - started
            self._overlapping_ends.append(ended)
        self._overlapping_ends = [
            end for end in self._overlapping_ends if end > self._period_start
        ]
        if not self._ended_uses:
            # Resets the accumulated rounding error.
            self._ended_use_ms = 0.0

    def _record_duration(self, duration_ms: float, now: float) -> None:
        if self._measured_at is None or now - self._measured_at > WINDOW_MS:
            self._mean_duration_ms = duration_ms
        else:
            self._mean_duration_ms += DURATION_WEIGHT * (
                duration_ms - self._mean_duration_ms
            )
        self._measured_at = now

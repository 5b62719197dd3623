"""Queue requests that wait for free capacity at an instance.

The queue is for overload that lasts for seconds, when more requests arrive for an
instance than it can serve. In order of arrival all of them would be late, so requests
that can still be on time go first, and among these the most urgent.
"""

import asyncio

RATE_HALF_LIFE_S = 1.0
"""Half-life of the measured rate of ended attempts; several service times."""

MIN_WAITING_TIME_S = 0.3
"""Time for which requests must have waited before the measured rate is used."""


def service_order(rank: int, start_by: float, now: float) -> tuple[bool, int, float]:
    """Return the sort key of a waiting request; the lowest key goes first."""
    return (start_by < now, rank, start_by)


class Waiter:
    """Hold one waiting request; ``wake`` is set when it should look for capacity.

    ``start_by`` is the time in s by which it must start to be on time.
    """

    def __init__(self, rank: int, start_by: float) -> None:
        self.rank = rank
        self.start_by = start_by
        self.wake = asyncio.Event()

    def sort_key(self, now: float) -> tuple[bool, int, float]:
        """Return the sort key; the request with the lowest key goes first."""
        return service_order(self.rank, self.start_by, now)


class WaitQueue:
    """Order the requests that wait for one service or one instance; times in s."""

    def __init__(self) -> None:
        self._waiters: list[Waiter] = []
        # The rate is measured only while requests wait: at other times it reflects the
        # demand and not the capacity.
        self._waiting_s = 0.0
        self._ended_attempts = 0.0
        self._measured_at = 0.0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiters)

    def add(self, rank: int, start_by: float, now: float) -> Waiter:
        """Add a request."""
        self._measure(now)
        waiter = Waiter(rank, start_by)
        self._waiters.append(waiter)
        return waiter

    def remove(self, waiter: Waiter, now: float) -> None:
        """Remove a request."""
        self._measure(now)
        self._waiters.remove(waiter)

    def is_first(self, waiter: Waiter, now: float) -> bool:
        """Return whether no other request goes before this one."""
        return self._first(now) is waiter

    def wake_first(self, now: float) -> None:
        """Wake the first request, so that it looks for capacity."""
        if self._waiters:
            self._first(now).wake.set()

    def on_attempt_end(self, now: float) -> None:
        """Count an ended attempt for the rate at which the queue drains."""
        self._measure(now)
        if self._waiters:
            self._ended_attempts += 1.0

    def expected_wait_s(self, rank: int, start_by: float, now: float) -> float:
        """Return the time until such a request would be first if it were added now."""
        self._measure(now)
        sort_key = Waiter(rank, start_by).sort_key(now)
        ahead = sum(1 for waiter in self._waiters if waiter.sort_key(now) <= sort_key)
        if not ahead or self._waiting_s < MIN_WAITING_TIME_S:
            return 0.0
        return ahead * self._waiting_s / max(1.0, self._ended_attempts)

    def _measure(self, now: float) -> None:
        if self._waiters:
            elapsed_s = now - self._measured_at
            decay = 0.5 ** (elapsed_s / RATE_HALF_LIFE_S)
            self._waiting_s = self._waiting_s * decay + elapsed_s
            self._ended_attempts *= decay
        self._measured_at = now

    def _first(self, now: float) -> Waiter:
        return min(self._waiters, key=lambda waiter: waiter.sort_key(now))

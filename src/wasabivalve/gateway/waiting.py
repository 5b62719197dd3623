"""Let requests wait for room at an instance.

The load that this answers: for seconds more requests come for an instance than it can
serve. Served in their order, all of them would be late; so those that can still be on
time go first, and among these the most urgent.
"""

import asyncio

HALF_TIME_S = 1.0
"""Half-time of the measured rate of answers; several service times."""

LEAST_BUSY_S = 0.3
"""Time for which requests must have waited until the rate is believed."""


class Waiter:
    """Hold one waiting request; ``wake`` is set when it should look for room.

    ``start_by`` is the time in s by which it must start to be on time.
    """

    def __init__(self, rank: int, start_by: float) -> None:
        self.rank = rank
        self.start_by = start_by
        self.wake = asyncio.Event()

    def order(self, now: float) -> tuple[bool, int, float]:
        """Return what decides who goes first: the lowest does."""
        return (self.start_by < now, self.rank, self.start_by)


class WaitingLine:
    """Hold the requests that wait for one service or one instance; times in s."""

    def __init__(self) -> None:
        self._waiters: list[Waiter] = []
        # Only time in which requests waited counts: at other times the answers show
        # the demand and not what could be served.
        self._busy_s = 0.0
        self._answers = 0.0
        self._measured_at = 0.0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiters)

    def join(self, rank: int, start_by: float, now: float) -> Waiter:
        """Add a request."""
        self._measure(now)
        waiter = Waiter(rank, start_by)
        self._waiters.append(waiter)
        return waiter

    def leave(self, waiter: Waiter, now: float) -> None:
        """Remove a request."""
        self._measure(now)
        self._waiters.remove(waiter)

    def is_first(self, waiter: Waiter, now: float) -> bool:
        """Return whether no other request goes before this one."""
        return self._first(now) is waiter

    def wake_first(self, now: float) -> None:
        """Let the first request look for room."""
        if self._waiters:
            self._first(now).wake.set()

    def on_answer(self, now: float) -> None:
        """Count an answer for the rate at which the line drains."""
        self._measure(now)
        if self._waiters:
            self._answers += 1.0

    def expected_wait_s(self, rank: int, start_by: float, now: float) -> float:
        """Return the time until such a request would be first, were it to join."""
        self._measure(now)
        order = Waiter(rank, start_by).order(now)
        ahead = sum(1 for waiter in self._waiters if waiter.order(now) <= order)
        if not ahead or self._busy_s < LEAST_BUSY_S:
            return 0.0
        return ahead * self._busy_s / max(1.0, self._answers)

    def _measure(self, now: float) -> None:
        if self._waiters:
            passed = now - self._measured_at
            kept = 0.5 ** (passed / HALF_TIME_S)
            self._busy_s = self._busy_s * kept + passed
            self._answers *= kept
        self._measured_at = now

    def _first(self, now: float) -> Waiter:
        return min(self._waiters, key=lambda waiter: waiter.order(now))

"""Let requests wait for room at an instance.

The load that this answers: for seconds more requests come for an instance than it can
serve. Served in their order, all of them would be late; so those that can still be on
time go first, and among these the most urgent.
"""

import asyncio

DRAIN_WINDOW_S = 1.5
"""Time over which the rate of answers is measured; several service times."""

LEAST_MEASURED = 3
"""Answers that make a rate worth believing."""


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
        self._answered: list[float] = []

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiters)

    def join(self, rank: int, start_by: float) -> Waiter:
        """Add a request."""
        waiter = Waiter(rank, start_by)
        self._waiters.append(waiter)
        return waiter

    def leave(self, waiter: Waiter) -> None:
        """Remove a request."""
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
        self._answered.append(now)
        start = now - DRAIN_WINDOW_S
        while self._answered and self._answered[0] < start:
            self._answered.pop(0)

    def expected_wait_s(self, rank: int, start_by: float, now: float) -> float:
        """Return the time until such a request would be first, were it to join."""
        order = Waiter(rank, start_by).order(now)
        ahead = sum(1 for waiter in self._waiters if waiter.order(now) <= order)
        if not ahead:
            return 0.0
        recent = [at for at in self._answered if at > now - DRAIN_WINDOW_S]
        if len(recent) < LEAST_MEASURED:
            return 0.0
        return ahead * DRAIN_WINDOW_S / len(recent)

    def _first(self, now: float) -> Waiter:
        return min(self._waiters, key=lambda waiter: waiter.order(now))

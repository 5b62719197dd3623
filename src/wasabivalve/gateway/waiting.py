"""Let requests wait for room at an instance, the most urgent first."""

import asyncio
import heapq
import itertools

DRAIN_WINDOW_S = 1.5
"""Time over which the rate of answers is measured; several service times."""

LEAST_MEASURED = 3
"""Answers that make a rate worth believing."""


class Waiter:
    """Hold one waiting request; ``wake`` is set when it should look for room."""

    def __init__(self, rank: int, give_up_at: float) -> None:
        self.rank = rank
        self.give_up_at = give_up_at
        self.wake = asyncio.Event()


class WaitingLine:
    """Hold the requests that wait for one service or one instance."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, float, int, Waiter]] = []
        self._left: set[Waiter] = set()
        self._numbers = itertools.count()
        self._answered: list[float] = []

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._heap) - len(self._left)

    def join(self, rank: int, give_up_at: float) -> Waiter:
        """Add a request; the most urgent goes first, then the nearest deadline."""
        waiter = Waiter(rank, give_up_at)
        entry = (rank, give_up_at, next(self._numbers), waiter)
        heapq.heappush(self._heap, entry)
        return waiter

    def leave(self, waiter: Waiter) -> None:
        """Remove a request."""
        self._left.add(waiter)
        self._drop_left()

    def ahead(self, rank: int) -> int:
        """Return how many waiting requests go before one of this rank."""
        return sum(
            1
            for entry_rank, _, _, waiter in self._heap
            if entry_rank <= rank and waiter not in self._left
        )

    def is_first(self, waiter: Waiter) -> bool:
        """Return whether no other request goes before this one."""
        self._drop_left()
        return bool(self._heap) and self._heap[0][3] is waiter

    def wake_first(self) -> None:
        """Let the first request look for room."""
        self._drop_left()
        if self._heap:
            self._heap[0][3].wake.set()

    def on_answer(self, now: float) -> None:
        """Count an answer for the rate at which the line drains; ``now`` in s."""
        self._answered.append(now)
        start = now - DRAIN_WINDOW_S
        while self._answered and self._answered[0] < start:
            self._answered.pop(0)

    def expected_wait_s(self, rank: int, now: float) -> float:
        """Return the time in s until a new request of this rank would be first."""
        ahead = self.ahead(rank)
        if not ahead:
            return 0.0
        recent = [at for at in self._answered if at > now - DRAIN_WINDOW_S]
        if len(recent) < LEAST_MEASURED:
            return 0.0
        return ahead * DRAIN_WINDOW_S / len(recent)

    def _drop_left(self) -> None:
        while self._heap and self._heap[0][3] in self._left:
            self._left.discard(heapq.heappop(self._heap)[3])

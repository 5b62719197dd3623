"""Order the requests that wait for a slot, and predict how long each will wait.

Hundreds of requests wait under overload. Their order is kept, as a dispatcher that
sorts them for each message has no time left to answer.

The prediction answers overload that lasts for seconds: requests that can still be on
time go first, so that the others are served only from what these leave over. When
nothing is left over, they are refused at once and not when their time has run out.
"""

import itertools
import math
from collections.abc import Iterator
from typing import NamedTuple

import sortedcontainers

from . import messages

OFFERED_HALF_LIFE_MS = 1_000.0
"""Half-life of the measured load; shorter ones follow chance, not demand."""

MIN_LEFT_OVER_SHARE = 0.05
"""Share of the capacity below which nothing counts as left over."""

Permit = tuple[str, int]


class QueuedRequest(NamedTuple):
    """Hold a request that waits; ``work_ms`` is its expected service time.

    Times are in ms. It must start by ``start_by`` to be on time.
    """

    request: messages.SlotRequest
    work_ms: float
    start_by: float
    target_at: float
    give_up_at: float

    @property
    def permit(self) -> Permit:
        """Return what identifies the request."""
        return self.request.vm, self.request.number


class _RankQueue:
    """Hold the requests of one rank by the time until which they must start."""

    def __init__(self) -> None:
        self.starts: sortedcontainers.SortedList = sortedcontainers.SortedList()
        self._work_ms = 0.0

    def add(self, queued: QueuedRequest) -> None:
        """Add a request."""
        self.starts.add((queued.start_by, queued.permit))
        self._work_ms += queued.work_ms

    def remove(self, queued: QueuedRequest) -> None:
        """Remove a request."""
        self.starts.remove((queued.start_by, queued.permit))
        self._work_ms -= queued.work_ms

    def late_count(self, now: float) -> int:
        """Return how many requests can't be on time any more; they are the first."""
        return int(self.starts.bisect_left((now,)))

    def position(self, queued: QueuedRequest) -> int:
        """Return how many requests must start before a request."""
        return int(self.starts.bisect_left((queued.start_by, queued.permit)))

    def work_ms(self, count: int) -> float:
        """Return the expected work of some of the requests."""
        return self._work_ms * count / max(1, len(self.starts))


class SlotQueue:
    """Hold the waiting requests of one service; times are in ms.

    Requests that can be on time go first, then lower ranks, then those that must start
    earlier. ``capacity`` is the number of slots, each weighed by the speed of its
    instance.
    """

    def __init__(self) -> None:
        self._queued_by_permit: dict[Permit, QueuedRequest] = {}
        self._queue_by_rank: sortedcontainers.SortedDict = sortedcontainers.SortedDict()
        self._offered_ms_by_rank: dict[int, float] = {}
        self._measured_at = 0.0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._queued_by_permit)

    def __contains__(self, permit: Permit) -> bool:
        """Return whether a request waits."""
        return permit in self._queued_by_permit

    def requests(self) -> list[QueuedRequest]:
        """Return the waiting requests in the order of arrival."""
        return list(self._queued_by_permit.values())

    def add(self, queued: QueuedRequest) -> None:
        """Add a request."""
        self._queued_by_permit[queued.permit] = queued
        rank = queued.request.rank
        if rank not in self._queue_by_rank:
            self._queue_by_rank[rank] = _RankQueue()
        self._queue_by_rank[rank].add(queued)

    def remove(self, permit: Permit) -> None:
        """Remove a request, if it waits."""
        queued = self._queued_by_permit.pop(permit, None)
        if queued is not None:
            self._queue_by_rank[queued.request.rank].remove(queued)

    def clear(self) -> None:
        """Remove all requests."""
        self._queued_by_permit.clear()
        self._queue_by_rank.clear()

    def on_arrival(self, rank: int, work_ms: float, now: float) -> None:
        """Count a request, whether it waits or not."""
        decay = 0.5 ** ((now - self._measured_at) / OFFERED_HALF_LIFE_MS)
        self._measured_at = now
        for known_rank in self._offered_ms_by_rank:
            self._offered_ms_by_rank[known_rank] *= decay
        self._offered_ms_by_rank[rank] = (
            self._offered_ms_by_rank.get(rank, 0.0) + work_ms
        )

    def offered_slots(self, rank: int, now: float) -> float:
        """Return how many slots the requests up to a rank keep busy."""
        decay = 0.5 ** ((now - self._measured_at) / OFFERED_HALF_LIFE_MS)
        offered_ms = sum(
            offered
            for known_rank, offered in self._offered_ms_by_rank.items()
            if known_rank <= rank
        )
        return offered_ms * decay * math.log(2.0) / OFFERED_HALF_LIFE_MS

    def in_order(self, now: float) -> Iterator[QueuedRequest]:
        """Yield the waiting requests in the order in which they get slots."""
        on_time, late = [], []
        for rank_queue in self._queue_by_rank.values():
            late_count = rank_queue.late_count(now)
            on_time.append(list(rank_queue.starts.islice(late_count)))
            late.append(list(rank_queue.starts.islice(0, late_count)))
        for _, permit in itertools.chain(*on_time, *late):
            if permit in self._queued_by_permit:
                yield self._queued_by_permit[permit]

    def expected_wait_ms(
        self, queued: QueuedRequest, capacity: float, now: float
    ) -> float:
        """Return the expected time until a request gets a slot; infinite for never."""
        rank, is_late = queued.request.rank, queued.start_by < now
        ahead_ms = on_time_ms = 0.0
        for other_rank, other in self._queue_by_rank.items():
            late_count = other.late_count(now)
            on_time_count = len(other.starts) - late_count
            before = other.position(queued) if other_rank == rank else 0
            if is_late:
                late_ahead = before if other_rank == rank else late_count
                if other_rank > rank:
                    late_ahead = 0
                ahead_ms += other.work_ms(on_time_count + late_ahead)
            elif other_rank < rank:
                ahead_ms += other.work_ms(on_time_count)
            elif other_rank == rank:
                ahead_ms += other.work_ms(before - late_count)
                on_time_ms += other.work_ms(on_time_count - (before - late_count) - 1)
            else:
                on_time_ms += other.work_ms(on_time_count)
        least = MIN_LEFT_OVER_SHARE * capacity
        left_over = capacity - self.offered_slots(rank - 1, now)
        if left_over > least and now + ahead_ms / left_over <= queued.start_by:
            return ahead_ms / left_over
        # Requests that can be on time overtake this one, also those still to come.
        left_over = capacity - self.offered_slots(rank, now)
        if left_over <= least:
            return math.inf
        return (ahead_ms + max(0.0, on_time_ms)) / left_over

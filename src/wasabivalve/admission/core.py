"""Queue requests for the slots of one instance by traffic rank."""

import dataclasses
import heapq
from collections.abc import Mapping
from typing import NamedTuple

from wasabivalve.schema import messages_generated, resources_generated

from . import slot_use

DEFAULT_QUEUE_REQUESTS = 64
DEFAULT_QUEUE_BYTES = 8 * 1024 * 1024
DEFAULT_QUEUE_AGE_MS = 1_000.0
QUEUE_AGE_SHARE = 0.7
"""Maximum wait as a share of the rank's target latency, unless the rank declares one.

In the most heavily loaded run of ``benchmarks/dispatch.py`` the most urgent rank kept
97.0 % of its on-time share with 0.4 and 98.4 % with 0.7.
"""

FLOOR_MARGIN = 1.05
"""Factor applied to floors, because the time of a permit includes message latency.

Without it a rank with a floor of 10 % got 9.81 % of the capacity as responses on
time (``benchmarks/dispatch.py --seed 2``, 3 slots, one extra permit).
"""

NEWEST_FIRST_WAIT_SHARE = 0.5
"""Last share of ``queue_age_ms`` in which the newest request goes first."""

MIN_COMPACTION_TIMERS = 1_024
"""Timers beyond four per active request up to which the heap is not searched for
ended ones.
"""

REFUSED_DEADLINE = "deadline"
REFUSED_QUEUE_REQUESTS = "queue_requests"
REFUSED_QUEUE_BYTES = "queue_bytes"
REFUSED_QUEUE_AGE = "queue_age"
REFUSED_UNKNOWN_RANK = "unknown_rank"


class RankPolicy(NamedTuple):
    """Describe a rank by its priority, guaranteed share of the slots and queue limits.

    Ranks are served in the order of ``order``, 0 first. ``floor`` is a share from 0
    to 1.
    """

    order: int
    floor: float
    queue_requests: int = DEFAULT_QUEUE_REQUESTS
    queue_bytes: int = DEFAULT_QUEUE_BYTES
    queue_age_ms: float = DEFAULT_QUEUE_AGE_MS


class SlotRequest(NamedTuple):
    """Ask for a slot; ``deadline_at`` is in ms of the queue's clock.

    A request with ``alone`` runs while no other request runs at the instance.
    """

    permit_id: str
    rank: str
    deadline_at: float
    body_bytes: int = 0
    alone: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PermitGranted:
    """Grant a slot until a time in ms of the queue's clock."""

    permit_id: str
    expires_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class PermitRefused:
    """Refuse a slot; the request was not run. ``retry_after_ms`` is the retry delay."""

    permit_id: str
    reason: str
    retry_after_ms: float


PermitDecision = PermitGranted | PermitRefused


class _WaitingRequest(NamedTuple):
    request: SlotRequest
    age_limit_at: float


class _RankQueue:
    def __init__(self, policy: RankPolicy) -> None:
        self.policy = policy
        self.usage = slot_use.SlotUse()
        self.waiting_by_permit_id: dict[str, _WaitingRequest] = {}
        self.waiting_bytes = 0


def policy_of_spec(spec: resources_generated.TrafficRankSpec) -> RankPolicy:
    """Return the policy of a declared traffic rank."""
    return RankPolicy(
        spec["order"],
        spec["floor"],
        spec.get("queue_requests", DEFAULT_QUEUE_REQUESTS),
        spec.get("queue_bytes", DEFAULT_QUEUE_BYTES),
        spec.get("queue_age_ms", QUEUE_AGE_SHARE * spec["target_ms"]),
    )


def request_of_message(
    message: messages_generated.PermitRequest, now: float
) -> SlotRequest:
    """Convert a message, whose deadline is the time left in ms, into a request."""
    return SlotRequest(
        message["permit_id"],
        message["rank"],
        now + message["deadline_ms"],
        message["body_bytes"],
        message["alone"],
    )


class InstanceQueue:
    """Hold the waiting requests and the granted permits of one instance.

    At most ``slots + extra_permits`` permits are granted at once. The extra permits
    cover the message latency, during which a slot would be idle; the instance must
    accept that many connections beyond its slots. Raise ValueError when the floors
    add up to more than 1. All times are in ms of one monotonic clock.
    """

    def __init__(
        self,
        slots: int,
        policy_by_rank: Mapping[str, RankPolicy],
        extra_permits: int = 0,
    ) -> None:
        floor_sum = sum(policy.floor for policy in policy_by_rank.values())
        if slots < 1 or extra_permits < 0 or floor_sum > 1.0 + 1e-9:
            raise ValueError(
                "expected slots >= 1, extra_permits >= 0 and floors that add up to at "
                f"most 1, got slots {slots}, extra_permits {extra_permits}, sum of "
                f"floors {floor_sum}"
            )
        self._slots = slots
        self._max_permits = slots + extra_permits
        by_order = sorted(policy_by_rank.items(), key=lambda item: item[1].order)
        self._queue_by_rank = {rank: _RankQueue(policy) for rank, policy in by_order}
        self._granted_by_permit_id: dict[str, tuple[SlotRequest, PermitGranted]] = {}
        self._rank_by_waiting_id: dict[str, str] = {}
        self._alone_permit_id: str | None = None
        # Heap of times at which a waiting request or a permit may expire.
        self._timers: list[tuple[float, str]] = []

    @property
    def permit_count(self) -> int:
        """Return the number of granted permits."""
        return len(self._granted_by_permit_id)

    def waiting_count(self, rank: str) -> int:
        """Return the number of waiting requests of a rank."""
        return len(self._queue_by_rank[rank].waiting_by_permit_id)

    def next_expiry_at(self) -> float | None:
        """Return the time at which ``expire`` must be called next, if any."""
        while self._timers and not self._is_active(self._timers[0][1]):
            heapq.heappop(self._timers)
        return self._timers[0][0] if self._timers else None

    def offer(self, request: SlotRequest, now: float) -> tuple[PermitDecision, ...]:
        """Queue a request and return all decisions that are due.

        A repeated offer returns the existing grant of a granted request and no
        decision on a waiting one.
        """
        existing = self._granted_by_permit_id.get(request.permit_id)
        if existing is not None and now < existing[1].expires_at:
            return (existing[1], *self.expire(now))
        if request.permit_id in self._rank_by_waiting_id:
            return self.expire(now)
        decisions = self.expire(now)
        reason = self._refusal_reason(request, now)
        if reason is not None:
            return (*decisions, self._refuse(request, reason, now))
        self._enqueue(request, now)
        return decisions + self._grant_permits(now)

    def release(
        self, permit_id: str, now: float, *, record_duration: bool = True
    ) -> tuple[PermitDecision, ...]:
        """Release a permit and return the decisions that are due.

        The duration of a failed request is not recorded.
        """
        self._end_permit(permit_id, now, record_duration=record_duration)
        return self.expire(now)

    def cancel(self, permit_id: str, now: float) -> tuple[PermitDecision, ...]:
        """Remove a waiting request or release its permit; record no duration."""
        self._remove_waiting(permit_id)
        self._end_permit(permit_id, now, record_duration=False)
        return self.expire(now)

    def expire(self, now: float) -> tuple[PermitDecision, ...]:
        """End expired permits, refuse expired requests and grant free slots."""
        refused: list[PermitDecision] = []
        while self._timers and self._timers[0][0] <= now:
            _, permit_id = heapq.heappop(self._timers)
            granted = self._granted_by_permit_id.get(permit_id)
            if granted is not None and granted[1].expires_at <= now:
                self._end_permit(permit_id, now, record_duration=False)
            elif permit_id in self._rank_by_waiting_id:
                refused += self._on_waiting_timer(permit_id, now)
        return (*refused, *self._grant_permits(now))

    def _refusal_reason(self, request: SlotRequest, now: float) -> str | None:
        queue = self._queue_by_rank.get(request.rank)
        if queue is None:
            return REFUSED_UNKNOWN_RANK
        if request.deadline_at - queue.usage.expected_duration_ms(now) <= now:
            return REFUSED_DEADLINE
        if self._can_start_now(request):
            return None
        if len(queue.waiting_by_permit_id) >= queue.policy.queue_requests:
            return REFUSED_QUEUE_REQUESTS
        if queue.waiting_bytes + request.body_bytes > queue.policy.queue_bytes:
            return REFUSED_QUEUE_BYTES
        return None

    def _can_start_now(self, request: SlotRequest) -> bool:
        if self._rank_by_waiting_id or self._alone_permit_id is not None:
            return False
        max_permits = 1 if request.alone else self._max_permits
        return self.permit_count < max_permits

    def _enqueue(self, request: SlotRequest, now: float) -> None:
        queue = self._queue_by_rank[request.rank]
        if not queue.waiting_by_permit_id:
            queue.usage.backlogged_since = now
        waiting = _WaitingRequest(request, now + queue.policy.queue_age_ms)
        queue.waiting_by_permit_id[request.permit_id] = waiting
        queue.waiting_bytes += request.body_bytes
        self._rank_by_waiting_id[request.permit_id] = request.rank
        self._set_timer(_refusal_time(queue, waiting, now), request.permit_id)

    def _remove_waiting(self, permit_id: str) -> None:
        rank = self._rank_by_waiting_id.pop(permit_id, None)
        if rank is None:
            return
        queue = self._queue_by_rank[rank]
        waiting = queue.waiting_by_permit_id.pop(permit_id)
        queue.waiting_bytes -= waiting.request.body_bytes
        if not queue.waiting_by_permit_id:
            queue.usage.backlogged_since = None

    def _on_waiting_timer(
        self, permit_id: str, now: float
    ) -> tuple[PermitRefused, ...]:
        refused = self._refuse_if_expired(permit_id, now)
        if not refused:
            # The expected duration has decreased since the timer was set.
            queue = self._queue_by_rank[self._rank_by_waiting_id[permit_id]]
            waiting = queue.waiting_by_permit_id[permit_id]
            self._set_timer(_refusal_time(queue, waiting, now), permit_id)
        return refused

    def _refuse_if_expired(
        self, permit_id: str, now: float
    ) -> tuple[PermitRefused, ...]:
        queue = self._queue_by_rank[self._rank_by_waiting_id[permit_id]]
        waiting = queue.waiting_by_permit_id[permit_id]
        if _refusal_time(queue, waiting, now) > now:
            return ()
        self._remove_waiting(permit_id)
        reason = REFUSED_QUEUE_AGE if waiting.age_limit_at <= now else REFUSED_DEADLINE
        return (self._refuse(waiting.request, reason, now),)

    def _grant_permits(self, now: float) -> tuple[PermitDecision, ...]:
        decisions: list[PermitDecision] = []
        while self._alone_permit_id is None and self.permit_count < self._max_permits:
            queue = self._next_rank_queue(now)
            if queue is None:
                break
            permit_id, waiting = _next_request(queue, now)
            expired = self._refuse_if_expired(permit_id, now)
            if expired:
                decisions += expired
                continue
            if waiting.request.alone and self._granted_by_permit_id:
                # All slots must become free first; the chosen rank keeps its turn.
                break
            decisions.append(self._start_permit(waiting.request, now))
        return tuple(decisions)

    def _next_rank_queue(self, now: float) -> _RankQueue | None:
        backlogged = [
            queue
            for queue in self._queue_by_rank.values()
            if queue.waiting_by_permit_id
        ]
        if len(backlogged) < 2:
            return backlogged[0] if backlogged else None
        below_floor = []
        for queue in backlogged:
            # With extra permits the time of a permit includes its wait for a slot,
            # so the floor is a share of the time of all permits.
            floor_permits = queue.policy.floor * FLOOR_MARGIN * self._max_permits
            deficit = queue.usage.deficit_ms(floor_permits, now)
            if deficit is not None:
                below_floor.append((deficit / queue.policy.floor, queue))
        if below_floor:
            return max(below_floor, key=lambda item: item[0])[1]
        return backlogged[0]

    def _start_permit(self, request: SlotRequest, now: float) -> PermitGranted:
        self._remove_waiting(request.permit_id)
        granted = PermitGranted(request.permit_id, request.deadline_at)
        self._granted_by_permit_id[request.permit_id] = (request, granted)
        self._queue_by_rank[request.rank].usage.start(request.permit_id, now)
        if request.alone:
            self._alone_permit_id = request.permit_id
        self._set_timer(granted.expires_at, request.permit_id)
        return granted

    def _end_permit(self, permit_id: str, now: float, *, record_duration: bool) -> None:
        existing = self._granted_by_permit_id.pop(permit_id, None)
        if existing is None:
            return
        self._queue_by_rank[existing[0].rank].usage.end(
            permit_id, now, record_duration=record_duration
        )
        if self._alone_permit_id == permit_id:
            self._alone_permit_id = None

    def _refuse(self, request: SlotRequest, reason: str, now: float) -> PermitRefused:
        queue = self._queue_by_rank.get(request.rank)
        if queue is None or reason == REFUSED_DEADLINE:
            return PermitRefused(request.permit_id, reason, 0.0)
        # Lower bound of the time until the waiting requests have got their slots: it
        # assumes that the rank gets all slots.
        rounds = (len(queue.waiting_by_permit_id) + 1) / self._slots
        return PermitRefused(
            request.permit_id,
            reason,
            rounds * queue.usage.expected_duration_ms(now),
        )

    def _set_timer(self, time_ms: float, permit_id: str) -> None:
        heapq.heappush(self._timers, (time_ms, permit_id))
        active_count = self.permit_count + len(self._rank_by_waiting_id)
        if len(self._timers) > 4 * active_count + MIN_COMPACTION_TIMERS:
            # Otherwise timers of ended requests with distant deadlines fill the memory.
            self._timers = [
                entry for entry in self._timers if self._is_active(entry[1])
            ]
            heapq.heapify(self._timers)

    def _is_active(self, permit_id: str) -> bool:
        return (
            permit_id in self._granted_by_permit_id
            or permit_id in self._rank_by_waiting_id
        )


def _next_request(queue: _RankQueue, now: float) -> tuple[str, _WaitingRequest]:
    """Return the oldest request, or the newest when the oldest has waited long.

    Under overload the oldest requests have too little time left to complete before
    their deadline, so serving them first would waste the slots.
    """
    items = queue.waiting_by_permit_id.items()
    oldest = next(iter(items))
    newest_first_wait_ms = queue.policy.queue_age_ms * NEWEST_FIRST_WAIT_SHARE
    return (
        next(reversed(items))
        if now >= oldest[1].age_limit_at - newest_first_wait_ms
        else oldest
    )


def _refusal_time(queue: _RankQueue, waiting: _WaitingRequest, now: float) -> float:
    latest_start = waiting.request.deadline_at - queue.usage.expected_duration_ms(now)
    return min(latest_start, waiting.age_limit_at)

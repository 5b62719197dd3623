"""Queue requests for the slots of one instance by rank."""

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
"""Longest wait as a share of the rank's target, unless the rank declares one.

With 0.4 the most urgent rank kept 97.0 % of its on-time share in the hardest run
of ``benchmarks/dispatch.py``, with 0.7 98.4 %.
"""


FLOOR_MARGIN = 1.05
"""Factor of floors, since a permit's time includes messages on their way.

Without it a rank with a floor of 10 % got 9.81 % of the capacity as answers on
time (``benchmarks/dispatch.py --seed 2``, 3 slots, one permit ahead).
"""

LONG_WAIT_SHARE = 0.5
"""Share of the longest wait after which the newest request goes first."""

LEAST_WAKE_ENTRIES = 1_024
"""Entries of the timer heap that are kept without a search for ended ones."""

DEADLINE = "deadline"
QUEUE_REQUESTS = "queue_requests"
QUEUE_BYTES = "queue_bytes"
QUEUE_AGE = "queue_age"
UNKNOWN_RANK = "unknown_rank"


class RankPolicy(NamedTuple):
    """Describe a rank: position (0 is most urgent), share of slots, bounds."""

    order: int
    floor: float
    queue_requests: int = DEFAULT_QUEUE_REQUESTS
    queue_bytes: int = DEFAULT_QUEUE_BYTES
    queue_age_ms: float = DEFAULT_QUEUE_AGE_MS


class SlotRequest(NamedTuple):
    """Ask for a slot; ``deadline_at`` is in ms of the queue's clock."""

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
    """Refuse a slot; the request was not run."""

    permit_id: str
    reason: str
    retry_after_ms: float


PermitDecision = PermitGranted | PermitRefused


class _Waiting(NamedTuple):
    request: SlotRequest
    too_old_at: float


class _Lane:
    def __init__(self, policy: RankPolicy) -> None:
        self.policy = policy
        self.use = slot_use.SlotUse()
        self.waiting_by_permit: dict[str, _Waiting] = {}
        self.waiting_bytes = 0


def policy_of_spec(spec: resources_generated.TrafficRankSpec) -> RankPolicy:
    """Return the policy that a declared traffic rank states."""
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
    """Return the request of a message, whose deadline is the time left in ms."""
    return SlotRequest(
        message["permit_id"],
        message["rank"],
        now + message["deadline_ms"],
        message["body_bytes"],
        message["alone"],
    )


class InstanceQueue:
    """Hold the waiting requests and the permits of one instance.

    At most ``slots + extra_permits`` permits are granted at once. The extra permits
    cover the time that messages travel, in which a slot would be idle; the
    instance must accept that many connections beyond its slots. Raises ValueError
    when the floors add up to more than 1.
    """

    def __init__(
        self,
        slots: int,
        policy_by_rank: Mapping[str, RankPolicy],
        extra_permits: int = 0,
    ) -> None:
        floors = sum(policy.floor for policy in policy_by_rank.values())
        if slots < 1 or extra_permits < 0 or floors > 1.0 + 1e-9:
            raise ValueError(
                f"slots {slots}, extra_permits {extra_permits}, sum of floors {floors}"
            )
        self._slots = slots
        self._most_permits = slots + extra_permits
        ordered = sorted(policy_by_rank.items(), key=lambda item: item[1].order)
        self._lane_by_rank = {rank: _Lane(policy) for rank, policy in ordered}
        self._granted_by_permit: dict[str, tuple[SlotRequest, PermitGranted]] = {}
        self._rank_by_waiting: dict[str, str] = {}
        self._alone_permit: str | None = None
        # Times at which a waiting request or a permit must be looked at again.
        self._wake: list[tuple[float, str]] = []

    @property
    def permit_count(self) -> int:
        """Return the number of permits that are out."""
        return len(self._granted_by_permit)

    def waiting_count(self, rank: str) -> int:
        """Return the number of waiting requests of a rank."""
        return len(self._lane_by_rank[rank].waiting_by_permit)

    def next_expiry_at(self) -> float | None:
        """Return the time at which ``expire`` must be called next, if any."""
        while self._wake and not self._is_current(self._wake[0][1]):
            heapq.heappop(self._wake)
        return self._wake[0][0] if self._wake else None

    def offer(self, request: SlotRequest, now: float) -> tuple[PermitDecision, ...]:
        """Queue a request and return all decisions that are due.

        A repeated offer of a granted request returns its grant again; of a
        waiting request nothing.
        """
        known = self._granted_by_permit.get(request.permit_id)
        if known is not None and now < known[1].expires_at:
            return (known[1], *self.expire(now))
        if request.permit_id in self._rank_by_waiting:
            return self.expire(now)
        decisions = self.expire(now)
        reason = self._reason_to_refuse(request, now)
        if reason is not None:
            return (*decisions, self._refused(request, reason, now))
        self._enqueue(request, now)
        return decisions + self._grant(now)

    def release(
        self, permit_id: str, now: float, *, record_duration: bool = True
    ) -> tuple[PermitDecision, ...]:
        """Return a permit; its duration counts as measured unless it failed."""
        self._end_permit(permit_id, now, record_duration=record_duration)
        return self.expire(now)

    def cancel(self, permit_id: str, now: float) -> tuple[PermitDecision, ...]:
        """Drop a waiting request or return its permit, without a measurement."""
        self._drop_waiting(permit_id)
        self._end_permit(permit_id, now, record_duration=False)
        return self.expire(now)

    def expire(self, now: float) -> tuple[PermitDecision, ...]:
        """End permits and refuse requests whose time is over, and grant slots."""
        refused: list[PermitDecision] = []
        while self._wake and self._wake[0][0] <= now:
            _, permit_id = heapq.heappop(self._wake)
            granted = self._granted_by_permit.get(permit_id)
            if granted is not None and granted[1].expires_at <= now:
                self._end_permit(permit_id, now, record_duration=False)
            elif permit_id in self._rank_by_waiting:
                refused += self._wake_waiting(permit_id, now)
        return (*refused, *self._grant(now))

    def _reason_to_refuse(self, request: SlotRequest, now: float) -> str | None:
        lane = self._lane_by_rank.get(request.rank)
        if lane is None:
            return UNKNOWN_RANK
        if request.deadline_at - lane.use.expected_ms(now) <= now:
            return DEADLINE
        if self._starts_at_once(request):
            return None
        if len(lane.waiting_by_permit) >= lane.policy.queue_requests:
            return QUEUE_REQUESTS
        if lane.waiting_bytes + request.body_bytes > lane.policy.queue_bytes:
            return QUEUE_BYTES
        return None

    def _starts_at_once(self, request: SlotRequest) -> bool:
        if self._rank_by_waiting or self._alone_permit is not None:
            return False
        most = 1 if request.alone else self._most_permits
        return self.permit_count < most

    def _enqueue(self, request: SlotRequest, now: float) -> None:
        lane = self._lane_by_rank[request.rank]
        if not lane.waiting_by_permit:
            lane.use.backlogged_since = now
        waiting = _Waiting(request, now + lane.policy.queue_age_ms)
        lane.waiting_by_permit[request.permit_id] = waiting
        lane.waiting_bytes += request.body_bytes
        self._rank_by_waiting[request.permit_id] = request.rank
        self._wake_at(_give_up_at(lane, waiting, now), request.permit_id)

    def _drop_waiting(self, permit_id: str) -> None:
        rank = self._rank_by_waiting.pop(permit_id, None)
        if rank is None:
            return
        lane = self._lane_by_rank[rank]
        waiting = lane.waiting_by_permit.pop(permit_id)
        lane.waiting_bytes -= waiting.request.body_bytes
        if not lane.waiting_by_permit:
            lane.use.backlogged_since = None

    def _wake_waiting(self, permit_id: str, now: float) -> tuple[PermitRefused, ...]:
        refused = self._refuse_if_late(permit_id, now)
        if not refused:
            # The expected duration fell since the time was set.
            lane = self._lane_by_rank[self._rank_by_waiting[permit_id]]
            waiting = lane.waiting_by_permit[permit_id]
            self._wake_at(_give_up_at(lane, waiting, now), permit_id)
        return refused

    def _refuse_if_late(self, permit_id: str, now: float) -> tuple[PermitRefused, ...]:
        lane = self._lane_by_rank[self._rank_by_waiting[permit_id]]
        waiting = lane.waiting_by_permit[permit_id]
        if _give_up_at(lane, waiting, now) > now:
            return ()
        self._drop_waiting(permit_id)
        reason = QUEUE_AGE if waiting.too_old_at <= now else DEADLINE
        return (self._refused(waiting.request, reason, now),)

    def _grant(self, now: float) -> tuple[PermitDecision, ...]:
        decisions: list[PermitDecision] = []
        while self._alone_permit is None and self.permit_count < self._most_permits:
            lane = self._next_lane(now)
            if lane is None:
                break
            permit_id, waiting = _next_waiting(lane, now)
            late = self._refuse_if_late(permit_id, now)
            if late:
                decisions += late
                continue
            if waiting.request.alone and self._granted_by_permit:
                # The slots run empty first; the chosen rank keeps its turn.
                break
            decisions.append(self._start_permit(waiting.request, now))
        return tuple(decisions)

    def _next_lane(self, now: float) -> _Lane | None:
        lanes = [lane for lane in self._lane_by_rank.values() if lane.waiting_by_permit]
        if len(lanes) < 2:
            return lanes[0] if lanes else None
        below_floor = []
        for lane in lanes:
            # The time of a permit includes its wait for a slot when permits are
            # out ahead, so the floor is a share of the time of all permits.
            floor_permits = lane.policy.floor * FLOOR_MARGIN * self._most_permits
            deficit = lane.use.deficit_ms(floor_permits, now)
            if deficit is not None:
                below_floor.append((deficit / lane.policy.floor, lane))
        if below_floor:
            return max(below_floor, key=lambda item: item[0])[1]
        return lanes[0]

    def _start_permit(self, request: SlotRequest, now: float) -> PermitGranted:
        self._drop_waiting(request.permit_id)
        granted = PermitGranted(request.permit_id, request.deadline_at)
        self._granted_by_permit[request.permit_id] = (request, granted)
        self._lane_by_rank[request.rank].use.start(request.permit_id, now)
        if request.alone:
            self._alone_permit = request.permit_id
        self._wake_at(granted.expires_at, request.permit_id)
        return granted

    def _end_permit(self, permit_id: str, now: float, *, record_duration: bool) -> None:
        known = self._granted_by_permit.pop(permit_id, None)
        if known is None:
            return
        self._lane_by_rank[known[0].rank].use.end(
            permit_id, now, record_duration=record_duration
        )
        if self._alone_permit == permit_id:
            self._alone_permit = None

    def _refused(self, request: SlotRequest, reason: str, now: float) -> PermitRefused:
        lane = self._lane_by_rank.get(request.rank)
        if lane is None or reason == DEADLINE:
            return PermitRefused(request.permit_id, reason, 0.0)
        # The time in which the requests that wait now get their slots, if the
        # rank has all slots; an estimate from below.
        rounds = (len(lane.waiting_by_permit) + 1) / self._slots
        return PermitRefused(
            request.permit_id, reason, rounds * lane.use.expected_ms(now)
        )

    def _wake_at(self, time: float, permit_id: str) -> None:
        heapq.heappush(self._wake, (time, permit_id))
        current = self.permit_count + len(self._rank_by_waiting)
        if len(self._wake) > 4 * current + LEAST_WAKE_ENTRIES:
            # Far deadlines of ended requests would otherwise fill memory.
            self._wake = [entry for entry in self._wake if self._is_current(entry[1])]
            heapq.heapify(self._wake)

    def _is_current(self, permit_id: str) -> bool:
        return (
            permit_id in self._granted_by_permit or permit_id in self._rank_by_waiting
        )


def _next_waiting(lane: _Lane, now: float) -> tuple[str, _Waiting]:
    """Return the oldest request, or the newest when the oldest waited long.

    In a flood the oldest requests have too little time left to be answered on
    time, so serving them first would waste the slots.
    """
    items = lane.waiting_by_permit.items()
    oldest = next(iter(items))
    long_wait = lane.policy.queue_age_ms * LONG_WAIT_SHARE
    return next(reversed(items)) if now >= oldest[1].too_old_at - long_wait else oldest


def _give_up_at(lane: _Lane, waiting: _Waiting, now: float) -> float:
    latest_start = waiting.request.deadline_at - lane.use.expected_ms(now)
    return min(latest_start, waiting.too_old_at)

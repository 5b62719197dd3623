"""Plan the assignment of key ranges to instances.

The plans suit a load in which most requests go to a few keys that lie close together
and change within seconds. Every move pauses the requests for its keys.
"""

from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import NamedTuple

from . import core, key_loads

MIN_SHEDDING_UTILIZATION = 0.5
"""Utilization below which an instance sheds no keys, as its queue is short."""

SHEDDING_RATIO = 1.25
"""Multiple of the mean utilization above which an instance sheds keys."""

MAX_WHOLE_MOVE_RATIO = 0.7
"""Maximum ratio of two utilizations for which a range is moved as a whole.

It is the new holder's utilization after the move over the current holder's before.
Capacities are estimates; a smaller gain would move a hot key from one to the next.
"""


MIN_MOVE_RATIO = 0.3
MAX_MOVE_RATIO = 1.5
"""Bounds of the load of one move, relative to the load that equalizes two instances."""


MIN_MOVES = 6
MAX_MOVES = 30
"""Bounds of the moves per balancing round.

Each move pauses its keys for a few round trips, and the confirmation of all of them
must fit into one packet.
"""

HOLDERS_PER_MOVE = 4
"""Instances of a service for each move of a round between the bounds."""

MIN_PLAN_DELAY_MS = 700.0
MAX_PLAN_DELAY_MS = 3_000.0
PLAN_DELAY_MS_PER_INSTANCE = 25.0
"""Time without a change of the instances after which the first plan is made.

Large services take longer to register, and a plan for half of the instances is followed
by moves for the others.
"""


class BusiestInstance(NamedTuple):
    """Describe the instance of highest utilization; rates in requests per second."""

    instance: str
    rate: float
    capacity: float
    hottest_key: int
    hottest_rate: float


def find_busiest_instance(
    ranges: Sequence[core.RangeAssignment],
    candidates: Sequence["CandidateInstance"],
    loads: key_loads.LoadProfile,
) -> BusiestInstance | None:
    """Return the instance of highest utilization, or None without candidates."""
    if not candidates:
        return None
    rate_by_id = rate_by_candidate(ranges, candidates, loads)
    busiest = max(
        candidates, key=lambda candidate: rate_by_id[candidate.id] / candidate.capacity
    )
    held_ranges = [
        assignment for assignment in ranges if assignment.instance == busiest.id
    ]
    hottest_key, hottest_rate = loads.find_hottest_key(held_ranges)
    return BusiestInstance(
        busiest.id, rate_by_id[busiest.id], busiest.capacity, hottest_key, hottest_rate
    )


class CandidateInstance(NamedTuple):
    """Describe an instance that may hold keys; ``capacity`` in requests per second.

    The capacity of one ``is_warming`` is that of its warm-up.
    """

    id: str
    born: int
    capacity: float
    is_warming: bool = False


class LeaseMove(NamedTuple):
    """Move a range of one service to an instance."""

    service: str
    first: int
    last: int
    to_instance: str
    to_born: int


def max_moves_per_round(instance_count: int) -> int:
    """Return the number of moves that a balancing round may make."""
    return max(MIN_MOVES, min(MAX_MOVES, instance_count // HOLDERS_PER_MOVE))


def first_plan_delay_ms(instance_count: int) -> float:
    """Return how long the instances must be unchanged before the first plan."""
    return min(
        MAX_PLAN_DELAY_MS,
        MIN_PLAN_DELAY_MS + PLAN_DELAY_MS_PER_INSTANCE * max(0, instance_count - 16),
    )


def plan_initial_assignment(
    service: str,
    candidates: Sequence[CandidateInstance],
    loads: key_loads.LoadProfile,
) -> tuple[core.RangeAssignment, ...]:
    """Return one range for each instance, with a load in proportion to its capacity."""
    total_capacity = sum(candidate.capacity for candidate in candidates)
    ranges: list[core.RangeAssignment] = []
    first = 0
    for index, candidate in enumerate(candidates):
        last = core.KEY_COUNT - 1
        if index < len(candidates) - 1:
            # Leave at least one key for each instance that follows.
            max_last = core.KEY_COUNT - (len(candidates) - index)
            max_rate = loads.total_rate * candidate.capacity / total_capacity
            last = min(
                max_last, loads.find_split_key(first, core.KEY_COUNT - 1, max_rate)
            )
        ranges.append(core.RangeAssignment(first, last, candidate.id, candidate.born))
        first = last + 1
    return tuple(ranges)


def rate_by_candidate(
    ranges: Iterable[core.RangeAssignment],
    candidates: Sequence[CandidateInstance],
    loads: key_loads.LoadProfile,
) -> dict[str, float]:
    """Return the requests per second for the keys of each candidate."""
    rate_by_id = {candidate.id: 0.0 for candidate in candidates}
    for assignment in ranges:
        if assignment.instance in rate_by_id:
            rate_by_id[assignment.instance] += loads.range_rate(
                assignment.first, assignment.last
            )
    return rate_by_id


def plan_reassignment(
    service: str,
    lost_ranges: Sequence[core.RangeAssignment],
    kept_ranges: Sequence[core.RangeAssignment],
    candidates: Sequence[CandidateInstance],
    loads: key_loads.LoadProfile,
) -> list[LeaseMove]:
    """Return moves of lost ranges to the instances of lowest utilization."""
    if not candidates:
        return []
    rate_by_id = rate_by_candidate(kept_ranges, candidates, loads)
    candidate_by_id = {candidate.id: candidate for candidate in candidates}
    mean_capacity = sum(candidate.capacity for candidate in candidates) / len(
        candidates
    )
    moves = []
    for lost in lost_ranges:
        for first, last in _split_lost_range(lost, loads, mean_capacity):
            rate = loads.range_rate(first, last)
            best_id = min(
                candidate_by_id,
                key=lambda id: (rate_by_id[id] + rate) / candidate_by_id[id].capacity,
            )
            rate_by_id[best_id] += rate
            moves.append(
                LeaseMove(service, first, last, best_id, candidate_by_id[best_id].born)
            )
    return moves


def _split_lost_range(
    lost: core.RangeAssignment, loads: key_loads.LoadProfile, mean_capacity: float
) -> list[tuple[int, int]]:
    """Split a range into at most three parts of about a fifth of the mean capacity.

    Each part is a pair of its first and last key.
    """
    rate = loads.range_rate(lost.first, lost.last)
    part_count = max(1, min(3, round(5.0 * rate / mean_capacity)))
    parts = []
    first = lost.first
    for remaining_parts in range(part_count, 1, -1):
        remaining_rate = loads.range_rate(first, lost.last)
        last = loads.find_split_key(first, lost.last, remaining_rate / remaining_parts)
        if last >= lost.last:
            break
        parts.append((first, last))
        first = last + 1
    parts.append((first, lost.last))
    return parts


def find_warming_holders(
    candidates: Iterable[CandidateInstance], holders: Collection[str]
) -> set[str]:
    """Return the instances that keep their keys, and get no others, while they warm up.

    A warm-up takes seconds, for which most requests can wait. Moving keys away and back
    costs more than that.
    """
    return {
        candidate.id
        for candidate in candidates
        if candidate.is_warming and candidate.id in holders
    }


def plan_balancing_moves(
    service: str,
    ranges: Sequence[core.RangeAssignment],
    candidates: Sequence[CandidateInstance],
    loads: key_loads.LoadProfile,
    max_moves: int,
) -> list[LeaseMove]:
    """Return moves from overloaded instances to those of lowest utilization.

    Instances without keys always get some from the busiest one.
    """
    if len(candidates) < 2:
        return []
    candidate_by_id = {candidate.id: candidate for candidate in candidates}
    mean_utilization = loads.total_rate / sum(
        candidate.capacity for candidate in candidates
    )
    shedding_utilization = max(
        MIN_SHEDDING_UTILIZATION, SHEDDING_RATIO * mean_utilization
    )
    current_ranges = list(ranges)
    moves: list[LeaseMove] = []
    # An instance that can shed none of its keys must not hide the next busiest one.
    unsheddable_ids: set[str] = set()
    while len(moves) < max_moves and len(unsheddable_ids) < len(candidates):
        rate_by_id = rate_by_candidate(current_ranges, candidates, loads)
        utilization_by_id = {
            id: rate_by_id[id] / candidate_by_id[id].capacity for id in candidate_by_id
        }
        holders = {assignment.instance for assignment in current_ranges}
        empty_ids = [id for id in candidate_by_id if id not in holders]
        busiest_id = max(
            set(candidate_by_id) - unsheddable_ids, key=lambda id: utilization_by_id[id]
        )
        idlest_id = (
            empty_ids[0]
            if empty_ids
            else min(candidate_by_id, key=lambda id: utilization_by_id[id])
        )
        if not empty_ids and utilization_by_id[busiest_id] <= shedding_utilization:
            break
        held_ranges = [
            assignment
            for assignment in current_ranges
            if assignment.instance == busiest_id
            and not any(
                move.first <= assignment.last and assignment.first <= move.last
                for move in moves
            )
        ]
        move = _plan_equalizing_move(
            service,
            held_ranges,
            candidate_by_id[busiest_id],
            candidate_by_id[idlest_id],
            loads,
            utilization_by_id,
        ) or _plan_whole_move(
            service, held_ranges, busiest_id, candidates, loads, utilization_by_id
        )
        if move is None:
            unsheddable_ids.add(busiest_id)
            continue
        moves.append(move)
        moved_range = core.RangeAssignment(
            move.first, move.last, move.to_instance, move.to_born
        )
        current_ranges = [
            *core.subtract_range(tuple(current_ranges), move.first, move.last),
            moved_range,
        ]
    return moves


def _plan_equalizing_move(
    service: str,
    held_ranges: Sequence[core.RangeAssignment],
    source: CandidateInstance,
    destination: CandidateInstance,
    loads: key_loads.LoadProfile,
    utilization_by_id: Mapping[str, float],
) -> LeaseMove | None:
    """Return the move of a range, or part of one, that equalizes two utilizations."""
    difference = utilization_by_id[source.id] - utilization_by_id[destination.id]
    wanted_rate = difference / (1.0 / source.capacity + 1.0 / destination.capacity)
    if wanted_rate <= 0.0:
        return None

    def move_keys(first: int, last: int) -> LeaseMove:
        return LeaseMove(service, first, last, destination.id, destination.born)

    for held in _sort_by_rate(held_ranges, loads):
        rate = loads.range_rate(held.first, held.last)
        if rate <= wanted_rate:
            return move_keys(held.first, held.last)
        if held.first == held.last:
            continue
        front_last = loads.find_split_key(held.first, held.last, wanted_rate)
        front_rate = loads.range_rate(held.first, front_last)
        if (
            front_last < held.last
            and MIN_MOVE_RATIO * wanted_rate <= front_rate <= wanted_rate
        ):
            return move_keys(held.first, front_last)
        # A hot key at the front stays; the keys after it may move.
        kept_last = loads.find_split_key(held.first, held.last, rate - wanted_rate)
        back_rate = loads.range_rate(min(kept_last + 1, held.last), held.last)
        if (
            kept_last < held.last
            and MIN_MOVE_RATIO * wanted_rate
            <= back_rate
            <= MAX_MOVE_RATIO * wanted_rate
        ):
            return move_keys(kept_last + 1, held.last)
    return None


def _plan_whole_move(
    service: str,
    held_ranges: Sequence[core.RangeAssignment],
    busiest_id: str,
    candidates: Sequence[CandidateInstance],
    loads: key_loads.LoadProfile,
    utilization_by_id: Mapping[str, float],
) -> LeaseMove | None:
    """Return the move of a range that cannot be split to a faster instance."""
    for held in _sort_by_rate(held_ranges, loads):
        rate = loads.range_rate(held.first, held.last)
        utilization_after, best = min(
            (utilization_by_id[candidate.id] + rate / candidate.capacity, candidate)
            for candidate in candidates
            if candidate.id != busiest_id
        )
        if utilization_after <= MAX_WHOLE_MOVE_RATIO * utilization_by_id[busiest_id]:
            return LeaseMove(service, held.first, held.last, best.id, best.born)
    return None


def _sort_by_rate(
    held_ranges: Sequence[core.RangeAssignment], loads: key_loads.LoadProfile
) -> list[core.RangeAssignment]:
    return sorted(
        held_ranges,
        key=lambda held: loads.range_rate(held.first, held.last),
        reverse=True,
    )

"""Plan which instance holds which range of keys.

The load that this answers: most requests go to few keys that lie close together, and
these change within seconds; every move costs its keys a pause.
"""

from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from . import core, key_loads

LEAST_UTILIZATION = 0.5
"""Below this use of its slots an instance sheds nothing: waiting is still short."""

DEAD_BAND = 1.25
"""An instance sheds keys only beyond this multiple of the mean utilization."""

WORTHWHILE = 0.85
"""A range moves whole only if its new holder is then less used than this share of
what its present holder is."""


LEAST_PART = 0.3
MOST_PART = 1.5
"""Bounds of what one move carries, relative to what would even out two instances."""


OVERLOADED = 1.15
"""Load over capacity from which requests are refused; both are estimates."""

LEAST_SHARE = 0.1
"""Share that an overloaded instance gets in any case, as estimates may be wrong."""


class BusiestInstance(NamedTuple):
    """Describe the most used instance; rates in requests per second."""

    instance: str
    rate: float
    capacity: float
    hottest_key: int
    hottest_rate: float


def find_busiest_instance(
    ranges: Sequence[core.RangeAssignment],
    targets: Sequence["CandidateInstance"],
    loads: key_loads.LoadProfile,
) -> BusiestInstance | None:
    """Return the most used instance, or None where there is none."""
    if not targets:
        return None
    load_by_id = _load_by_target(ranges, targets, loads)
    top = max(targets, key=lambda one: load_by_id[one.id] / one.capacity)
    held = [one for one in ranges if one.instance == top.id]
    key, rate = loads.hottest(held)
    return BusiestInstance(top.id, load_by_id[top.id], top.capacity, key, rate)


class CandidateInstance(NamedTuple):
    """Describe an instance that may hold keys; ``capacity`` in requests per second."""

    id: str
    born: int
    capacity: float


class LeaseMove(NamedTuple):
    """Move a range of one service to an instance."""

    service: str
    first: int
    last: int
    to_instance: str
    to_born: int


def find_admission_shares(
    ranges: Sequence[core.RangeAssignment],
    targets: Sequence[CandidateInstance],
    loads: key_loads.LoadProfile,
) -> dict[str, float]:
    """Return the share of its requests that each overloaded instance can serve.

    Many VMs send a few requests a second each to the holder of a hot key: none of
    them sees by itself that together they send several times what it can serve.
    """
    load_by_id = _load_by_target(ranges, targets, loads)
    share_by_id = {}
    for target in targets:
        load = load_by_id[target.id]
        if load > OVERLOADED * target.capacity:
            share_by_id[target.id] = max(LEAST_SHARE, target.capacity / load)
    return share_by_id


def plan_initial_assignment(
    service: str, targets: Sequence[CandidateInstance], loads: key_loads.LoadProfile
) -> tuple[core.RangeAssignment, ...]:
    """Return ranges that give every instance its share of the load."""
    capacity = sum(target.capacity for target in targets)
    ranges: list[core.RangeAssignment] = []
    first = 0
    for index, target in enumerate(targets):
        last = core.KEYS - 1
        if index < len(targets) - 1:
            # Leave at least one key for each instance that follows.
            most = core.KEYS - (len(targets) - index)
            wanted = loads.total * target.capacity / capacity
            last = min(most, loads.split(first, core.KEYS - 1, wanted))
        ranges.append(core.RangeAssignment(first, last, target.id, target.born))
        first = last + 1
    return tuple(ranges)


def _load_by_target(
    ranges: Iterable[core.RangeAssignment],
    targets: Sequence[CandidateInstance],
    loads: key_loads.LoadProfile,
) -> dict[str, float]:
    load_by_id = {target.id: 0.0 for target in targets}
    for one in ranges:
        if one.instance in load_by_id:
            load_by_id[one.instance] += loads.range_load(one.first, one.last)
    return load_by_id


def plan_reassignment(
    service: str,
    lost: Sequence[core.RangeAssignment],
    ranges: Sequence[core.RangeAssignment],
    targets: Sequence[CandidateInstance],
    loads: key_loads.LoadProfile,
) -> list[LeaseMove]:
    """Return moves of lost ranges to the instances with the least load."""
    if not targets:
        return []
    load_by_id = _load_by_target(ranges, targets, loads)
    by_id = {target.id: target for target in targets}
    capacity = sum(target.capacity for target in targets) / len(targets)
    moves = []
    for one in lost:
        for first, last in _pieces(one, loads, capacity):
            size = loads.range_load(first, last)
            best = min(
                by_id, key=lambda id: (load_by_id[id] + size) / by_id[id].capacity
            )
            load_by_id[best] += size
            moves.append(LeaseMove(service, first, last, best, by_id[best].born))
    return moves


def _pieces(
    one: core.RangeAssignment, loads: key_loads.LoadProfile, capacity: float
) -> list[tuple[int, int]]:
    """Cut a range into at most three parts of about a fifth of a capacity."""
    size = loads.range_load(one.first, one.last)
    parts = max(1, min(3, round(5.0 * size / capacity)))
    pieces = []
    first = one.first
    for index in range(parts, 1, -1):
        left = loads.range_load(first, one.last)
        last = loads.split(first, one.last, left / index)
        if last >= one.last:
            break
        pieces.append((first, last))
        first = last + 1
    pieces.append((first, one.last))
    return pieces


def plan_balancing_moves(
    service: str,
    ranges: Sequence[core.RangeAssignment],
    targets: Sequence[CandidateInstance],
    loads: key_loads.LoadProfile,
    most: int,
) -> list[LeaseMove]:
    """Return moves from overloaded instances to those with the least utilization.

    Instances without keys get some from the most loaded in any case.
    """
    if len(targets) < 2:
        return []
    by_id = {target.id: target for target in targets}
    mean = loads.total / sum(target.capacity for target in targets)
    limit = max(LEAST_UTILIZATION, DEAD_BAND * mean)
    current = list(ranges)
    moves: list[LeaseMove] = []
    # An instance whose keys cannot be shed must not hide the next one.
    stuck: set[str] = set()
    while len(moves) < most and len(stuck) < len(targets):
        load_by_id = _load_by_target(current, targets, loads)
        use_by_id = {id: load_by_id[id] / by_id[id].capacity for id in by_id}
        holders = {one.instance for one in current}
        empty = [id for id in by_id if id not in holders]
        heaviest = max(set(by_id) - stuck, key=lambda id: use_by_id[id])
        lightest = empty[0] if empty else min(by_id, key=lambda id: use_by_id[id])
        if not empty and use_by_id[heaviest] <= limit:
            break
        held = [
            one
            for one in current
            if one.instance == heaviest
            and not any(
                move.first <= one.last and one.first <= move.last for move in moves
            )
        ]
        move = _shed(
            service, held, by_id[heaviest], by_id[lightest], loads, use_by_id
        ) or _move_whole(service, held, heaviest, targets, loads, use_by_id)
        if move is None:
            stuck.add(heaviest)
            continue
        moves.append(move)
        new = core.RangeAssignment(
            move.first, move.last, move.to_instance, move.to_born
        )
        current = [*core.cut(tuple(current), move.first, move.last), new]
    return moves


def _shed(
    service: str,
    held: Sequence[core.RangeAssignment],
    source: CandidateInstance,
    target: CandidateInstance,
    loads: key_loads.LoadProfile,
    use_by_id: Mapping[str, float],
) -> LeaseMove | None:
    """Return the move of a part of the held ranges that evens out two instances."""
    gap = use_by_id[source.id] - use_by_id[target.id]
    wanted = gap / (1.0 / source.capacity + 1.0 / target.capacity)
    if wanted <= 0.0:
        return None

    def move(first: int, last: int) -> LeaseMove:
        return LeaseMove(service, first, last, target.id, target.born)

    for one in _heaviest_first(held, loads):
        size = loads.range_load(one.first, one.last)
        if size <= wanted:
            return move(one.first, one.last)
        if one.first == one.last:
            continue
        last = loads.split(one.first, one.last, wanted)
        front = loads.range_load(one.first, last)
        if last < one.last and LEAST_PART * wanted <= front <= wanted:
            return move(one.first, last)
        # A hot key at the front stays; the rest behind it may go.
        cut_at = loads.split(one.first, one.last, size - wanted)
        back = loads.range_load(min(cut_at + 1, one.last), one.last)
        if cut_at < one.last and LEAST_PART * wanted <= back <= MOST_PART * wanted:
            return move(cut_at + 1, one.last)
    return None


def _move_whole(
    service: str,
    held: Sequence[core.RangeAssignment],
    heaviest: str,
    targets: Sequence[CandidateInstance],
    loads: key_loads.LoadProfile,
    use_by_id: Mapping[str, float],
) -> LeaseMove | None:
    """Return the move of a range that cannot be divided to a faster instance."""
    for one in _heaviest_first(held, loads):
        size = loads.range_load(one.first, one.last)
        use_after, best = min(
            (use_by_id[target.id] + size / target.capacity, target)
            for target in targets
            if target.id != heaviest
        )
        if use_after <= WORTHWHILE * use_by_id[heaviest]:
            return LeaseMove(service, one.first, one.last, best.id, best.born)
    return None


def _heaviest_first(
    held: Sequence[core.RangeAssignment], loads: key_loads.LoadProfile
) -> list[core.RangeAssignment]:
    return sorted(
        held, key=lambda one: loads.range_load(one.first, one.last), reverse=True
    )

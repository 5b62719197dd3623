"""Plan which instance holds which range of keys.

The load that this answers: most requests go to few keys that lie close together, and
these change within seconds; every move costs its keys a pause.
"""

from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from . import core

BUCKET_KEYS = 64
"""Requests are counted by this many neighbouring keys."""

BUCKETS = core.KEYS // BUCKET_KEYS

DEAD_BAND = 1.3
"""An instance sheds keys only beyond this multiple of its fair load."""

KEY_SHARE_WEIGHT = 0.15
"""Share of the load that is spread evenly over all keys, for ranges not yet seen."""


class Target(NamedTuple):
    """Describe an instance that may hold keys; ``speed`` is relative to 1."""

    id: str
    born: int
    slots: int
    speed: float = 1.0

    @property
    def capacity(self) -> float:
        """Return the load that the instance can take relative to others."""
        return max(1, self.slots) * self.speed


class Move(NamedTuple):
    """Move a range of one service to an instance."""

    service: str
    first: int
    last: int
    to_instance: str
    to_born: int


def smooth(counts: Sequence[float]) -> list[float]:
    """Return the load by bucket with an even share added; the sum is 1."""
    total = sum(counts)
    even = 1.0 / BUCKETS
    if total <= 0.0:
        return [even] * BUCKETS
    seen = 1.0 - KEY_SHARE_WEIGHT
    return [seen * count / total + KEY_SHARE_WEIGHT * even for count in counts]


def range_load(loads: Sequence[float], first: int, last: int) -> float:
    """Return the load of a range; a bucket that it cuts counts by its share."""
    total = 0.0
    for bucket in range(first // BUCKET_KEYS, last // BUCKET_KEYS + 1):
        start = max(first, bucket * BUCKET_KEYS)
        end = min(last, bucket * BUCKET_KEYS + BUCKET_KEYS - 1)
        total += loads[bucket] * (end - start + 1) / BUCKET_KEYS
    return total


def split_by_load(loads: Sequence[float], first: int, last: int, wanted: float) -> int:
    """Return the last key of the front part of a range that carries this load."""
    total = 0.0
    for bucket in range(first // BUCKET_KEYS, last // BUCKET_KEYS + 1):
        start = max(first, bucket * BUCKET_KEYS)
        end = min(last, bucket * BUCKET_KEYS + BUCKET_KEYS - 1)
        part = loads[bucket] * (end - start + 1) / BUCKET_KEYS
        if total + part >= wanted:
            share = (wanted - total) / part if part else 0.0
            return min(last, max(first, start + int(share * (end - start + 1)) - 1))
        total += part
    return last


def plan_all(
    service: str, targets: Sequence[Target], loads: Sequence[float]
) -> tuple[core.KeyRange, ...]:
    """Return ranges that give every instance its share of the load."""
    capacity = sum(target.capacity for target in targets)
    ranges: list[core.KeyRange] = []
    first = 0
    for index, target in enumerate(targets):
        last = core.KEYS - 1
        if index < len(targets) - 1:
            # Leave at least one key for each instance that follows.
            most = core.KEYS - (len(targets) - index)
            wanted = target.capacity / capacity
            last = min(most, split_by_load(loads, first, core.KEYS - 1, wanted))
        ranges.append(core.KeyRange(first, last, target.id, target.born))
        first = last + 1
    return tuple(ranges)


def _load_by_target(
    ranges: Iterable[core.KeyRange],
    targets: Sequence[Target],
    loads: Sequence[float],
) -> dict[str, float]:
    load_by_id = {target.id: 0.0 for target in targets}
    for one in ranges:
        if one.instance in load_by_id:
            load_by_id[one.instance] += range_load(loads, one.first, one.last)
    return load_by_id


def plan_loss(
    service: str,
    lost: Sequence[core.KeyRange],
    ranges: Sequence[core.KeyRange],
    targets: Sequence[Target],
    loads: Sequence[float],
) -> list[Move]:
    """Return moves of lost ranges to the instances with the least load."""
    if not targets:
        return []
    load_by_id = _load_by_target(ranges, targets, loads)
    by_id = {target.id: target for target in targets}
    moves = []
    for one in lost:
        pieces = _pieces(one, loads, len(targets))
        for first, last in pieces:
            size = range_load(loads, first, last)
            best = min(
                by_id, key=lambda id: (load_by_id[id] + size) / by_id[id].capacity
            )
            load_by_id[best] += size
            moves.append(Move(service, first, last, best, by_id[best].born))
    return moves


def _pieces(
    one: core.KeyRange, loads: Sequence[float], targets: int
) -> list[tuple[int, int]]:
    """Cut a range into parts of about a third of an instance's fair load."""
    size = range_load(loads, one.first, one.last)
    parts = max(1, min(3, round(3.0 * size * targets)))
    pieces = []
    first = one.first
    for index in range(parts, 1, -1):
        left = range_load(loads, first, one.last)
        last = split_by_load(loads, first, one.last, left / index)
        if last >= one.last:
            break
        pieces.append((first, last))
        first = last + 1
    pieces.append((first, one.last))
    return pieces


def plan_moves(
    service: str,
    ranges: Sequence[core.KeyRange],
    targets: Sequence[Target],
    loads: Sequence[float],
    most: int,
    dead_band: float = DEAD_BAND,
) -> list[Move]:
    """Return moves from overloaded instances to those with the least load."""
    if len(targets) < 2:
        return []
    capacity = sum(target.capacity for target in targets)
    by_id = {target.id: target for target in targets}
    current = list(ranges)
    moves: list[Move] = []
    moved: set[tuple[int, int]] = set()
    while len(moves) < most:
        load_by_id = _load_by_target(current, targets, loads)

        def pressure(id: str, of: Mapping[str, float] = load_by_id) -> float:
            return of[id] * capacity / by_id[id].capacity

        heaviest = max(by_id, key=pressure)
        lightest = min(by_id, key=pressure)
        if pressure(heaviest) <= dead_band:
            break
        surplus = (pressure(heaviest) - 1.0) * by_id[heaviest].capacity / capacity
        room = (1.0 - pressure(lightest)) * by_id[lightest].capacity / capacity
        wanted = min(surplus, room)
        move = _shed(service, current, heaviest, by_id[lightest], loads, wanted, moved)
        if move is None:
            break
        moves.append(move)
        moved.add((move.first, move.last))
        new = core.KeyRange(move.first, move.last, move.to_instance, move.to_born)
        current = list(
            core.merge([*core.cut(tuple(current), move.first, move.last), new])
        )
    return moves


def _shed(
    service: str,
    ranges: Sequence[core.KeyRange],
    heaviest: str,
    target: Target,
    loads: Sequence[float],
    wanted: float,
    moved: set[tuple[int, int]],
) -> Move | None:
    """Return the move of a part of the heaviest range that carries this load."""
    held = [one for one in ranges if one.instance == heaviest]
    if not held or wanted <= 0.0:
        return None
    one = max(held, key=lambda one: range_load(loads, one.first, one.last))
    if one.first == one.last or any(
        first <= one.last and one.first <= last for first, last in moved
    ):
        return None
    size = range_load(loads, one.first, one.last)
    if size <= wanted:
        return Move(service, one.first, one.last, target.id, target.born)
    last = split_by_load(loads, one.first, one.last, wanted)
    if last >= one.last:
        return None
    if range_load(loads, one.first, last) > 1.5 * wanted:
        # The first keys are too hot to move; the other end may be lighter.
        cut_at = split_by_load(loads, one.first, one.last, size - wanted)
        if cut_at >= one.last or cut_at < one.first:
            return None
        return Move(service, cut_at + 1, one.last, target.id, target.born)
    return Move(service, one.first, last, target.id, target.born)

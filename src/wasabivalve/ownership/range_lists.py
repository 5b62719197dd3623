"""Work with sorted lists of ranges and their ordered servers."""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from . import key_ranges


class ListedRange(NamedTuple):
    """Give positions [start, end) their servers in order of succession."""

    start: int
    end: int
    servers: tuple[str, ...]


class Unit(NamedTuple):
    """Name a part of the key space that is granted as a whole; key if single."""

    start: int
    end: int
    key: str
    servers: tuple[str, ...]


def find_problem(ranges: Sequence[ListedRange]) -> str | None:
    """Return why the ranges of an assignment are malformed, or None."""
    last = 0
    for item in ranges:
        if not last <= item.start < item.end <= key_ranges.POSITION_COUNT:
            return f"range {item.start} to {item.end} is empty, unsorted or overlaps"
        if not item.servers or len(set(item.servers)) != len(item.servers):
            return f"servers of range {item.start} are empty or repeated"
        last = item.end
    return None


def overlay(
    ranges: Sequence[ListedRange], updates: Sequence[ListedRange]
) -> tuple[ListedRange, ...]:
    """Return the ranges with those of the updates put in their place."""
    kept: list[ListedRange] = []
    position = 0
    for item in ranges:
        start = item.start
        while position < len(updates) and updates[position].end <= start:
            position += 1
        index = position
        while index < len(updates) and updates[index].start < item.end:
            if start < updates[index].start:
                kept.append(item._replace(start=start, end=updates[index].start))
            start = max(start, updates[index].end)
            index += 1
        if start < item.end:
            kept.append(item._replace(start=start))
    return tuple(sorted([*kept, *updates]))


def units_of(
    ranges: Sequence[ListedRange], servers_by_key: dict[str, tuple[str, ...]]
) -> tuple[Unit, ...]:
    """Return the ranges with each single key cut out as a unit of its own."""
    singles = sorted(
        (key_ranges.position_of_key(key), key, servers)
        for key, servers in servers_by_key.items()
    )
    units: list[Unit] = []
    index = 0
    for item in ranges:
        start = item.start
        while index < len(singles) and singles[index][0] < item.end:
            position, key, servers = singles[index]
            index += 1
            if position < start:
                continue
            if start < position:
                units.append(Unit(start, position, "", item.servers))
            units.append(Unit(position, position + 1, key, servers))
            start = position + 1
        if start < item.end:
            units.append(Unit(start, item.end, "", item.servers))
    return tuple(units)


def servers_in(ranges: Iterable[ListedRange]) -> set[str]:
    """Return all servers that the ranges list."""
    return {server for item in ranges for server in item.servers}

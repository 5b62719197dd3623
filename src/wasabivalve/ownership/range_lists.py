"""Combine and check sorted sequences of ranges with their server lists."""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from . import key_ranges


class ListedRange(NamedTuple):
    """Assign positions [start, end) to servers in order of succession."""

    start: int
    end: int
    servers: tuple[str, ...]


class GrantUnit(NamedTuple):
    """Name positions that are granted together; ``key`` is set for a single key."""

    start: int
    end: int
    key: str
    servers: tuple[str, ...]


def find_problem(ranges: Sequence[ListedRange]) -> str | None:
    """Return the reason why the ranges of an assignment are invalid, or None."""
    previous_end = 0
    for item in ranges:
        if not previous_end <= item.start < item.end <= key_ranges.POSITION_COUNT:
            return f"range {item.start} to {item.end} is empty, unsorted or overlaps"
        if not item.servers or len(set(item.servers)) != len(item.servers):
            return f"servers of range {item.start} are empty or repeated"
        previous_end = item.end
    return None


def overlay(
    ranges: Sequence[ListedRange], updates: Sequence[ListedRange]
) -> tuple[ListedRange, ...]:
    """Return the ranges with the updates in place of what they cover."""
    result: list[ListedRange] = []
    next_update = 0
    for item in ranges:
        start = item.start
        while next_update < len(updates) and updates[next_update].end <= start:
            next_update += 1
        index = next_update
        while index < len(updates) and updates[index].start < item.end:
            if start < updates[index].start:
                result.append(item._replace(start=start, end=updates[index].start))
            start = max(start, updates[index].end)
            index += 1
        if start < item.end:
            result.append(item._replace(start=start))
    return tuple(sorted([*result, *updates]))


def grant_units(
    ranges: Sequence[ListedRange], servers_by_key: dict[str, tuple[str, ...]]
) -> tuple[GrantUnit, ...]:
    """Return the ranges as units; each single key is a unit of its own."""
    singles = sorted(
        (key_ranges.position_of_key(key), key, servers)
        for key, servers in servers_by_key.items()
    )
    units: list[GrantUnit] = []
    index = 0
    for item in ranges:
        start = item.start
        while index < len(singles) and singles[index][0] < item.end:
            position, key, servers = singles[index]
            index += 1
            if position < start:
                continue
            if start < position:
                units.append(GrantUnit(start, position, "", item.servers))
            units.append(GrantUnit(position, position + 1, key, servers))
            start = position + 1
        if start < item.end:
            units.append(GrantUnit(start, item.end, "", item.servers))
    return tuple(units)


def servers_in(ranges: Iterable[ListedRange]) -> set[str]:
    """Return the servers of all ranges."""
    return {server for item in ranges for server in item.servers}

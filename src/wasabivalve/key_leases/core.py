"""Hold which instance is recorded for each range of keys."""

import bisect
from collections.abc import Mapping
from typing import NamedTuple

import msgspec

KEYS = 65_536
"""Keys of a divided service are numbered from 0 to 65535."""

TOKEN_BITS = 20
"""Low bits of a token that count the grants of one term."""


class RangeAssignment(NamedTuple):
    """Name the recorded holder of a range; both ends belong to it."""

    first: int
    last: int
    instance: str
    born: int


class AssignmentMap(NamedTuple):
    """Hold all recorded ranges, the term and the controller that wrote them.

    ``term`` is the position of the claim in the ledger: it only rises. ``writer_id`` is
    unique to one life of a controller and ``write_number`` counts its writes.
    ``predecessors`` are the VMs that may still order in earlier terms.
    """

    term: int
    controller_vm: str
    writer_id: str
    write_number: int
    ranges_by_service: Mapping[str, tuple[RangeAssignment, ...]]
    predecessors: tuple[str, ...] = ()

    def find_range(self, service: str, key: int) -> RangeAssignment | None:
        """Return the range of a key, or None where none is recorded."""
        ranges = self.ranges_by_service.get(service, ())
        index = bisect.bisect_right(ranges, key, key=lambda one: one.first) - 1
        if index < 0 or ranges[index].last < key:
            return None
        return ranges[index]


EMPTY_MAP = AssignmentMap(-1, "", "", 0, {})


def encode(assignment_map: AssignmentMap) -> bytes:
    """Return the bytes of a map."""
    return msgspec.msgpack.encode(assignment_map)


def decode(data: bytes) -> AssignmentMap:
    """Return a map; raise ``msgspec.DecodeError`` for other bytes."""
    return msgspec.msgpack.decode(data, type=AssignmentMap)


def token(term: int, step: int) -> int:
    """Return the fencing token of a grant; higher terms give higher tokens."""
    return (term << TOKEN_BITS) | step


def merge(ranges: list[RangeAssignment]) -> tuple[RangeAssignment, ...]:
    """Return the ranges in order, with neighbours of one holder joined."""
    merged: list[RangeAssignment] = []
    for one in sorted(ranges):
        if merged and merged[-1].last + 1 == one.first and merged[-1][2:] == one[2:]:
            merged[-1] = merged[-1]._replace(last=one.last)
        else:
            merged.append(one)
    return tuple(merged)


def cut(
    ranges: tuple[RangeAssignment, ...], first: int, last: int
) -> list[RangeAssignment]:
    """Return the parts of the ranges that lie outside of first to last."""
    kept = []
    for one in ranges:
        if one.first < first:
            kept.append(one._replace(last=min(one.last, first - 1)))
        if one.last > last:
            kept.append(one._replace(first=max(one.first, last + 1)))
    return [one for one in kept if one.first <= one.last]

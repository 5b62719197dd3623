"""Define the assignment of key ranges to instances, its encoding and fencing tokens."""

import bisect
from collections.abc import Mapping
from typing import NamedTuple

import msgspec

from wasabivalve import untrusted_data

KEY_COUNT = 65_536
"""Keys of a partitioned service are numbered from 0 to 65535."""

GRANT_NUMBER_BITS = 20
"""Low bits of a fencing token, which number the grants of one term."""


OFFSET_BITS = 26
"""Low bits of a term, for the offset of its claim; the higher ones hold the era.

67 million records are years of moves. Tokens of up to 127 eras stay below 2**53, the
largest integer that all readers of JSON agree on.
"""

UNKNOWN_VM = "*"
"""Predecessor that stands for controllers whose claims the store has lost.

Holders of keys are not known for certain while a map names it.
"""


class RangeAssignment(NamedTuple):
    """Assign a range of keys, ``first`` and ``last`` included, to an instance.

    ``born`` identifies the incarnation of the instance.
    """

    first: int
    last: int
    instance: str
    born: int


class AssignmentMap(NamedTuple):
    """Hold all assigned ranges, the term and the controller that wrote them.

    ``term`` is the era of the store and the offset of the term's claim in the
    assignment log, so it only rises. ``writer_id`` is unique to one incarnation of a
    controller, and ``write_number`` counts its writes. ``predecessors`` are the VMs
    that may still grant in earlier terms.
    """

    term: int
    controller_vm: str
    writer_id: str
    write_number: int
    ranges_by_service: Mapping[str, tuple[RangeAssignment, ...]]
    predecessors: tuple[str, ...] = ()

    @property
    def version(self) -> tuple[int, int]:
        """Return the term and the write number, which order all maps."""
        return self.term, self.write_number

    def find_range(self, service: str, key: int) -> RangeAssignment | None:
        """Return the assigned range that contains a key, or None without one."""
        ranges = self.ranges_by_service.get(service, ())
        index = (
            bisect.bisect_right(ranges, key, key=lambda assignment: assignment.first)
            - 1
        )
        if index < 0 or ranges[index].last < key:
            return None
        return ranges[index]


EMPTY_MAP = AssignmentMap(-1, "", "", 0, {})


def encode(assignment_map: AssignmentMap) -> bytes:
    """Return a map as MessagePack."""
    return msgspec.msgpack.encode(assignment_map)


def decode(data: bytes) -> AssignmentMap:
    """Return the map of an encoding; raise ``UndecodableError`` for others."""
    assignment_map: AssignmentMap = untrusted_data.decode_msgpack(data, AssignmentMap)
    return assignment_map


def first_term(era: int) -> int:
    """Return the term of a claim at offset 0, above all terms of earlier eras."""
    return era << OFFSET_BITS


def fencing_token(term: int, grant_number: int) -> int:
    """Return the fencing token of a grant; later terms have higher tokens."""
    return (term << GRANT_NUMBER_BITS) | grant_number


def merge_ranges(ranges: list[RangeAssignment]) -> tuple[RangeAssignment, ...]:
    """Return the ranges in key order, with adjacent ranges of one holder joined."""
    merged: list[RangeAssignment] = []
    for assignment in sorted(ranges):
        if (
            merged
            and merged[-1].last + 1 == assignment.first
            and merged[-1][2:] == assignment[2:]
        ):
            merged[-1] = merged[-1]._replace(last=assignment.last)
        else:
            merged.append(assignment)
    return tuple(merged)


def subtract_range(
    ranges: tuple[RangeAssignment, ...], first: int, last: int
) -> list[RangeAssignment]:
    """Return the parts of the ranges outside the keys from first to last."""
    remaining = []
    for assignment in ranges:
        if assignment.first < first:
            remaining.append(assignment._replace(last=min(assignment.last, first - 1)))
        if assignment.last > last:
            remaining.append(assignment._replace(first=max(assignment.first, last + 1)))
    return [
        assignment for assignment in remaining if assignment.first <= assignment.last
    ]

"""Draft the changes of the ordered server lists in the log."""

import itertools
from collections.abc import Callable, Sequence
from typing import NamedTuple

from wasabivalve import rendezvous

from ..schema import records_generated
from . import decisions, key_ranges, range_lists, replay, tenure

SERVERS_PER_LIST = 3
RANGES_PER_SERVER = 64
MAX_CHANGES_PER_RECORD = 512

InitialPlanner = Callable[[Sequence[str]], tuple[range_lists.ListedRange, ...]]


class ServiceServers(NamedTuple):
    """Hold the servers of the service and which of them are leaving."""

    servers: tuple[str, ...] = ()
    leaving: frozenset[str] = frozenset()

    def staying(self) -> list[str]:
        """Return the servers that may get ranges."""
        return [name for name in self.servers if name not in self.leaving]


class AssignmentDraft(NamedTuple):
    """Hold the changes of one assignment record and the moves that it starts."""

    ranges: list[records_generated.RangeServers]
    exceptions: list[records_generated.KeyServers]
    removed_exceptions: list[str]
    target_by_span: dict[tenure.Span, str]

    def is_empty(self) -> bool:
        """Return whether no list changes."""
        return not (self.ranges or self.exceptions or self.removed_exceptions)


def plan_initial_ranges(
    servers: Sequence[str], ranges_per_server: int = RANGES_PER_SERVER
) -> tuple[range_lists.ListedRange, ...]:
    """Return ranges of equal size, assigned to the servers in turn."""
    count = ranges_per_server * len(servers)
    bounds = [key_ranges.POSITION_COUNT * index // count for index in range(count + 1)]
    return tuple(
        range_lists.ListedRange(
            start, end, _complete_list([servers[index % len(servers)]], servers, start)
        )
        for index, (start, end) in enumerate(itertools.pairwise(bounds))
    )


def draft_assignment(
    current_tenure: tenure.Tenure,
    service_servers: ServiceServers,
    moves: Sequence[decisions.MoveRequest],
    now: float,
) -> AssignmentDraft:
    """Return the changes that requested moves and changed servers need."""
    result = AssignmentDraft([], [], [], {})
    usable_servers = [
        name
        for name in current_tenure.usable_servers(now)
        if name in service_servers.servers
    ]
    for span, unit in current_tenure.unit_by_span.items():
        if len(result.ranges) + len(result.exceptions) >= MAX_CHANGES_PER_RECORD:
            return result
        requested_moves = _overlapping_moves(unit, moves)
        if requested_moves:
            # Later moves of the same unit would need its new bounds.
            _add_move(result, unit, requested_moves[0], service_servers)
        elif span not in current_tenure.target_by_span:
            _add_repair(result, current_tenure, unit, service_servers, usable_servers)
    return result


def _overlapping_moves(
    unit: range_lists.GrantUnit, moves: Sequence[decisions.MoveRequest]
) -> list[decisions.MoveRequest]:
    overlapping = []
    for move in moves:
        position = key_ranges.position_of_key(move.key) if move.key else 0
        start, end = (position, position + 1) if move.key else (move.start, move.end)
        if start < unit.end and unit.start < end:
            overlapping.append(move)
    return overlapping


def _add_move(
    result: AssignmentDraft,
    unit: range_lists.GrantUnit,
    move: decisions.MoveRequest,
    service_servers: ServiceServers,
) -> None:
    """Add the part of a move that lies in the unit; ignore an invalid move."""
    if not move.target and move.key and move.key == unit.key:
        result.removed_exceptions.append(move.key)
        return
    is_single = bool(unit.key)
    if move.target not in service_servers.staying() or (
        is_single and unit.key != move.key
    ):
        return
    part = unit._replace(
        start=max(move.start, unit.start), end=min(move.end, unit.end), key=move.key
    )
    if move.key:
        position = key_ranges.position_of_key(move.key)
        part = part._replace(start=position, end=position + 1)
    result.target_by_span[(part.start, part.end)] = move.target
    servers = _complete_list(
        [move.target, *unit.servers], service_servers.staying(), part.start
    )
    if servers != unit.servers or part != unit:
        _add_servers(result, part, servers)


def _add_servers(
    result: AssignmentDraft, unit: range_lists.GrantUnit, servers: tuple[str, ...]
) -> None:
    if unit.key:
        result.exceptions.append({"key": unit.key, "servers": list(servers)})
        return
    result.ranges.append(
        {"start": unit.start, "end": unit.end, "servers": list(servers)}
    )


def _add_repair(
    result: AssignmentDraft,
    current_tenure: tenure.Tenure,
    unit: range_lists.GrantUnit,
    service_servers: ServiceServers,
    usable_servers: Sequence[str],
) -> None:
    """Add the list of a unit if a loss, a join or an uncommitted owner changes it."""
    span = (unit.start, unit.end)
    owner = current_tenure.owner_by_span.get(span)
    staying = service_servers.staying()
    if owner in staying:
        servers = _complete_list([owner, *unit.servers], staying, unit.start)
    else:
        candidates = [
            name for name in unit.servers if name in usable_servers and name != owner
        ]
        if owner is None and candidates:
            return
        candidates += rendezvous.rank_names(str(unit.start), usable_servers)
        if not candidates:
            return
        servers = _complete_list([candidates[0], *unit.servers], staying, unit.start)
        result.target_by_span[span] = candidates[0]
    if servers != unit.servers:
        _add_servers(result, unit, servers)


def _complete_list(
    preferred: Sequence[str], staying: Sequence[str], start: int
) -> tuple[str, ...]:
    """Return a full list: the preferred servers, then chosen successors."""
    listed = list(dict.fromkeys(preferred))
    servers = listed[:1] + [name for name in listed[1:] if name in staying]
    if len(servers) < SERVERS_PER_LIST:
        servers += rendezvous.rank_names(str(start), staying)
    return tuple(dict.fromkeys(servers))[:SERVERS_PER_LIST]


def assignment_record(
    record_id: str, shard: str, state: replay.Shard, changes: AssignmentDraft
) -> records_generated.Assignment:
    """Return the record that applies the changes to the present revision."""
    return {
        "kind": "assignment",
        "record_id": record_id,
        "shard": shard,
        "term": state.term,
        "revision": state.revision,
        "ranges": sorted(changes.ranges, key=lambda item: item["start"]),
        "exceptions": changes.exceptions,
        "removed_exceptions": sorted(set(changes.removed_exceptions)),
    }


def initial_draft(ranges: Sequence[range_lists.ListedRange]) -> AssignmentDraft:
    """Return the draft that creates the first lists of a shard."""
    first_ranges: list[records_generated.RangeServers] = [
        {"start": item.start, "end": item.end, "servers": list(item.servers)}
        for item in ranges
    ]
    return AssignmentDraft(first_ranges, [], [], {})

"""Write the ordered server lists that the log should contain."""

import itertools
from collections.abc import Callable, Sequence
from typing import NamedTuple

from wasabivalve import rendezvous

from ..schema import records_generated
from . import decisions, key_ranges, range_lists, replay, tenure

LIST_LENGTH = 3
RANGES_PER_SERVER = 64
MAX_CHANGES_PER_RECORD = 512

PlanInitial = Callable[[Sequence[str]], tuple[range_lists.ListedRange, ...]]


class Services(NamedTuple):
    """Name the servers of the service and those that are leaving."""

    servers: tuple[str, ...] = ()
    leaving: frozenset[str] = frozenset()

    def staying(self) -> list[str]:
        """Return the servers that may get ranges."""
        return [name for name in self.servers if name not in self.leaving]


class Draft(NamedTuple):
    """Hold the changes of one assignment and the moves that it starts."""

    ranges: list[records_generated.RangeServers]
    exceptions: list[records_generated.KeyServers]
    removed_exceptions: list[str]
    target_by_span: dict[tenure.Span, str]

    def is_empty(self) -> bool:
        """Return whether nothing changes."""
        return not (self.ranges or self.exceptions or self.removed_exceptions)


def plan_initial(
    servers: Sequence[str], ranges_per_server: int = RANGES_PER_SERVER
) -> tuple[range_lists.ListedRange, ...]:
    """Return equal ranges, dealt to the servers in turn."""
    count = ranges_per_server * len(servers)
    bounds = [key_ranges.POSITION_COUNT * index // count for index in range(count + 1)]
    return tuple(
        range_lists.ListedRange(
            start, end, _filled([servers[index % len(servers)]], servers, start)
        )
        for index, (start, end) in enumerate(itertools.pairwise(bounds))
    )


def draft(
    held: tenure.Tenure,
    services: Services,
    moves: Sequence[decisions.MoveRequest],
    now: float,
) -> Draft:
    """Return the lists that differ from the committed ones."""
    result = Draft([], [], [], {})
    usable = [name for name in held.usable_servers(now) if name in services.servers]
    for span, unit in held.unit_by_span.items():
        if len(result.ranges) + len(result.exceptions) >= MAX_CHANGES_PER_RECORD:
            return result
        requested = _moves_of(unit, moves)
        if requested:
            # Later moves of the same unit would need its new boundaries.
            _add_move(result, unit, requested[0], services)
        elif span not in held.target_by_span:
            _add_upkeep(result, held, unit, services, usable)
    return result


def _moves_of(
    unit: range_lists.Unit, moves: Sequence[decisions.MoveRequest]
) -> list[decisions.MoveRequest]:
    found = []
    for move in moves:
        at = key_ranges.position_of_key(move.key) if move.key else 0
        start, end = (at, at + 1) if move.key else (move.start, move.end)
        if start < unit.end and unit.start < end:
            found.append(move)
    return found


def _add_move(
    result: Draft,
    unit: range_lists.Unit,
    move: decisions.MoveRequest,
    services: Services,
) -> None:
    """Add the part of a move that concerns a unit; ignore an impossible one."""
    if not move.target and move.key and move.key == unit.key:
        result.removed_exceptions.append(move.key)
        return
    is_single = bool(unit.key)
    if move.target not in services.staying() or (is_single and unit.key != move.key):
        return
    part = unit._replace(
        start=max(move.start, unit.start), end=min(move.end, unit.end), key=move.key
    )
    if move.key:
        at = key_ranges.position_of_key(move.key)
        part = part._replace(start=at, end=at + 1)
    result.target_by_span[(part.start, part.end)] = move.target
    servers = _filled([move.target, *unit.servers], services.staying(), part.start)
    if servers != unit.servers or part != unit:
        _add_list(result, part, servers)


def _add_list(result: Draft, unit: range_lists.Unit, servers: tuple[str, ...]) -> None:
    if unit.key:
        result.exceptions.append({"key": unit.key, "servers": list(servers)})
        return
    result.ranges.append(
        {"start": unit.start, "end": unit.end, "servers": list(servers)}
    )


def _add_upkeep(
    result: Draft,
    held: tenure.Tenure,
    unit: range_lists.Unit,
    services: Services,
    usable: Sequence[str],
) -> None:
    """Add the list of a unit if a loss, a join or a provisional move changes it."""
    span = (unit.start, unit.end)
    owner = held.owner_by_span.get(span)
    staying = services.staying()
    if owner in staying:
        servers = _filled([owner, *unit.servers], staying, unit.start)
    else:
        others = [name for name in unit.servers if name in usable and name != owner]
        if owner is None and others:
            return
        others += rendezvous.rank_names(str(unit.start), usable)
        if not others:
            return
        servers = _filled([others[0], *unit.servers], staying, unit.start)
        result.target_by_span[span] = others[0]
    if servers != unit.servers:
        _add_list(result, unit, servers)


def _filled(
    first: Sequence[str], staying: Sequence[str], start: int
) -> tuple[str, ...]:
    """Return a full list: the first server, then known and chosen successors."""
    listed = list(dict.fromkeys(first))
    kept = listed[:1] + [name for name in listed[1:] if name in staying]
    if len(kept) < LIST_LENGTH:
        kept += rendezvous.rank_names(str(start), staying)
    return tuple(dict.fromkeys(kept))[:LIST_LENGTH]


def as_record(
    record_id: str, shard: str, state: replay.Shard, changes: Draft
) -> records_generated.Assignment:
    """Return the record that commits the changes to the present revision."""
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


def initial_draft(ranges: Sequence[range_lists.ListedRange]) -> Draft:
    """Return the changes that create the first lists of a shard."""
    listed: list[records_generated.RangeServers] = [
        {"start": item.start, "end": item.end, "servers": list(item.servers)}
        for item in ranges
    ]
    return Draft(listed, [], [], {})

"""Replay the control stream of the log.

Every reader applies the same records in the same order and so reaches the same state.
A record whose precondition does not hold at its offset has no effect.
"""

import dataclasses
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from . import range_lists

SCHEMA_VERSION = 1
# A duplicate that is older than this window fails its precondition instead.
RECENT_RECORD_IDS = 1024
FORMER_SERVERS = 64


class Shard(NamedTuple):
    """Hold the agreed state of one shard."""

    group_revision: int = 0
    group: tuple[str, ...] = ()
    reset_offset: int = -1
    term: int = -1
    controllers: tuple[str, ...] = ()
    revision: int = 0
    ranges: tuple[range_lists.ListedRange, ...] = ()
    servers_by_key: dict[str, tuple[str, ...]] = {}
    former_servers: tuple[str, ...] = ()

    @property
    def majority(self) -> int:
        """Return how many VMs make a majority of the group."""
        return len(self.group) // 2 + 1

    def listed_servers(self) -> set[str]:
        """Return the servers of all ranges and single keys."""
        singles = self.servers_by_key.values()
        listed = range_lists.servers_in(self.ranges)
        return listed | {server for servers in singles for server in servers}


class SnapshotParts(NamedTuple):
    """Collect the chunks of one snapshot."""

    covers_offset: int
    chunks: int
    record_by_chunk: dict[int, Mapping[str, Any]]


@dataclasses.dataclass(frozen=True, slots=True)
class ControlState:
    """Hold the agreed state of all shards before ``next_offset``.

    A state that is not ``complete`` misses records and must not be acted on.
    ``snapshot_offset`` is that of the last snapshot record.
    """

    next_offset: int = 0
    shard_by_name: Mapping[str, Shard] = dataclasses.field(default_factory=dict)
    recent_record_ids: tuple[str, ...] = ()
    snapshot_offset: int = 0
    complete: bool = True
    gap_start: int = 0
    records_after_gap: tuple[tuple[int, Mapping[str, Any]], ...] = ()
    parts_by_snapshot: Mapping[str, SnapshotParts] = dataclasses.field(
        default_factory=dict
    )

    def shard(self, name: str) -> Shard:
        """Return the state of a shard, empty when no record names it."""
        return self.shard_by_name.get(name, Shard())


class ControlRecordResult(NamedTuple):
    """Carry the state after a record and, if it had no effect, the reason."""

    state: ControlState
    accepted: bool
    reason: str = ""


def apply(
    state: ControlState, offset: int, record: Mapping[str, Any]
) -> ControlRecordResult:
    """Apply the record at an offset; it never raises for a malformed record."""
    if offset < state.next_offset:
        return ControlRecordResult(state, False, f"offset {offset} was applied before")
    if offset > state.next_offset:
        state = with_gap(state, offset)
    state = dataclasses.replace(state, next_offset=offset + 1)
    if not isinstance(record, Mapping):
        return ControlRecordResult(state, False, "record is not an object")
    if not state.complete:
        return _apply_after_gap(state, offset, record)
    return _apply_in_order(state, offset, record)


def with_gap(state: ControlState, oldest_offset: int) -> ControlState:
    """Return a state that lacks the records before ``oldest_offset``."""
    if oldest_offset <= state.next_offset:
        return state
    return ControlState(
        next_offset=oldest_offset, complete=False, gap_start=oldest_offset
    )


def _apply_in_order(
    state: ControlState, offset: int, record: Mapping[str, Any]
) -> ControlRecordResult:
    if record.get("kind") == "snapshot":
        state = dataclasses.replace(state, snapshot_offset=offset)
    problem = _problem_of_envelope(record)
    if problem is not None:
        return ControlRecordResult(state, False, problem)
    record_id = record["record_id"]
    if record_id in state.recent_record_ids:
        return ControlRecordResult(
            state, False, f"record id {record_id} is a duplicate"
        )
    kept = (*state.recent_record_ids, record_id)[-RECENT_RECORD_IDS:]
    state = dataclasses.replace(state, recent_record_ids=kept)
    name = record["shard"]
    try:
        outcome = _RULE_BY_KIND[record["kind"]](state.shard(name), offset, record)
    except (LookupError, TypeError, ValueError, AttributeError) as error:
        return ControlRecordResult(state, False, f"record is malformed: {error!r}")
    if isinstance(outcome, str):
        return ControlRecordResult(state, False, outcome)
    shards = {**state.shard_by_name, name: outcome}
    return ControlRecordResult(dataclasses.replace(state, shard_by_name=shards), True)


def _problem_of_envelope(record: Mapping[str, Any]) -> str | None:
    kind = record.get("kind")
    if kind == "snapshot":
        return "snapshot is not needed"
    if kind not in _RULE_BY_KIND:
        return f"kind {kind!r} is unknown"
    version = record.get("schema_version", SCHEMA_VERSION)
    if version != SCHEMA_VERSION:
        return f"schema version {version!r} is unknown"
    names = (record.get("record_id"), record.get("shard"))
    if not all(isinstance(name, str) and name for name in names):
        return "record id or shard is missing"
    return None


def _apply_after_gap(
    state: ControlState, offset: int, record: Mapping[str, Any]
) -> ControlRecordResult:
    """Keep the record, and leave the gap when a snapshot is complete."""
    kept = (*state.records_after_gap, (offset, record))
    waiting = dataclasses.replace(state, records_after_gap=kept)
    refused = ControlRecordResult(
        waiting, False, "records were missed; a snapshot is needed"
    )
    if record.get("kind") != "snapshot":
        return refused
    try:
        parts = _with_chunk(state, record)
        if parts is None:
            return refused
        identifier = _snapshot_of(record)
        all_parts = {**state.parts_by_snapshot, identifier: parts}
        waiting = dataclasses.replace(state, parts_by_snapshot=all_parts)
        if len(parts.record_by_chunk) < parts.chunks:
            return ControlRecordResult(waiting, False, "snapshot lacks chunks")
        restored = _import(parts)
    except (LookupError, TypeError, ValueError, AttributeError) as error:
        return ControlRecordResult(state, False, f"snapshot is malformed: {error!r}")
    for earlier, kept_record in state.records_after_gap:
        if earlier >= parts.covers_offset:
            restored = apply(restored, earlier, kept_record).state
    restored = dataclasses.replace(
        restored, next_offset=offset + 1, snapshot_offset=offset
    )
    return ControlRecordResult(restored, True)


def _with_chunk(state: ControlState, record: Mapping[str, Any]) -> SnapshotParts | None:
    """Return the chunks with this one, None if the snapshot leaves the gap."""
    covers_offset, chunks = record["covers_offset"], record["chunks"]
    if covers_offset < state.gap_start or record.get("schema_version", 1) != 1:
        return None
    empty = SnapshotParts(covers_offset, chunks, {})
    parts = state.parts_by_snapshot.get(_snapshot_of(record), empty)
    if (parts.covers_offset, parts.chunks) != (covers_offset, chunks):
        raise ValueError("chunks disagree")
    if not 0 <= record["chunk"] < chunks:
        raise ValueError(f"chunk {record['chunk']} of {chunks}")
    collected = {**parts.record_by_chunk, record["chunk"]: record}
    return parts._replace(record_by_chunk=collected)


def _snapshot_of(record: Mapping[str, Any]) -> str:
    return str(record["record_id"]).rpartition("/")[0]


def _import(parts: SnapshotParts) -> ControlState:
    shards: dict[str, Shard] = {}
    identifiers: list[str] = []
    for _, record in sorted(parts.record_by_chunk.items()):
        identifiers += record["recent_record_ids"]
        for portion in record["shards"]:
            name = portion["shard"]
            before = shards.get(name, Shard())
            shards[name] = _with_portion(before, portion)
    return ControlState(parts.covers_offset, shards, tuple(identifiers))


def _with_portion(before: Shard, portion: Mapping[str, Any]) -> Shard:
    singles = {item["key"]: tuple(item["servers"]) for item in portion["exceptions"]}
    return Shard(
        group_revision=portion["group_revision"],
        group=tuple(portion["group"]),
        reset_offset=portion["reset_offset"],
        term=portion["term"],
        controllers=tuple(portion["controllers"]),
        revision=portion["revision"],
        ranges=before.ranges + _listed(portion["ranges"]),
        servers_by_key={**before.servers_by_key, **singles},
        former_servers=tuple(portion["former_servers"]),
    )


def _listed(items: list[Mapping[str, Any]]) -> tuple[range_lists.ListedRange, ...]:
    return tuple(
        range_lists.ListedRange(
            int(item["start"]), int(item["end"]), tuple(item["servers"])
        )
        for item in items
    )


def _problem_of_endorsements(shard: Shard, record: Mapping[str, Any]) -> str | None:
    current = {
        item["vm"]
        for item in record["endorsements"]
        if item["group_revision"] == shard.group_revision
    }
    if shard.group and len(current & set(shard.group)) < shard.majority:
        return "endorsements of a majority of the group are missing"
    return None


def _group_change(shard: Shard, offset: int, record: Mapping[str, Any]) -> Shard | str:
    if record["group_revision"] != shard.group_revision:
        return f"group revision is {shard.group_revision}"
    added, removed = record["add"], record["remove"]
    if len(added) + len(removed) != 1:
        return "a group change adds or removes exactly one VM"
    if any(vm in shard.group for vm in added):
        return f"VM {added[0]} is in the group"
    if any(vm not in shard.group or len(shard.group) == 1 for vm in removed):
        return f"VM {removed[0]} is not in the group or is the last one"
    problem = _problem_of_endorsements(shard, record)
    if problem is not None:
        return problem
    left = tuple(vm for vm in shard.group if vm not in removed)
    group = (*left, *added)
    return shard._replace(group=group, group_revision=shard.group_revision + 1)


def _group_reset(shard: Shard, offset: int, record: Mapping[str, Any]) -> Shard | str:
    if record["group_revision"] != shard.group_revision:
        return f"group revision is {shard.group_revision}"
    group = tuple(record["vms"])
    if not group or len(set(group)) != len(group):
        return "group is empty or repeats a VM"
    return shard._replace(
        group=group, group_revision=shard.group_revision + 1, reset_offset=offset
    )


def _term_claim(shard: Shard, offset: int, record: Mapping[str, Any]) -> Shard | str:
    if record["previous_term"] != shard.term:
        return f"term is {shard.term}"
    if record["group_revision"] != shard.group_revision or not shard.group:
        return f"group revision is {shard.group_revision}"
    if not record["controllers"]:
        return "claim lists no controller"
    problem = _problem_of_endorsements(shard, record)
    if problem is not None:
        return problem
    reset_offset = -1 if record["reset_is_over"] else shard.reset_offset
    return shard._replace(
        term=offset,
        controllers=tuple(record["controllers"]),
        reset_offset=reset_offset,
    )


def _assignment(shard: Shard, offset: int, record: Mapping[str, Any]) -> Shard | str:
    if record["term"] != shard.term or shard.term < 0:
        return f"term is {shard.term}"
    if record["revision"] != shard.revision:
        return f"revision is {shard.revision}"
    updates = _listed(record["ranges"])
    problem = range_lists.find_problem(updates)
    if problem is not None:
        return problem
    singles = dict(shard.servers_by_key)
    for key in record["removed_exceptions"]:
        singles.pop(key, None)
    for item in record["exceptions"]:
        singles[item["key"]] = tuple(item["servers"])
    if not all(singles.values()):
        return "servers of a single key are empty"
    changed = shard._replace(
        ranges=range_lists.overlay(shard.ranges, updates),
        servers_by_key=singles,
        revision=shard.revision + 1,
    )
    return changed._replace(former_servers=_former(shard, changed))


def _former(before: Shard, after: Shard) -> tuple[str, ...]:
    """Return the servers that were listed once and may still hold ranges."""
    listed = after.listed_servers()
    dropped = sorted(before.listed_servers() - listed)
    kept = [name for name in before.former_servers if name not in listed]
    return tuple([*kept, *dropped][-FORMER_SERVERS:])


_RULE_BY_KIND: Mapping[str, Callable[[Shard, int, Mapping[str, Any]], Shard | str]] = {
    "group_change": _group_change,
    "group_reset": _group_reset,
    "term_claim": _term_claim,
    "assignment": _assignment,
}

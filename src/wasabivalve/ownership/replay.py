"""Replay the control stream of the log.

Every reader applies the same records in the same order and so reaches the same state.
A record has no effect if its precondition does not hold at its offset.
"""

import dataclasses
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from wasabivalve import untrusted_data

from . import range_lists

SCHEMA_VERSION = 1
# A duplicate of an older record fails its precondition instead.
MAX_RECENT_RECORD_IDS = 1024
MAX_FORMER_SERVERS = 64
MAX_PROBLEM_CHARACTERS = 200

MALFORMED_ERRORS = (
    LookupError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
    RecursionError,
)
"""What applying a record raises whose fields have other forms than expected."""


class Shard(NamedTuple):
    """Hold the state of one shard that all readers of the log agree on."""

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
        """Return the number of VMs that form a majority of the group."""
        return len(self.group) // 2 + 1

    def listed_servers(self) -> set[str]:
        """Return the servers of all ranges and single keys."""
        lists_of_keys = self.servers_by_key.values()
        listed = range_lists.servers_in(self.ranges)
        return listed | {server for servers in lists_of_keys for server in servers}


class SnapshotChunks(NamedTuple):
    """Collect the chunks of one snapshot."""

    covers_offset: int
    chunk_count: int
    record_by_chunk: dict[int, Mapping[str, Any]]


@dataclasses.dataclass(frozen=True, slots=True)
class ControlState:
    """Hold the state of all shards after the records before ``next_offset``.

    A state that is not ``complete`` lacks records and must not be acted on.
    ``snapshot_offset`` is the offset of the last snapshot record.
    """

    next_offset: int = 0
    shard_by_name: Mapping[str, Shard] = dataclasses.field(default_factory=dict)
    recent_record_ids: tuple[str, ...] = ()
    snapshot_offset: int = 0
    complete: bool = True
    gap_start: int = 0
    records_after_gap: tuple[tuple[int, Mapping[str, Any]], ...] = ()
    chunks_by_snapshot: Mapping[str, SnapshotChunks] = dataclasses.field(
        default_factory=dict
    )

    def shard(self, name: str) -> Shard:
        """Return the state of a shard, empty if no record names it."""
        return self.shard_by_name.get(name, Shard())


class ControlRecordResult(NamedTuple):
    """Hold the state after a record and, if it had no effect, the reason."""

    state: ControlState
    accepted: bool
    reason: str = ""


def apply(
    state: ControlState, offset: int, record: Mapping[str, Any]
) -> ControlRecordResult:
    """Apply the record at an offset; a malformed record has no effect."""
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
    problem = _envelope_problem(record)
    if problem is not None:
        return ControlRecordResult(state, False, problem)
    record_id = record["record_id"]
    if record_id in state.recent_record_ids:
        return ControlRecordResult(
            state, False, f"record id {record_id} is a duplicate"
        )
    record_ids = (*state.recent_record_ids, record_id)[-MAX_RECENT_RECORD_IDS:]
    state = dataclasses.replace(state, recent_record_ids=record_ids)
    name = record["shard"]
    try:
        shard_or_problem = _APPLY_BY_KIND[record["kind"]](
            state.shard(name), offset, record
        )
    except MALFORMED_ERRORS as error:
        shown = untrusted_data.excerpt(error, MAX_PROBLEM_CHARACTERS)
        return ControlRecordResult(state, False, f"record is malformed: {shown}")
    if isinstance(shard_or_problem, str):
        return ControlRecordResult(state, False, shard_or_problem)
    shards = {**state.shard_by_name, name: shard_or_problem}
    return ControlRecordResult(dataclasses.replace(state, shard_by_name=shards), True)


def _envelope_problem(record: Mapping[str, Any]) -> str | None:
    kind = record.get("kind")
    if kind == "snapshot":
        return "snapshot is not needed"
    if not isinstance(kind, str) or kind not in _APPLY_BY_KIND:
        return f"kind {untrusted_data.excerpt(kind)} is unknown"
    version = record.get("schema_version", SCHEMA_VERSION)
    if version != SCHEMA_VERSION:
        return f"schema version {untrusted_data.excerpt(version)} is unknown"
    names = (record.get("record_id"), record.get("shard"))
    if not all(isinstance(name, str) and name for name in names):
        return "record id or shard is missing"
    return None


def _apply_after_gap(
    state: ControlState, offset: int, record: Mapping[str, Any]
) -> ControlRecordResult:
    """Store the record; restore the state once all chunks of a snapshot arrived."""
    records = (*state.records_after_gap, (offset, record))
    incomplete = dataclasses.replace(state, records_after_gap=records)
    without_effect = ControlRecordResult(
        incomplete, False, "records were missed; a snapshot is needed"
    )
    if record.get("kind") != "snapshot":
        return without_effect
    try:
        chunks = _with_chunk(state, record)
        if chunks is None:
            return without_effect
        snapshot_id = _snapshot_id(record)
        updated_chunks = {**state.chunks_by_snapshot, snapshot_id: chunks}
        incomplete = dataclasses.replace(state, chunks_by_snapshot=updated_chunks)
        if len(chunks.record_by_chunk) < chunks.chunk_count:
            return ControlRecordResult(
                incomplete, False, "chunks of the snapshot are missing"
            )
        restored = _restore_snapshot(chunks)
    except MALFORMED_ERRORS as error:
        shown = untrusted_data.excerpt(error, MAX_PROBLEM_CHARACTERS)
        return ControlRecordResult(state, False, f"snapshot is malformed: {shown}")
    for earlier_offset, earlier_record in state.records_after_gap:
        if earlier_offset >= chunks.covers_offset:
            restored = apply(restored, earlier_offset, earlier_record).state
    restored = dataclasses.replace(
        restored, next_offset=offset + 1, snapshot_offset=offset
    )
    return ControlRecordResult(restored, True)


def _with_chunk(
    state: ControlState, record: Mapping[str, Any]
) -> SnapshotChunks | None:
    """Return the chunks with this one, None if the snapshot does not fill the gap."""
    covers_offset, chunk_count = record["covers_offset"], record["chunks"]
    if covers_offset < state.gap_start or record.get("schema_version", 1) != 1:
        return None
    empty = SnapshotChunks(covers_offset, chunk_count, {})
    chunks = state.chunks_by_snapshot.get(_snapshot_id(record), empty)
    if (chunks.covers_offset, chunks.chunk_count) != (covers_offset, chunk_count):
        raise ValueError("chunks of one snapshot differ in offset or number")
    if not 0 <= record["chunk"] < chunk_count:
        raise ValueError(f"chunk {record['chunk']} is not one of {chunk_count} chunks")
    collected = {**chunks.record_by_chunk, record["chunk"]: record}
    return chunks._replace(record_by_chunk=collected)


def _snapshot_id(record: Mapping[str, Any]) -> str:
    return str(record["record_id"]).rpartition("/")[0]


def _restore_snapshot(chunks: SnapshotChunks) -> ControlState:
    shards: dict[str, Shard] = {}
    record_ids: list[str] = []
    for _, record in sorted(chunks.record_by_chunk.items()):
        record_ids += record["recent_record_ids"]
        for part in record["shards"]:
            name = part["shard"]
            before = shards.get(name, Shard())
            shards[name] = _with_shard_part(before, part)
    return ControlState(chunks.covers_offset, shards, tuple(record_ids))


def _with_shard_part(before: Shard, part: Mapping[str, Any]) -> Shard:
    servers_by_key = {
        item["key"]: tuple(item["servers"]) for item in part["exceptions"]
    }
    return Shard(
        group_revision=part["group_revision"],
        group=tuple(part["group"]),
        reset_offset=part["reset_offset"],
        term=part["term"],
        controllers=tuple(part["controllers"]),
        revision=part["revision"],
        ranges=before.ranges + _decode_ranges(part["ranges"]),
        servers_by_key={**before.servers_by_key, **servers_by_key},
        former_servers=tuple(part["former_servers"]),
    )


def _decode_ranges(
    items: list[Mapping[str, Any]],
) -> tuple[range_lists.ListedRange, ...]:
    return tuple(
        range_lists.ListedRange(
            int(item["start"]), int(item["end"]), tuple(item["servers"])
        )
        for item in items
    )


def _endorsement_problem(shard: Shard, record: Mapping[str, Any]) -> str | None:
    current = {
        item["vm"]
        for item in record["endorsements"]
        if item["group_revision"] == shard.group_revision
    }
    if shard.group and len(current & set(shard.group)) < shard.majority:
        return "endorsements of a majority of the group are missing"
    return None


def _apply_group_change(
    shard: Shard, offset: int, record: Mapping[str, Any]
) -> Shard | str:
    if record["group_revision"] != shard.group_revision:
        return (
            f"record is for another group; the group revision is {shard.group_revision}"
        )
    added, removed = record["add"], record["remove"]
    if len(added) + len(removed) != 1:
        return "a group change adds or removes exactly one VM"
    if any(vm in shard.group for vm in added):
        return f"VM {added[0]} is in the group"
    if any(vm not in shard.group or len(shard.group) == 1 for vm in removed):
        return f"VM {removed[0]} is not in the group or is the last one"
    problem = _endorsement_problem(shard, record)
    if problem is not None:
        return problem
    remaining = tuple(vm for vm in shard.group if vm not in removed)
    group = (*remaining, *added)
    return shard._replace(group=group, group_revision=shard.group_revision + 1)


def _apply_group_reset(
    shard: Shard, offset: int, record: Mapping[str, Any]
) -> Shard | str:
    if record["group_revision"] != shard.group_revision:
        return (
            f"record is for another group; the group revision is {shard.group_revision}"
        )
    group = tuple(record["vms"])
    if not group or len(set(group)) != len(group):
        return "group is empty or repeats a VM"
    return shard._replace(
        group=group, group_revision=shard.group_revision + 1, reset_offset=offset
    )


def _apply_term_claim(
    shard: Shard, offset: int, record: Mapping[str, Any]
) -> Shard | str:
    if record["previous_term"] != shard.term:
        return f"record is for another term; the term is {shard.term}"
    if record["group_revision"] != shard.group_revision or not shard.group:
        return (
            f"record is for another group; the group revision is {shard.group_revision}"
        )
    if not record["controllers"]:
        return "term claim lists no controllers"
    problem = _endorsement_problem(shard, record)
    if problem is not None:
        return problem
    reset_offset = -1 if record["reset_is_over"] else shard.reset_offset
    return shard._replace(
        term=offset,
        controllers=tuple(record["controllers"]),
        reset_offset=reset_offset,
    )


def _apply_assignment(
    shard: Shard, offset: int, record: Mapping[str, Any]
) -> Shard | str:
    if record["term"] != shard.term or shard.term < 0:
        return f"record is for another term; the term is {shard.term}"
    if record["revision"] != shard.revision:
        return f"record is for another revision; the revision is {shard.revision}"
    updates = _decode_ranges(record["ranges"])
    problem = range_lists.find_problem(updates)
    if problem is not None:
        return problem
    servers_by_key = dict(shard.servers_by_key)
    for key in record["removed_exceptions"]:
        servers_by_key.pop(key, None)
    for item in record["exceptions"]:
        servers_by_key[item["key"]] = tuple(item["servers"])
    if not all(servers_by_key.values()):
        return "servers of a single key are empty"
    changed = shard._replace(
        ranges=range_lists.overlay(shard.ranges, updates),
        servers_by_key=servers_by_key,
        revision=shard.revision + 1,
    )
    return changed._replace(former_servers=_former_servers(shard, changed))


def _former_servers(before: Shard, after: Shard) -> tuple[str, ...]:
    """Return the servers that are no longer listed but may still hold ranges."""
    listed = after.listed_servers()
    dropped = sorted(before.listed_servers() - listed)
    kept = [name for name in before.former_servers if name not in listed]
    return tuple([*kept, *dropped][-MAX_FORMER_SERVERS:])


_APPLY_BY_KIND: Mapping[str, Callable[[Shard, int, Mapping[str, Any]], Shard | str]] = {
    "group_change": _apply_group_change,
    "group_reset": _apply_group_reset,
    "term_claim": _apply_term_claim,
    "assignment": _apply_assignment,
}

"""Build and restore snapshots, which replace writes that retention removes."""

import types
from collections.abc import Callable, Iterable, Mapping
from typing import Any, cast

import msgspec

from wasabivalve.schema import records_generated

from . import replay, signing

# Keeps the size of one record well below the limits of a log append.
WRITES_PER_CHUNK = 50


def build(
    state: replay.ConfigurationState,
    *,
    operator: str,
    key_hex: str,
    new_record_id: Callable[[], str],
    writes_per_chunk: int = WRITES_PER_CHUNK,
) -> tuple[records_generated.ConfigurationSnapshot, ...]:
    """Return the signed records of a snapshot; append them as one batch.

    Each resource is stored as its original signed write with its offset, so revisions
    do not change. ``covers_offset`` is the last offset that the state includes.
    """
    logged_writes = [
        _logged_write(resource) for _, resource in sorted(state.resource_by_key.items())
    ]
    write_groups = [
        logged_writes[start : start + writes_per_chunk]
        for start in range(0, len(logged_writes), writes_per_chunk)
    ] or [[]]
    snapshot_id = new_record_id()
    return tuple(
        _build_chunk(
            state, snapshot_id, index, write_groups, operator, key_hex, new_record_id()
        )
        for index in range(len(write_groups))
    )


def restore(
    offsets_and_records: Iterable[tuple[int, Mapping[str, Any]]],
    oldest_offset: int,
    keys_by_operator: Mapping[str, str],
    trust_unknown_operators: bool = False,
) -> replay.ConfigurationState | None:
    """Return the state of the newest complete snapshot, or None.

    ``offsets_and_records`` holds (offset, record) pairs from ``oldest_offset`` on. A
    snapshot is used only if no record between the end of its coverage and
    ``oldest_offset`` is missing: the caller continues at the state's ``next_offset``.
    """
    chunks_by_id: dict[str, dict[int, records_generated.ConfigurationSnapshot]] = {}
    newest: replay.ConfigurationState | None = None
    for offset, record in offsets_and_records:
        chunk = _decode_chunk(record, keys_by_operator, trust_unknown_operators)
        if chunk is None or not oldest_offset - 1 <= chunk["covers_offset"] < offset:
            continue
        chunks = chunks_by_id.setdefault(chunk["snapshot_id"], {})
        chunks.setdefault(chunk["chunk"], chunk)
        if len(chunks) == chunk["chunks"]:
            state = _combine_chunks(chunks)
            if newest is None or state.next_offset >= newest.next_offset:
                newest = state
    return newest


def _logged_write(resource: replay.Resource) -> records_generated.LoggedWrite:
    record = cast(records_generated.ResourceWrite, dict(resource.record))
    return {"offset": resource.revision, "record": record}


def _build_chunk(
    state: replay.ConfigurationState,
    snapshot_id: str,
    index: int,
    write_groups: list[list[records_generated.LoggedWrite]],
    operator: str,
    key_hex: str,
    record_id: str,
) -> records_generated.ConfigurationSnapshot:
    record: records_generated.ConfigurationSnapshot = {
        "kind": "configuration_snapshot",
        "record_id": record_id,
        "snapshot_id": snapshot_id,
        "covers_offset": state.next_offset - 1,
        "revision": state.revision,
        "chunk": index,
        "chunks": len(write_groups),
        "writes": write_groups[index],
        "recent_record_ids": dict(state.recent_record_ids) if index == 0 else {},
        "operator": operator,
        "signature": "",
    }
    record["signature"] = signing.sign(record, key_hex)
    return record


def _decode_chunk(
    record: Mapping[str, Any],
    keys_by_operator: Mapping[str, str],
    trust_unknown_operators: bool,
) -> records_generated.ConfigurationSnapshot | None:
    if record.get("kind") != "configuration_snapshot":
        return None
    try:
        chunk = msgspec.convert(record, records_generated.ConfigurationSnapshot)
    except (msgspec.ValidationError, RecursionError):
        return None
    key_hex = keys_by_operator.get(chunk["operator"])
    if key_hex is None:
        return chunk if trust_unknown_operators else None
    return chunk if signing.verify(record, key_hex) else None


def _combine_chunks(
    chunks: Mapping[int, records_generated.ConfigurationSnapshot],
) -> replay.ConfigurationState:
    resource_by_key = {}
    offset_by_record_id: dict[str, int] = {}
    for _, chunk in sorted(chunks.items()):
        offset_by_record_id.update(chunk["recent_record_ids"])
        for logged_write in chunk["writes"]:
            resource = replay.resource_of(
                logged_write["offset"], logged_write["record"]
            )
            resource_by_key[resource.kind, resource.name] = resource
    return replay.ConfigurationState(
        resource_by_key=types.MappingProxyType(resource_by_key),
        revision=chunk["revision"],
        next_offset=chunk["covers_offset"] + 1,
        recent_record_ids=types.MappingProxyType(
            dict(sorted(offset_by_record_id.items(), key=lambda item: item[1]))
        ),
    )

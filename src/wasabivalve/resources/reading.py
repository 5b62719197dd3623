"""Read the configuration stream up to its end."""

import dataclasses
from collections.abc import Mapping
from typing import Any, NamedTuple, Protocol

from wasabivalve import platform_log

from . import replay, snapshots

STREAM = "configuration"
READ_LIMIT = 1_000


class LogReader(Protocol):
    """Define the method of `platform_log.LogClient` that reading uses."""

    def read(
        self, stream: str, offset: int, wait_ms: float = 0.0, limit: int = 1000
    ) -> platform_log.ReadBatch | platform_log.Gap | platform_log.LogUnavailable:
        """Read records from an offset."""


class OperatorKeys(NamedTuple):
    """Hold the signing keys of operators in hex.

    If ``complete`` is false, writes of operators without a key here are accepted
    unchecked, because a command may have only the key of its own operator.
    """

    by_operator: Mapping[str, str]
    complete: bool = True


class StreamEntry(NamedTuple):
    """Hold one record with its offset and whether it took effect.

    ``previous_resource`` is the resource before the record, None if it did not exist.
    """

    offset: int
    record: Mapping[str, Any]
    accepted: bool
    reason: str
    previous_resource: replay.Resource | None


@dataclasses.dataclass(frozen=True, slots=True)
class CurrentConfiguration:
    """Hold the state at the end of the stream and the records that led to it.

    ``first_offset`` is the offset of the oldest record in ``entries``.
    """

    state: replay.ConfigurationState
    entries: tuple[StreamEntry, ...] = ()
    first_offset: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StreamUnreadable:
    """Report that the stream could not be read to its end."""

    reason: str


def read_to_end(
    client: LogReader,
    current: CurrentConfiguration,
    keys: OperatorKeys,
    *,
    stream: str = STREAM,
    wait_ms: float = 0.0,
    keep_entries: bool = True,
) -> CurrentConfiguration | StreamUnreadable:
    """Read to the end of the stream; wait up to ``wait_ms`` for a first new record.

    If ``keep_entries`` is false, the result has only the records read by this call. If
    retention removed the next record, reading restarts from the newest complete
    snapshot.
    """
    state = current.state
    entries = list(current.entries) if keep_entries else []
    first_offset = current.first_offset
    while True:
        batch = client.read(stream, state.next_offset, wait_ms, READ_LIMIT)
        if isinstance(batch, platform_log.LogUnavailable):
            return StreamUnreadable(batch.reason)
        if isinstance(batch, platform_log.Gap):
            restored = _restore(client, stream, batch.oldest_offset, keys)
            if isinstance(restored, StreamUnreadable):
                return restored
            state, entries, first_offset = restored, [], restored.next_offset
            continue
        if not batch.records:
            return CurrentConfiguration(state, tuple(entries), first_offset)
        for offset, record in batch.records:
            entry, state = _apply(state, offset, record, keys)
            entries.append(entry)
        wait_ms = 0.0


def read_all(
    client: LogReader, keys: OperatorKeys, stream: str = STREAM
) -> CurrentConfiguration | StreamUnreadable:
    """Read the whole stream from offset 0 or from its newest complete snapshot."""
    return read_to_end(
        client, CurrentConfiguration(replay.EMPTY_CONFIGURATION), keys, stream=stream
    )


def _apply(
    state: replay.ConfigurationState,
    offset: int,
    record: Mapping[str, Any],
    keys: OperatorKeys,
) -> tuple[StreamEntry, replay.ConfigurationState]:
    result = replay.apply(state, offset, record, keys.by_operator, not keys.complete)
    key = (str(record.get("resource_kind")), str(record.get("name")))
    previous_resource = state.resource_by_key.get(key)
    entry = StreamEntry(
        offset, record, result.accepted, result.reason, previous_resource
    )
    return entry, result.state


def _restore(
    client: LogReader, stream: str, oldest_offset: int, keys: OperatorKeys
) -> replay.ConfigurationState | StreamUnreadable:
    records: list[tuple[int, Mapping[str, Any]]] = []
    offset = oldest_offset
    while True:
        batch = client.read(stream, offset, 0.0, READ_LIMIT)
        if isinstance(batch, platform_log.LogUnavailable):
            return StreamUnreadable(batch.reason)
        if isinstance(batch, platform_log.Gap):
            # Retention removed more records during the read.
            records.clear()
            oldest_offset = offset = batch.oldest_offset
            continue
        if not batch.records:
            break
        records += batch.records
        offset = batch.next_offset
    state = snapshots.restore(
        records, oldest_offset, keys.by_operator, not keys.complete
    )
    if state is None:
        return StreamUnreadable(
            f"records before offset {oldest_offset} were removed and no complete "
            "snapshot of them was found"
        )
    return state

"""Read the configuration stream up to its end."""

import dataclasses
from collections.abc import Mapping
from typing import Any, NamedTuple, Protocol

from wasabivalve import platform_log

from . import replay, snapshots

STREAM = "configuration"
READ_LIMIT = 1_000


class LogReader(Protocol):
    """Describe the part of `platform_log.LogClient` that reading needs."""

    def read(
        self, stream: str, offset: int, wait_ms: float = 0.0, limit: int = 1000
    ) -> platform_log.ReadBatch | platform_log.Gap | platform_log.LogUnavailable:
        """Read records from an offset."""


class OperatorKeys(NamedTuple):
    """Hold operator keys in hex by operator.

    Without ``complete`` the writes of operators that have no key here are taken as
    signed, since a command may hold the key of its own operator only.
    """

    by_operator: Mapping[str, str]
    complete: bool = True


class StreamEntry(NamedTuple):
    """Hold one record with its offset and whether it took effect."""

    offset: int
    record: Mapping[str, Any]
    accepted: bool
    reason: str
    previous_resource: replay.Resource | None


@dataclasses.dataclass(frozen=True, slots=True)
class CurrentConfiguration:
    """Carry the state at the end of the stream and the records that led to it.

    ``first_offset`` is the offset of the oldest record in ``entries``.
    """

    state: replay.ConfigurationState
    entries: tuple[StreamEntry, ...] = ()
    first_offset: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StreamUnreadable:
    """State that the end of the stream is not known."""

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
    """Read on to the end of the stream; wait up to ``wait_ms`` for a first record.

    With ``keep_entries`` false the result carries only the records read now. A reader
    whose next record was removed restarts from the newest complete snapshot.
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
    """Read the whole stream."""
    return read_to_end(
        client, CurrentConfiguration(replay.EMPTY_CONFIGURATION), keys, stream=stream
    )


def _apply(
    state: replay.ConfigurationState,
    offset: int,
    record: Mapping[str, Any],
    keys: OperatorKeys,
) -> tuple[StreamEntry, replay.ConfigurationState]:
    applied = replay.apply(state, offset, record, keys.by_operator, not keys.complete)
    key = (str(record.get("resource_kind")), str(record.get("name")))
    previous_resource = state.resource_by_key.get(key)
    entry = StreamEntry(
        offset, record, applied.accepted, applied.reason, previous_resource
    )
    return entry, applied.state


def _restore(
    client: LogReader, stream: str, oldest_offset: int, keys: OperatorKeys
) -> replay.ConfigurationState | StreamUnreadable:
    logged: list[tuple[int, Mapping[str, Any]]] = []
    offset = oldest_offset
    while True:
        batch = client.read(stream, offset, 0.0, READ_LIMIT)
        if isinstance(batch, platform_log.LogUnavailable):
            return StreamUnreadable(batch.reason)
        if isinstance(batch, platform_log.Gap):
            # Retention went on while reading.
            logged.clear()
            oldest_offset = offset = batch.oldest_offset
            continue
        if not batch.records:
            break
        logged += batch.records
        offset = batch.next_offset
    state = snapshots.restore(
        logged, oldest_offset, keys.by_operator, not keys.complete
    )
    if state is None:
        return StreamUnreadable(
            f"records before offset {oldest_offset} were removed and no complete "
            "snapshot of them was found"
        )
    return state

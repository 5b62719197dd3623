"""Publish changes on the log and determine which took effect."""

import dataclasses
import random
import time
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from wasabivalve import platform_log
from wasabivalve.schema import records_generated

from . import differences, planning, reading, replay, snapshots, writes

DEFAULT_APPEND_TIMEOUT_MS = 10_000.0


class Author(NamedTuple):
    """Hold the operator, the signing key and the sources of record ids and times."""

    operator: str
    key_hex: str
    new_record_id: Callable[[], str]
    now_rfc3339: Callable[[], str]


class AppendTiming(NamedTuple):
    """Hold the timeout of an append in ms, and the clock and sleep function in s."""

    timeout_ms: float = DEFAULT_APPEND_TIMEOUT_MS
    clock: Callable[[], float] = time.monotonic
    sleep: Callable[[float], None] = time.sleep
    generator: random.Random | None = None


class WriteConflict(NamedTuple):
    """Hold the resource that won, None for a deletion, and how its spec differs."""

    winner: replay.Resource | None
    differences: tuple[differences.Difference, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """Report that the change took effect at this revision."""

    change: planning.ResourceChange
    record_id: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Unchanged:
    """Report that the resource already has the spec of the change."""

    change: planning.ResourceChange
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Report that the change has no effect and will have none.

    ``unavailable`` is true when the log could not be reached.
    """

    change: planning.ResourceChange
    reason: str
    conflict: WriteConflict | None = None
    unavailable: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Pending:
    """Report that the change may or may not take effect."""

    change: planning.ResourceChange
    record_id: str
    reason: str


ChangeVerdict = Accepted | Unchanged | Refused | Pending


class PublishResult(NamedTuple):
    """Hold one verdict for each change and the last configuration that was read."""

    verdicts: tuple[ChangeVerdict, ...]
    current: reading.CurrentConfiguration


def conflict_of(
    change: planning.ResourceChange, state: replay.ConfigurationState
) -> WriteConflict:
    """Return the resource that won over a change, and how the two differ."""
    winner = state.resource_by_key.get(change.key)
    theirs = winner.spec if winner else differences.ABSENT
    mine = change.spec if change.spec is not None else differences.ABSENT
    return WriteConflict(winner, differences.between(mine, theirs))


def filter_changes(
    changes: Sequence[planning.ResourceChange], state: replay.ConfigurationState
) -> tuple[tuple[planning.ResourceChange, ...], tuple[ChangeVerdict, ...]]:
    """Return the changes to send, and the verdicts for the others.

    A change is not sent if it changes nothing or its expected revision is outdated.
    """
    sent: list[planning.ResourceChange] = []
    decided: list[ChangeVerdict] = []
    for change in changes:
        resource = state.resource_by_key.get(change.key)
        revision = resource.revision if resource else replay.NO_REVISION
        expected = change.expected_revision
        if (resource.spec if resource else None) == change.spec:
            decided.append(Unchanged(change, revision))
        elif expected is not None and expected != revision:
            reason = f"expected revision {expected}, but the revision is {revision}"
            decided.append(Refused(change, reason, conflict_of(change, state)))
        else:
            sent.append(change._replace(expected_revision=revision))
    return tuple(sent), tuple(decided)


def publish(
    client: platform_log.LogAppender,
    changes: Sequence[planning.ResourceChange],
    current: reading.CurrentConfiguration,
    author: Author,
    keys: reading.OperatorKeys,
    *,
    stream: str = reading.STREAM,
    timing: AppendTiming | None = None,
) -> PublishResult:
    """Publish changes in their order as one append, then read what took effect.

    If a response is lost, the outcome is read back from the log. If that fails too,
    the verdict is `Pending`; the same changes may be published again, because at most
    one write per expected revision takes effect.
    """
    timing = timing or AppendTiming()
    sent, decided = filter_changes(changes, current.state)
    if not sent:
        return PublishResult(decided, current)
    records = [_build_write(change, author) for change in sent]
    batch: list[dict[str, Any]] = [dict(record) for record in records]
    if writes.needs_stream_start(current.state.next_offset):
        batch.insert(0, writes.stream_start(author.new_record_id()))
    resolution = platform_log.append_and_confirm(
        client,
        stream,
        batch,
        read_from_offset=current.state.next_offset,
        timeout_ms=timing.timeout_ms,
        clock=timing.clock,
        sleep=timing.sleep,
        generator=timing.generator,
    )
    if isinstance(resolution, platform_log.AppendFailed):
        reason = f"nothing was written: {resolution.reason}"
        refused = [Refused(change, reason, unavailable=True) for change in sent]
        return PublishResult((*decided, *refused), current)
    return _read_back(client, sent, records, decided, resolution, current, keys, stream)


def republish(
    client: platform_log.LogAppender,
    current: reading.CurrentConfiguration,
    author: Author,
    *,
    stream: str = reading.STREAM,
    timing: AppendTiming | None = None,
) -> (
    platform_log.AppendConfirmed
    | platform_log.AppendFailed
    | platform_log.AppendUnresolved
):
    """Append a snapshot of a state that was just read, as one batch.

    The call may be repeated, because a snapshot does not change the state.
    """
    timing = timing or AppendTiming()
    chunks = snapshots.build(
        current.state,
        operator=author.operator,
        key_hex=author.key_hex,
        new_record_id=author.new_record_id,
    )
    return platform_log.append_and_confirm(
        client,
        stream,
        [dict(chunk) for chunk in chunks],
        read_from_offset=current.state.next_offset,
        timeout_ms=timing.timeout_ms,
        clock=timing.clock,
        sleep=timing.sleep,
        generator=timing.generator,
    )


def _build_write(
    change: planning.ResourceChange, author: Author
) -> records_generated.ResourceWrite:
    return writes.build(
        change.kind,
        change.name,
        change.spec,
        expected_revision=change.expected_revision or replay.NO_REVISION,
        operator=author.operator,
        key_hex=author.key_hex,
        record_id=author.new_record_id(),
        written_at=author.now_rfc3339(),
    )


def _read_back(
    client: platform_log.LogAppender,
    sent: Sequence[planning.ResourceChange],
    records: Sequence[records_generated.ResourceWrite],
    decided: Sequence[ChangeVerdict],
    resolution: platform_log.AppendConfirmed | platform_log.AppendUnresolved,
    current: reading.CurrentConfiguration,
    keys: reading.OperatorKeys,
    stream: str,
) -> PublishResult:
    latest = reading.read_to_end(client, current, keys, stream=stream)
    if isinstance(latest, reading.StreamUnreadable):
        reason = _pending_reason(resolution, latest.reason)
        latest = current
    else:
        reason = _pending_reason(resolution, "")
    entry_by_id: dict[str, reading.StreamEntry] = {}
    for entry in latest.entries:
        # Every reader applies the first copy of a record and ignores later copies.
        entry_by_id.setdefault(str(entry.record.get("record_id")), entry)
    verdicts = [
        _verdict(change, record, entry_by_id, latest.state, reason)
        for change, record in zip(sent, records, strict=True)
    ]
    return PublishResult((*decided, *verdicts), latest)


def _pending_reason(
    resolution: platform_log.AppendConfirmed | platform_log.AppendUnresolved,
    problem: str,
) -> str:
    if isinstance(resolution, platform_log.AppendConfirmed):
        return f"the write is on the log, but its effect is not known: {problem}"
    return f"the write may be on the log: {problem or resolution.reason}"


def _verdict(
    change: planning.ResourceChange,
    record: records_generated.ResourceWrite,
    entry_by_id: dict[str, reading.StreamEntry],
    state: replay.ConfigurationState,
    pending_reason: str,
) -> ChangeVerdict:
    entry = entry_by_id.get(record["record_id"])
    if entry is None:
        # Retention may have removed the record since; a snapshot then contains it.
        resource = state.resource_by_key.get(change.key)
        if resource and resource.record_id == record["record_id"]:
            return Accepted(change, record["record_id"], resource.revision)
        return Pending(change, record["record_id"], pending_reason)
    if entry.accepted:
        return Accepted(change, record["record_id"], entry.offset)
    previous_revision = (
        entry.previous_resource.revision
        if entry.previous_resource
        else replay.NO_REVISION
    )
    lost_race = previous_revision != change.expected_revision
    conflict = conflict_of(change, state) if lost_race else None
    return Refused(change, entry.reason, conflict)

"""Append records and find out whether they were appended."""

import dataclasses
import random
import time
from collections.abc import Callable, Sequence
from typing import Any, Protocol

import tenacity

from . import core

BASE_BACKOFF_MS = 20.0
MAX_BACKOFF_MS = 500.0


class LogAppender(Protocol):
    """Describe the part of `core.LogClient` that an append needs."""

    def append(
        self, stream: str, records: Sequence[dict[str, Any]]
    ) -> core.Appended | core.AppendUnknown | core.LogUnavailable:
        """Append records as one batch."""

    def read(
        self, stream: str, offset: int, wait_ms: float = 0.0, limit: int = 1000
    ) -> core.ReadBatch | core.Gap | core.LogUnavailable:
        """Read records from an offset."""


@dataclasses.dataclass(frozen=True, slots=True)
class AppendConfirmed:
    """State that every record is on the log, with its first offset by record id."""

    offset_by_record_id: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class AppendFailed:
    """State that no record was appended and none will be."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class AppendUnresolved:
    """State that the records may be on the log, now or later."""

    reason: str


Resolution = AppendConfirmed | AppendFailed | AppendUnresolved


def append_and_confirm(
    client: LogAppender,
    stream: str,
    records: Sequence[dict[str, Any]],
    *,
    read_from_offset: int,
    timeout_ms: float = 5000.0,
    clock: Callable[[], float] = time.monotonic,
    sleep: Callable[[float], None] = time.sleep,
    generator: random.Random | None = None,
) -> Resolution:
    """Append records with unique ids and resolve lost responses by reading back.

    ``read_from`` is an offset that the log had already reached before this call,
    such as the caller's next offset to read. The call ends after ``deadline_ms``
    plus at most one call of the client. A batch whose response was lost is sent
    again when the log does not hold it; readers ignore the second copy. Raise
    ValueError for records whose ids are missing or not unique.
    """
    record_ids = _record_ids(records)
    ends_at = clock() + timeout_ms / 1000

    def is_late() -> bool:
        return clock() >= ends_at

    attempt = _Attempt(client, stream, records, record_ids, read_from_offset, is_late)
    draw = (generator or random.Random()).random

    def wait_s(state: tenacity.RetryCallState) -> float:
        doubled = BASE_BACKOFF_MS * 2 ** min(state.attempt_number, 10)
        backoff_s = min(doubled, MAX_BACKOFF_MS) / 1000 * (0.5 + draw() / 2)
        return max(0.0, min(backoff_s, ends_at - clock()))

    retrying = tenacity.Retrying(
        sleep=sleep,
        stop=lambda state: is_late(),
        wait=wait_s,
        retry=tenacity.retry_if_result(lambda result: result is None),
        retry_error_callback=lambda state: attempt.give_up(),
    )
    return retrying(attempt.run) or attempt.give_up()


class _Attempt:
    """Hold what the earlier attempts of one append have shown."""

    def __init__(
        self,
        client: LogAppender,
        stream: str,
        records: Sequence[dict[str, Any]],
        record_ids: tuple[str, ...],
        read_from_offset: int,
        is_late: Callable[[], bool],
    ):
        self._client = client
        self._stream = stream
        self._records = records
        self._record_ids = record_ids
        self._next_offset = read_from_offset
        self._is_late = is_late
        self._offset_by_record_id: dict[str, int] = {}
        self._response_lost = False
        self._at_end = False
        self._reason = "not tried"

    def run(self) -> Resolution | None:
        """Try once; return None when another attempt may help."""
        if self._response_lost:
            resolution = self._read_back()
            if resolution or not self._at_end:
                return resolution
        result = self._client.append(self._stream, self._records)
        if isinstance(result, core.LogUnavailable):
            self._reason = result.reason
            return self.give_up() if result.rejected else None
        if isinstance(result, core.AppendUnknown):
            self._reason = result.reason
            self._response_lost = True
            return None
        if self._response_lost:
            # A delayed earlier copy may have come first, and the first copy counts.
            return self._read_back()
        first = result.first_offset
        return AppendConfirmed(
            {name: first + index for index, name in enumerate(self._record_ids)}
        )

    def give_up(self) -> Resolution:
        """Return what is known at the deadline."""
        if self._response_lost:
            return AppendUnresolved(self._reason)
        return AppendFailed(self._reason)

    def _read_back(self) -> Resolution | None:
        self._at_end = False
        while not self._at_end:
            batch = self._client.read(self._stream, self._next_offset)
            if isinstance(batch, core.Gap):
                return AppendUnresolved(
                    f"offset {self._next_offset} is older than {batch.oldest_offset}"
                )
            if isinstance(batch, core.LogUnavailable):
                self._reason = batch.reason
                return None
            self._note(batch)
            if len(self._offset_by_record_id) == len(self._record_ids):
                return AppendConfirmed(dict(self._offset_by_record_id))
            self._at_end = not batch.records
            if self._is_late():
                break
        return None

    def _note(self, batch: core.ReadBatch) -> None:
        for offset, record in batch.records:
            record_id = record.get("record_id")
            if record_id in self._record_ids:
                self._offset_by_record_id.setdefault(record_id, offset)
        self._next_offset = batch.next_offset


def _record_ids(records: Sequence[dict[str, Any]]) -> tuple[str, ...]:
    record_ids = tuple(record.get("record_id") for record in records)
    if not all(isinstance(name, str) and name for name in record_ids):
        raise ValueError(f"records without record_id: {record_ids}")
    if not record_ids or len(set(record_ids)) != len(record_ids):
        raise ValueError(f"record ids are missing or repeated: {record_ids}")
    return tuple(str(name) for name in record_ids)

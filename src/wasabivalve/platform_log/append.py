"""Append records and confirm by reading back that they were appended."""

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
    """Define the methods of `core.LogClient` that an append uses."""

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
    """Report that every record is on the log, with the offset of its first copy."""

    offset_by_record_id: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class AppendFailed:
    """Report that no record was appended and none will be."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class AppendUnresolved:
    """Report that the records may be on the log now or may appear there later."""

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

    ``read_from_offset`` is an offset that the log had already reached before this call,
    such as the caller's next offset to read. The call ends after ``timeout_ms``
    plus at most one call of the client. If the response to a batch is lost and the log
    does not contain the batch, it is sent again; readers ignore a second copy. Raises
    ValueError for records whose ids are missing or not unique.
    """
    record_ids = _record_ids(records)
    deadline_at = clock() + timeout_ms / 1000

    def is_past_deadline() -> bool:
        return clock() >= deadline_at

    operation = _AppendOperation(
        client, stream, records, record_ids, read_from_offset, is_past_deadline
    )
    random_fraction = (generator or random.Random()).random

    def wait_s(state: tenacity.RetryCallState) -> float:
        exponential_ms = BASE_BACKOFF_MS * 2 ** min(state.attempt_number, 10)
        backoff_s = (
            min(exponential_ms, MAX_BACKOFF_MS) / 1000 * (0.5 + random_fraction() / 2)
        )
        return max(0.0, min(backoff_s, deadline_at - clock()))

    retrying = tenacity.Retrying(
        sleep=sleep,
        stop=lambda state: is_past_deadline(),
        wait=wait_s,
        retry=tenacity.retry_if_result(lambda result: result is None),
        retry_error_callback=lambda state: operation.conclude(),
    )
    return retrying(operation.run) or operation.conclude()


class _AppendOperation:
    """Track one append over its attempts."""

    def __init__(
        self,
        client: LogAppender,
        stream: str,
        records: Sequence[dict[str, Any]],
        record_ids: tuple[str, ...],
        read_from_offset: int,
        is_past_deadline: Callable[[], bool],
    ):
        self._client = client
        self._stream = stream
        self._records = records
        self._record_ids = record_ids
        self._next_offset = read_from_offset
        self._is_past_deadline = is_past_deadline
        self._offset_by_record_id: dict[str, int] = {}
        self._response_lost = False
        self._reached_end = False
        self._last_failure = "no attempt was made"

    def run(self) -> Resolution | None:
        """Make one attempt; return None when another one may succeed."""
        if self._response_lost:
            resolution = self._read_back()
            if resolution or not self._reached_end:
                return resolution
        result = self._client.append(self._stream, self._records)
        if isinstance(result, core.LogUnavailable):
            self._last_failure = result.reason
            return self.conclude() if result.rejected else None
        if isinstance(result, core.AppendUnknown):
            self._last_failure = result.reason
            self._response_lost = True
            return None
        if self._response_lost:
            # An earlier copy may have arrived late but before this one, and readers
            # apply only the first copy.
            return self._read_back()
        first = result.first_offset
        return AppendConfirmed(
            {
                record_id: first + index
                for index, record_id in enumerate(self._record_ids)
            }
        )

    def conclude(self) -> Resolution:
        """Return the outcome when no further attempt is made."""
        if self._response_lost:
            return AppendUnresolved(self._last_failure)
        return AppendFailed(self._last_failure)

    def _read_back(self) -> Resolution | None:
        self._reached_end = False
        while not self._reached_end:
            batch = self._client.read(self._stream, self._next_offset)
            if isinstance(batch, core.Gap):
                return AppendUnresolved(
                    f"retention removed offset {self._next_offset}; "
                    f"the oldest offset is {batch.oldest_offset}"
                )
            if isinstance(batch, core.LogUnavailable):
                self._last_failure = batch.reason
                return None
            self._record_offsets(batch)
            if len(self._offset_by_record_id) == len(self._record_ids):
                return AppendConfirmed(dict(self._offset_by_record_id))
            self._reached_end = not batch.records
            if self._is_past_deadline():
                break
        return None

    def _record_offsets(self, batch: core.ReadBatch) -> None:
        for offset, record in batch.records:
            record_id = record.get("record_id")
            if record_id in self._record_ids:
                self._offset_by_record_id.setdefault(record_id, offset)
        self._next_offset = batch.next_offset


def _record_ids(records: Sequence[dict[str, Any]]) -> tuple[str, ...]:
    record_ids = tuple(record.get("record_id") for record in records)
    if not all(isinstance(record_id, str) and record_id for record_id in record_ids):
        raise ValueError(
            f"expected a non-empty string record_id in each record, found {record_ids}"
        )
    if not record_ids or len(set(record_ids)) != len(record_ids):
        raise ValueError(
            f"expected at least one record and unique ids, found {record_ids}"
        )
    return tuple(str(record_id) for record_id in record_ids)

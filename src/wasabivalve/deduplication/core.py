"""Reserve idempotency keys and store the answers at one record holder."""

import heapq
import sys
import uuid
from typing import Literal

import msgspec
import xxhash

from wasabivalve.schema import messages_generated

IDEMPOTENCY_WINDOW_MS = 900_000.0
"""Time for which the record of a key is stored."""

START_MARGIN_MS = 3_000.0
"""A holder reserves only keys that were first sent this long after its start.

An earlier process of the VM may have reserved older keys. The margin is larger than
the clock error between caller and holder (1 s).
"""

MAX_CLOCK_ERROR_MS = 1_000.0
MAX_FUTURE_MS = 2_000.0
"""Time in the future up to which the timestamp of a key is valid."""

RUN_TIMEOUT_MS = 30_000.0
"""Time after which a reservation without an answer has an unknown outcome."""

MAX_RECORDS = 100_000
MAX_ANSWER_BYTES = 32 * 1024 * 1024
MAX_BYTES_PER_ANSWER = 64 * 1024
"""Limits of one holder; a full table refuses keys instead of evicting some.

``benchmarks/holder_memory.py --seed 1`` measures 365 bytes per reserved key and
726 with an answer of 200 bytes and two headers.
"""

RecordState = Literal["running", "free", "answered"]


class _KeyRecord:
    __slots__ = (
        "answer",
        "attempt",
        "digest",
        "remove_at_ms",
        "reserved_at",
        "state",
        "vm",
    )

    def __init__(self, digest: bytes) -> None:
        self.digest = digest
        self.state: RecordState = "free"
        self.vm = ""
        self.attempt = ""
        self.reserved_at = 0.0
        self.remove_at_ms = 0.0
        # Encoded, because Python objects take 1.8 times the memory; None for an
        # unknown outcome.
        self.answer: bytes | None = None


def uuid7_time_ms(key: str) -> float | None:
    """Return the Unix time in ms of a UUID version 7, or None for other keys."""
    try:
        parsed_uuid = uuid.UUID(key)
    except ValueError:
        return None
    if parsed_uuid.variant != uuid.RFC_4122 or parsed_uuid.version != 7:
        return None
    return float(parsed_uuid.int >> 80)


def is_too_far_in_future(first_sent_at_ms: float, wall_now_ms: float) -> bool:
    """Return whether the timestamp of a key is too far in the future to be valid."""
    return first_sent_at_ms > wall_now_ms + MAX_FUTURE_MS


class IdempotencyTable:
    """Hold the idempotency records of one entry VM in memory.

    ``wall_now_ms`` is the Unix time and ``now`` a monotonic time, both in ms.
    """

    def __init__(
        self,
        *,
        max_records: int = MAX_RECORDS,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
    ) -> None:
        self._started_at_ms: float | None = None
        self._max_records = max_records
        self._max_answer_bytes = max_answer_bytes
        self._record_by_key: dict[str, _KeyRecord] = {}
        self._keys_by_removal_second: dict[int, list[str]] = {}
        self._removal_seconds: list[int] = []
        self._answer_bytes = 0
        self._highest_wall_ms = 0.0

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._record_by_key)

    def tick(self, wall_now_ms: float) -> None:
        """Record the wall time and remove the records whose window is over."""
        if self._started_at_ms is None:
            self._started_at_ms = wall_now_ms
        self._highest_wall_ms = max(self._highest_wall_ms, wall_now_ms)
        self._remove_expired()

    def reserve(
        self,
        key: str,
        body_digest: str,
        first_sent_at_ms: float,
        vm: str,
        wall_now_ms: float,
        now: float,
        *,
        attempt: str,
    ) -> messages_generated.ReserveReply:
        """Reserve a key for one attempt of a requesting VM.

        ``attempt`` is a random id. A repeated call for a running attempt returns
        ``reserved`` again. The reply ``refused`` counts neither for nor against
        the request; ``unknown`` states that the request may have run.
        """
        self.tick(wall_now_ms)
        record = self._record_by_key.get(key)
        digest = xxhash.xxh3_128_digest(body_digest.encode())
        if record is not None and record.digest != digest:
            return _reply(key, "conflict")
        if record is not None and record.state != "free":
            return self._reply_of_record(key, record, vm, attempt, now)
        if self._is_outside_window(first_sent_at_ms):
            return _reply(key, "unknown")
        if not self._may_reserve(first_sent_at_ms, wall_now_ms):
            return _reply(key, "refused")
        if record is not None and (record.vm, record.attempt) == (vm, attempt):
            # A delayed duplicate of a message must not reserve an ended attempt again.
            return _reply(key, "refused")
        if record is None and self._is_full():
            return _reply(key, "refused")
        self._start_attempt(
            key, record or _KeyRecord(digest), vm, attempt, first_sent_at_ms, now
        )
        return _reply(key, "reserved")

    def record_answer(
        self,
        key: str,
        vm: str,
        attempt: str,
        answer: messages_generated.RecordedAnswer,
    ) -> bool:
        """Store the answer of a running attempt, and return whether it was stored.

        The answer ``not_run`` releases the key for a further attempt. An answer
        above the limits is stored as ``unknown``, without its body.
        """
        record = self._record_by_key.get(key)
        if record is None or record.state != "running":
            return False
        if (record.vm, record.attempt) != (vm, attempt):
            return False
        if answer["outcome"] == "not_run":
            record.state = "free"
            return True
        record.state = "answered"
        encoded = msgspec.msgpack.encode(answer)
        total_bytes = self._answer_bytes + len(encoded)
        fits = (
            len(encoded) <= MAX_BYTES_PER_ANSWER
            and total_bytes <= self._max_answer_bytes
        )
        if answer["outcome"] == "done" and fits:
            # The encoder returns a larger buffer; a copy has the exact size.
            record.answer = bytes(memoryview(encoded))
            self._answer_bytes = total_bytes
        return True

    def _is_outside_window(self, first_sent_at_ms: float) -> bool:
        # The highest wall time counts: otherwise a clock that is set back would make
        # keys valid again whose records were removed.
        return (
            first_sent_at_ms
            < self._highest_wall_ms - IDEMPOTENCY_WINDOW_MS - MAX_CLOCK_ERROR_MS
        )

    def _may_reserve(self, first_sent_at_ms: float, wall_now_ms: float) -> bool:
        started_at_ms = self._started_at_ms or wall_now_ms
        is_after_start = first_sent_at_ms >= started_at_ms + START_MARGIN_MS
        return is_after_start and not is_too_far_in_future(
            first_sent_at_ms, wall_now_ms
        )

    def _reply_of_record(
        self, key: str, record: _KeyRecord, vm: str, attempt: str, now: float
    ) -> messages_generated.ReserveReply:
        if record.state == "answered":
            if record.answer is None:
                return _reply(key, "unknown")
            answer = msgspec.msgpack.decode(
                record.answer, type=messages_generated.RecordedAnswer
            )
            return {"key": key, "outcome": "recorded", "answer": answer}
        if (record.vm, record.attempt) == (vm, attempt):
            return _reply(key, "reserved")
        if now - record.reserved_at > RUN_TIMEOUT_MS:
            return _reply(key, "unknown")
        return _reply(key, "in_progress")

    def _is_full(self) -> bool:
        return (
            len(self._record_by_key) >= self._max_records
            or self._answer_bytes >= self._max_answer_bytes
        )

    def _start_attempt(
        self,
        key: str,
        record: _KeyRecord,
        vm: str,
        attempt: str,
        first_sent_at_ms: float,
        now: float,
    ) -> None:
        record.state = "running"
        record.vm = sys.intern(vm)
        record.attempt = attempt
        record.reserved_at = now
        latest_ms = max(first_sent_at_ms, self._highest_wall_ms)
        record.remove_at_ms = latest_ms + IDEMPOTENCY_WINDOW_MS + 2 * MAX_CLOCK_ERROR_MS
        if key not in self._record_by_key:
            self._record_by_key[key] = record
            self._schedule_removal(key, record)

    def _schedule_removal(self, key: str, record: _KeyRecord) -> None:
        removal_second = int(record.remove_at_ms // 1_000) + 1
        if removal_second not in self._keys_by_removal_second:
            self._keys_by_removal_second[removal_second] = []
            heapq.heappush(self._removal_seconds, removal_second)
        self._keys_by_removal_second[removal_second].append(key)

    def _remove_expired(self) -> None:
        while (
            self._removal_seconds
            and self._removal_seconds[0] * 1_000 <= self._highest_wall_ms
        ):
            for key in self._keys_by_removal_second.pop(
                heapq.heappop(self._removal_seconds)
            ):
                record = self._record_by_key[key]
                if record.remove_at_ms > self._highest_wall_ms:
                    self._schedule_removal(key, record)
                    continue
                del self._record_by_key[key]
                if record.answer is not None:
                    self._answer_bytes -= len(record.answer)


def unknown_answer(reason: str) -> messages_generated.RecordedAnswer:
    """Return the recorded answer of a request that may have run."""
    return {
        "outcome": "unknown",
        "status": 0,
        "headers": [],
        "body": b"",
        "reason": reason,
    }


def _reply(
    key: str,
    outcome: Literal["reserved", "in_progress", "conflict", "unknown", "refused"],
) -> messages_generated.ReserveReply:
    return {"key": key, "outcome": outcome}

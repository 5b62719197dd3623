"""Reserve idempotency keys and keep the answers of one record holder."""

import heapq
import sys
import uuid
from typing import Literal

import msgspec
import xxhash

from wasabivalve.schema import messages_generated

IDEMPOTENCY_WINDOW_MS = 900_000.0
"""Time for which a key is remembered."""

START_MARGIN_MS = 3_000.0
"""A holder reserves only keys first sent this long after its start.

An earlier process of the VM may have reserved others. It covers the clock error
between caller and holder (1 s) with room to spare.
"""

CLOCK_ERROR_MS = 1_000.0
MOST_AHEAD_MS = 2_000.0
"""Keys further in the future are malformed."""

LONGEST_RUN_MS = 30_000.0
"""A reservation without an answer for this long is answered as unknown."""

MOST_RECORDS = 100_000
MOST_ANSWER_BYTES = 32 * 1024 * 1024
MOST_BYTES_PER_ANSWER = 64 * 1024
"""Bounds of one holder; a full table refuses keys instead of forgetting some.

``benchmarks/holder_memory.py --seed 1`` measures 365 bytes per reserved key and
726 with an answer of 200 bytes and two headers.
"""

State = Literal["running", "free", "answered"]


class _Record:
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
        self.state: State = "free"
        self.vm = ""
        self.attempt = ""
        self.reserved_at = 0.0
        self.remove_at_ms = 0.0
        # Encoded, since an answer as objects takes 1.8 times the memory; None for
        # an unknown outcome.
        self.answer: bytes | None = None


def uuid7_time_ms(key: str) -> float | None:
    """Return the Unix time in ms of a UUID version 7, None for other keys."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.variant != uuid.RFC_4122 or parsed.version != 7:
        return None
    return float(parsed.int >> 80)


def is_too_far_in_future(first_sent_at_ms: float, wall_now_ms: float) -> bool:
    """Return whether a key is from so far in the future that it is malformed."""
    return first_sent_at_ms > wall_now_ms + MOST_AHEAD_MS


class IdempotencyTable:
    """Hold the idempotency records of one entry VM in memory."""

    def __init__(
        self,
        *,
        max_records: int = MOST_RECORDS,
        max_answer_bytes: int = MOST_ANSWER_BYTES,
    ) -> None:
        self._started_at_ms: float | None = None
        self._most_records = max_records
        self._most_answer_bytes = max_answer_bytes
        self._record_by_key: dict[str, _Record] = {}
        self._keys_by_second: dict[int, list[str]] = {}
        self._seconds: list[int] = []
        self._answer_bytes = 0
        self._latest_wall_ms = 0.0

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._record_by_key)

    def tick(self, wall_now_ms: float) -> None:
        """Remove the records whose window is over."""
        if self._started_at_ms is None:
            self._started_at_ms = wall_now_ms
        self._latest_wall_ms = max(self._latest_wall_ms, wall_now_ms)
        self._remove_old()

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
        ``reserved`` again. The reply ``refused`` is no vote; ``unknown`` states
        that the request may have run.
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
        if not self._may_vote(first_sent_at_ms, wall_now_ms):
            return _reply(key, "refused")
        if record is not None and (record.vm, record.attempt) == (vm, attempt):
            # A late copy of a message must not reserve an ended attempt again.
            return _reply(key, "refused")
        if record is None and self._is_full():
            return _reply(key, "refused")
        self._start(key, record or _Record(digest), vm, attempt, first_sent_at_ms, now)
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
        above the bounds is kept as ``unknown``, without its body.
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
        size = self._answer_bytes + len(encoded)
        fits = len(encoded) <= MOST_BYTES_PER_ANSWER and size <= self._most_answer_bytes
        if answer["outcome"] == "done" and fits:
            # The encoder's result keeps its larger buffer; a copy has its own size.
            record.answer = bytes(memoryview(encoded))
            self._answer_bytes = size
        return True

    def _is_outside_window(self, first_sent_ms: float) -> bool:
        # The latest wall time counts, so that a clock set back does not bring
        # back keys whose records were removed.
        return (
            first_sent_ms
            < self._latest_wall_ms - IDEMPOTENCY_WINDOW_MS - CLOCK_ERROR_MS
        )

    def _may_vote(self, first_sent_ms: float, wall_now_ms: float) -> bool:
        started_at_ms = self._started_at_ms or wall_now_ms
        is_remembered = first_sent_ms >= started_at_ms + START_MARGIN_MS
        return is_remembered and not is_too_far_in_future(first_sent_ms, wall_now_ms)

    def _reply_of_record(
        self, key: str, record: _Record, vm: str, attempt: str, now: float
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
        if now - record.reserved_at > LONGEST_RUN_MS:
            return _reply(key, "unknown")
        return _reply(key, "in_progress")

    def _is_full(self) -> bool:
        return (
            len(self._record_by_key) >= self._most_records
            or self._answer_bytes >= self._most_answer_bytes
        )

    def _start(
        self,
        key: str,
        record: _Record,
        vm: str,
        attempt: str,
        first_sent_ms: float,
        now: float,
    ) -> None:
        record.state = "running"
        record.vm = sys.intern(vm)
        record.attempt = attempt
        record.reserved_at = now
        latest = max(first_sent_ms, self._latest_wall_ms)
        record.remove_at_ms = latest + IDEMPOTENCY_WINDOW_MS + 2 * CLOCK_ERROR_MS
        if key not in self._record_by_key:
            self._record_by_key[key] = record
            self._remove_later(key, record)

    def _remove_later(self, key: str, record: _Record) -> None:
        second = int(record.remove_at_ms // 1_000) + 1
        if second not in self._keys_by_second:
            self._keys_by_second[second] = []
            heapq.heappush(self._seconds, second)
        self._keys_by_second[second].append(key)

    def _remove_old(self) -> None:
        while self._seconds and self._seconds[0] * 1_000 <= self._latest_wall_ms:
            for key in self._keys_by_second.pop(heapq.heappop(self._seconds)):
                record = self._record_by_key[key]
                if record.remove_at_ms > self._latest_wall_ms:
                    self._remove_later(key, record)
                    continue
                del self._record_by_key[key]
                if record.answer is not None:
                    self._answer_bytes -= len(record.answer)


def unknown_answer(reason: str) -> messages_generated.RecordedAnswer:
    """Return the recorded answer of a request that may or may not have run."""
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

"""Simulate the platform's append-only log service in memory."""

import collections
import dataclasses
import random
import re
import threading
import time
from collections.abc import Callable
from typing import Any, Literal, NamedTuple, TypedDict

from . import fault_values, http_server, json_http

THREAD_COUNT = 64
# Long polls and hanging requests together leave these threads to other requests.
RESERVED_THREADS = 16
MAX_LONG_POLL_MS = 30_000.0
MAX_RECORDS_PER_READ = 10_000
MAX_OFFSET = 2**53
# Interval at which a waiting request checks whether its client has disconnected.
CLIENT_CHECK_INTERVAL_S = 0.25
STREAM_NAME_PATTERN = re.compile(r"[A-Za-z0-9_.-]{1,64}")
RECORDS_PATH_PATTERN = re.compile(r"/streams/([^/]+)/records")


@dataclasses.dataclass(frozen=True, slots=True)
class LogFaults:
    """Configure the faults of a log service; times in ms.

    The next ``lost_answers`` appends take effect without a response. Any other
    append does so with a probability of ``lost_answer_share``.
    """

    append_latency_ms: fault_values.DurationMs = 0.0
    read_latency_ms: fault_values.DurationMs = 0.0
    outage: Literal["none", "refuse", "hang"] = "none"
    lost_answers: fault_values.NonNegativeInt = 0
    lost_answer_share: fault_values.Probability = 0.0


class Retention(NamedTuple):
    """Bound each stream by record count and by age in ms; None for no bound."""

    max_records: int | None = None
    max_age_ms: float | None = None


class _StoredRecord(NamedTuple):
    appended_at_ms: float
    record: dict[str, Any]


class _AppendRequest(TypedDict):
    records: list[dict[str, Any]]


class _Stream:
    """Hold the retained records of one stream."""

    def __init__(self) -> None:
        self.stored_records: collections.deque[_StoredRecord] = collections.deque()
        self.oldest_offset = 0

    @property
    def next_offset(self) -> int:
        return self.oldest_offset + len(self.stored_records)

    def drop_expired(self, retention: Retention, now_ms: float) -> None:
        while self.stored_records and (
            (
                retention.max_records is not None
                and len(self.stored_records) > retention.max_records
            )
            or (
                retention.max_age_ms is not None
                and now_ms - self.stored_records[0].appended_at_ms
                > retention.max_age_ms
            )
        ):
            self.stored_records.popleft()
            self.oldest_offset += 1

    def read_page(self, offset: int, limit: int) -> list[dict[str, Any]]:
        start = offset - self.oldest_offset
        end = min(start + limit, len(self.stored_records))
        return [
            {
                "offset": self.oldest_offset + index,
                "record": self.stored_records[index].record,
            }
            for index in range(start, end)
        ]


class LogService:
    """Serve streams of records with offsets, retention and faults."""

    def __init__(
        self,
        host: str = "127.0.0.1",
        port: int = 0,
        retention: Retention | None = None,
        seed: int = 0,
        clock: Callable[[], float] = time.monotonic,
    ):
        """Initialize with a seed for lost responses and a clock in seconds."""
        self._retention = retention or Retention()
        self._random = random.Random(seed)
        self._clock = clock
        self._faults = LogFaults()
        self._stream_by_name: dict[str, _Stream] = {}
        self._changed = threading.Condition()
        self._waiting_count = 0
        self._closed = False
        self._server = http_server.HttpServer(self._handle, host, port, THREAD_COUNT)

    @property
    def url(self) -> str:
        """Return the base URL."""
        return self._server.url

    @property
    def faults(self) -> LogFaults:
        """Return the faults in force."""
        return self._faults

    def start(self) -> None:
        """Listen and serve; raise OSError if the port is in use."""
        self._closed = False
        self._server.start()

    def close(self, grace_ms: float = 2000.0) -> None:
        """End long polls, wait ``grace_ms`` for other requests and stop."""
        with self._changed:
            self._closed = True
            self._changed.notify_all()
        self._server.close(grace_ms)

    def set_faults(self, **changes: Any) -> None:
        """Change some fields of `LogFaults`; raise BadRequest if one is invalid."""
        with self._changed:
            self._faults = json_http.update_faults(self._faults, changes)
            self._changed.notify_all()

    def records(self, stream: str) -> tuple[dict[str, Any], ...]:
        """Return the retained records of a stream."""
        with self._changed:
            stored_stream = self._stream_by_name.get(stream)
            return (
                tuple(stored.record for stored in stored_stream.stored_records)
                if stored_stream
                else ()
            )

    def _handle(
        self, request: http_server.StandInRequest
    ) -> http_server.StandInResponse:
        try:
            return self._route(request)
        except json_http.BadRequest as error:
            return json_http.error_response(400, str(error))

    def _route(
        self, request: http_server.StandInRequest
    ) -> http_server.StandInResponse:
        if request.path == "/faults":
            return self._handle_faults(request)
        match = RECORDS_PATH_PATTERN.fullmatch(request.path)
        if not match:
            return json_http.error_response(404, f"no such path {request.path!r}")
        if not STREAM_NAME_PATTERN.fullmatch(match[1]):
            raise json_http.BadRequest(f"stream name {match[1]!r} is not valid")
        if request.method == "POST":
            return self._append(match[1], request)
        if request.method == "GET":
            return self._read(match[1], request)
        return json_http.error_response(405, f"method {request.method} is not allowed")

    def _handle_faults(
        self, request: http_server.StandInRequest
    ) -> http_server.StandInResponse:
        if request.method == "POST":
            self.set_faults(**json_http.decode_body(request.body, dict[str, Any]))
        return json_http.json_response(dataclasses.asdict(self._faults))

    def _append(
        self, name: str, request: http_server.StandInRequest
    ) -> http_server.StandInResponse:
        records = json_http.decode_body(request.body, _AppendRequest)["records"]
        if not records:
            raise json_http.BadRequest("records: the list is empty")
        with self._changed:
            self._delay(self._faults.append_latency_ms)
            if outage_response := self._outage_response(request):
                return outage_response
            stream = self._stream_by_name.setdefault(name, _Stream())
            first_offset = stream.next_offset
            now_ms = self._clock() * 1000
            stream.stored_records.extend(
                _StoredRecord(now_ms, record) for record in records
            )
            stream.drop_expired(self._retention, now_ms)
            self._changed.notify_all()
            if self._should_lose_response():
                raise http_server.AbortConnection
        return json_http.json_response({"first_offset": first_offset})

    def _read(
        self, name: str, request: http_server.StandInRequest
    ) -> http_server.StandInResponse:
        offset = json_http.read_integer(request.query, "offset", 0, MAX_OFFSET)
        limit = json_http.read_integer(
            request.query, "limit", 1000, MAX_RECORDS_PER_READ
        )
        wait_ms = json_http.read_number(request.query, "wait_ms", 0.0, MAX_LONG_POLL_MS)
        with self._changed:
            self._delay(self._faults.read_latency_ms)
            self._wait_for_records(name, offset, wait_ms, request)
            if outage_response := self._outage_response(request):
                return outage_response
            stream = self._stream_by_name.get(name) or _Stream()
            stream.drop_expired(self._retention, self._clock() * 1000)
            return _read_response(stream, offset, limit)

    def _delay(self, duration_ms: float) -> None:
        ends_at_s = time.monotonic() + duration_ms / 1000
        while not self._closed and (remaining_s := ends_at_s - time.monotonic()) > 0:
            self._changed.wait(remaining_s)

    def _wait_for_records(
        self,
        name: str,
        offset: int,
        wait_ms: float,
        request: http_server.StandInRequest,
    ) -> None:
        def is_ready() -> bool:
            stream = self._stream_by_name.get(name)
            end_offset = stream.next_offset if stream else 0
            return offset != end_offset or self._faults.outage != "none"

        self._wait_until(is_ready, wait_ms / 1000, request)

    def _outage_response(
        self, request: http_server.StandInRequest
    ) -> http_server.StandInResponse | None:
        if self._faults.outage == "hang":
            self._wait_until(lambda: self._faults.outage != "hang", None, request)
            # The request must not take effect after the client abandoned it.
            raise http_server.AbortConnection
        if self._faults.outage == "refuse" or self._closed:
            return json_http.error_response(503, "the log service is down")
        return None

    def _wait_until(
        self,
        is_ready: Callable[[], bool],
        wait_s: float | None,
        request: http_server.StandInRequest,
    ) -> None:
        """Wait for a condition unless too many requests are already waiting."""
        if self._waiting_count >= THREAD_COUNT - RESERVED_THREADS:
            return
        self._waiting_count += 1
        ends_at_s = None if wait_s is None else time.monotonic() + wait_s
        try:
            while not (is_ready() or self._closed or request.client_disconnected()):
                remaining_s = CLIENT_CHECK_INTERVAL_S
                if ends_at_s is not None:
                    remaining_s = min(remaining_s, ends_at_s - time.monotonic())
                if remaining_s <= 0:
                    return
                self._changed.wait(remaining_s)
        finally:
            self._waiting_count -= 1

    def _should_lose_response(self) -> bool:
        if self._faults.lost_answers:
            remaining_count = self._faults.lost_answers - 1
            self._faults = dataclasses.replace(
                self._faults, lost_answers=remaining_count
            )
            return True
        probability = self._faults.lost_answer_share
        return probability > 0 and self._random.random() < probability


def _read_response(
    stream: _Stream, offset: int, limit: int
) -> http_server.StandInResponse:
    if offset < stream.oldest_offset:
        return json_http.json_response({"oldest_offset": stream.oldest_offset}, 410)
    if offset > stream.next_offset:
        # Only a reader of another log can have received such an offset.
        raise json_http.BadRequest(f"offset: {offset} is past {stream.next_offset}")
    records = stream.read_page(offset, limit)
    document = {
        "records": records,
        "next_offset": offset + len(records),
        "oldest_offset": stream.oldest_offset,
    }
    return json_http.json_response(document)

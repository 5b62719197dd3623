"""Stand in for the platform's append-only log service, in memory."""

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
# Long polls and hanging requests together leave these threads to all other calls.
RESERVED_THREADS = 16
MAX_LONG_POLL_MS = 30_000.0
MAX_RECORDS_PER_READ = 10_000
MAX_OFFSET = 2**53
# How often a waiting request checks whether its client has left.
CLIENT_CHECK_INTERVAL_S = 0.25
STREAM_NAME = re.compile(r"[A-Za-z0-9_.-]{1,64}")
RECORDS_PATH = re.compile(r"/streams/([^/]+)/records")


@dataclasses.dataclass(frozen=True, slots=True)
class LogFaults:
    """Set the faults of a log service; times in ms.

    ``lost_answers`` counts the next appends, and ``lost_answer_share`` is the
    share of all appends, that take effect without a response.
    """

    append_latency_ms: fault_values.DurationMs = 0.0
    read_latency_ms: fault_values.DurationMs = 0.0
    outage: Literal["none", "refuse", "hang"] = "none"
    lost_answers: fault_values.NonNegativeInt = 0
    lost_answer_share: fault_values.Probability = 0.0


class Retention(NamedTuple):
    """Bound each stream by number of records and by age in ms; None for no bound."""

    max_records: int | None = None
    max_age_ms: float | None = None


class _Stored(NamedTuple):
    appended_at_ms: float
    record: dict[str, Any]


class _AppendRequest(TypedDict):
    records: list[dict[str, Any]]


class _Stream:
    """Hold the retained records of one stream."""

    def __init__(self) -> None:
        self.stored: collections.deque[_Stored] = collections.deque()
        self.oldest_offset = 0

    @property
    def next_offset(self) -> int:
        return self.oldest_offset + len(self.stored)

    def retain(self, retention: Retention, now: float) -> None:
        while self.stored and (
            (
                retention.max_records is not None
                and len(self.stored) > retention.max_records
            )
            or (
                retention.max_age_ms is not None
                and now - self.stored[0].appended_at_ms > retention.max_age_ms
            )
        ):
            self.stored.popleft()
            self.oldest_offset += 1

    def page(self, offset: int, limit: int) -> list[dict[str, Any]]:
        start = offset - self.oldest_offset
        end = min(start + limit, len(self.stored))
        return [
            {"offset": self.oldest_offset + index, "record": self.stored[index].record}
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
        """Take an address, bounds, a seed for lost answers and a clock in seconds."""
        self._retention = retention or Retention()
        self._random = random.Random(seed)
        self._clock = clock
        self._faults = LogFaults()
        self._stream_by_name: dict[str, _Stream] = {}
        self._changed = threading.Condition()
        self._waiting = 0
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
        """Listen and serve; raise OSError when the port is taken."""
        self._closed = False
        self._server.start()

    def close(self, grace_ms: float = 2000.0) -> None:
        """End long polls, let other requests finish and stop."""
        with self._changed:
            self._closed = True
            self._changed.notify_all()
        self._server.close(grace_ms)

    def set_faults(self, **changes: Any) -> None:
        """Change some fields of `LogFaults`; raise BadRequest for a wrong one."""
        with self._changed:
            self._faults = json_http.update_faults(self._faults, changes)
            self._changed.notify_all()

    def records(self, stream: str) -> tuple[dict[str, Any], ...]:
        """Return the retained records of a stream."""
        with self._changed:
            held = self._stream_by_name.get(stream)
            return tuple(stored.record for stored in held.stored) if held else ()

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
        match = RECORDS_PATH.fullmatch(request.path)
        if not match:
            return json_http.error_response(404, f"no such path {request.path!r}")
        if not STREAM_NAME.fullmatch(match[1]):
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
            self._pause(self._faults.append_latency_ms)
            if refusal := self._refusal(request):
                return refusal
            stream = self._stream_by_name.setdefault(name, _Stream())
            first_offset = stream.next_offset
            now = self._clock() * 1000
            stream.stored.extend(_Stored(now, record) for record in records)
            stream.retain(self._retention, now)
            self._changed.notify_all()
            if self._loses_answer():
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
            self._pause(self._faults.read_latency_ms)
            self._await_records(name, offset, wait_ms, request)
            if refusal := self._refusal(request):
                return refusal
            stream = self._stream_by_name.get(name) or _Stream()
            stream.retain(self._retention, self._clock() * 1000)
            return _read_response(stream, offset, limit)

    def _pause(self, duration_ms: float) -> None:
        ends_at = time.monotonic() + duration_ms / 1000
        while not self._closed and (left := ends_at - time.monotonic()) > 0:
            self._changed.wait(left)

    def _await_records(
        self,
        name: str,
        offset: int,
        wait_ms: float,
        request: http_server.StandInRequest,
    ) -> None:
        def is_ready() -> bool:
            stream = self._stream_by_name.get(name)
            end = stream.next_offset if stream else 0
            return offset != end or self._faults.outage != "none"

        self._park(is_ready, wait_ms / 1000, request)

    def _refusal(
        self, request: http_server.StandInRequest
    ) -> http_server.StandInResponse | None:
        if self._faults.outage == "hang":
            self._park(lambda: self._faults.outage != "hang", None, request)
            # The request must not take effect after the client gave up on it.
            raise http_server.AbortConnection
        if self._faults.outage == "refuse" or self._closed:
            return json_http.error_response(503, "the log service is down")
        return None

    def _park(
        self,
        is_ready: Callable[[], bool],
        wait_s: float | None,
        request: http_server.StandInRequest,
    ) -> None:
        """Wait for a condition unless too many requests wait already."""
        if self._waiting >= THREAD_COUNT - RESERVED_THREADS:
            return
        self._waiting += 1
        ends_at = None if wait_s is None else time.monotonic() + wait_s
        try:
            while not (is_ready() or self._closed or request.client_disconnected()):
                left = CLIENT_CHECK_INTERVAL_S
                if ends_at is not None:
                    left = min(left, ends_at - time.monotonic())
                if left <= 0:
                    return
                self._changed.wait(left)
        finally:
            self._waiting -= 1

    def _loses_answer(self) -> bool:
        if self._faults.lost_answers:
            left = self._faults.lost_answers - 1
            self._faults = dataclasses.replace(self._faults, lost_answers=left)
            return True
        share = self._faults.lost_answer_share
        return share > 0 and self._random.random() < share


def _read_response(
    stream: _Stream, offset: int, limit: int
) -> http_server.StandInResponse:
    if offset < stream.oldest_offset:
        return json_http.json_response({"oldest_offset": stream.oldest_offset}, 410)
    if offset > stream.next_offset:
        # Only a reader of another log can have seen such an offset.
        raise json_http.BadRequest(f"offset: {offset} is past {stream.next_offset}")
    records = stream.page(offset, limit)
    document = {
        "records": records,
        "next_offset": offset + len(records),
        "oldest_offset": stream.oldest_offset,
    }
    return json_http.json_response(document)

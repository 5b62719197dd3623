"""Append records to the platform's log service and read them back."""

import dataclasses
import time
import urllib.parse
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple, TypedDict

import msgspec
import urllib3

# Limits the memory that an invalid or hostile reply can occupy.
MAX_REPLY_BYTES = 64 * 1024 * 1024
CHUNK_BYTES = 65_536
OK_STATUSES = (200, 201)
GONE_STATUS = 410
CLIENT_ERROR_STATUSES = range(400, 500)
# Client errors after which the same call may succeed later: request timeout and
# rate limit.
RETRYABLE_STATUSES = (408, 429)
UNAVAILABLE_STATUS = 503
MAX_ERROR_TEXT_BYTES = 200

JSON_HEADERS = {"Content-Type": "application/json"}


class LoggedRecord(NamedTuple):
    """Pair a record with its offset in the stream."""

    offset: int
    record: dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Appended:
    """Report that the records were appended contiguously from ``first_offset``."""

    first_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class AppendUnknown:
    """Report that the records may or may not have been appended."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class LogUnavailable:
    """Report that the call had no effect: nothing was appended or read.

    ``rejected`` is true when repeating the same call cannot succeed.
    """

    reason: str
    rejected: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ReadBatch:
    """Hold consecutive records; the next read starts at ``next_offset``."""

    records: tuple[LoggedRecord, ...]
    next_offset: int
    oldest_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Gap:
    """Report that retention removed the record at the requested offset."""

    oldest_offset: int


class _AppendReply(TypedDict):
    first_offset: int


class _GapReply(TypedDict):
    oldest_offset: int


class _ReadReplyItem(TypedDict):
    offset: int
    record: dict[str, Any]


class _ReadReply(TypedDict):
    records: list[_ReadReplyItem]
    next_offset: int
    oldest_offset: int


class _Reply(NamedTuple):
    status: int
    body: bytes


class _ReplyError(Exception):
    """Reply of the log service that is too long or took too long."""


class LogClient:
    """Call one log service over pooled connections; thread-safe."""

    def __init__(
        self,
        url: str,
        timeout_ms: float = 2000.0,
        clock: Callable[[], float] = time.monotonic,
    ):
        """Create a client for a base URL; each call is limited to ``timeout_ms``.

        ``clock`` returns monotonic time in seconds.
        """
        self._timeout_s = timeout_ms / 1000
        self._clock = clock
        self._prefix = (urllib3.util.parse_url(url).path or "").rstrip("/")
        self._pool = urllib3.connection_from_url(url, maxsize=8, retries=False)

    def append(
        self, stream: str, records: Sequence[dict[str, Any]]
    ) -> Appended | AppendUnknown | LogUnavailable:
        """Append records as one batch, which is sent at most once."""
        body = msgspec.json.encode({"records": list(records)})
        try:
            reply = self._call("POST", self._path(stream), body, self._timeout_s)
        except (
            # Raised before a connection exists, so no byte was sent. The subclass
            # NewConnectionError covers a refused connection.
            urllib3.exceptions.ConnectTimeoutError,
            urllib3.exceptions.ClosedPoolError,
        ) as error:
            return LogUnavailable(f"connection failed: {error}")
        except (urllib3.exceptions.HTTPError, _ReplyError) as error:
            return AppendUnknown(f"no complete reply: {error}")
        return decode_append_reply(reply.status, reply.body)

    def read(
        self, stream: str, offset: int, wait_ms: float = 0.0, limit: int = 1000
    ) -> ReadBatch | Gap | LogUnavailable:
        """Read records from an offset; wait up to ``wait_ms`` for the first one."""
        query = {"offset": offset, "wait_ms": f"{wait_ms:g}", "limit": limit}
        path = f"{self._path(stream)}?{urllib.parse.urlencode(query)}"
        timeout_s = self._timeout_s + wait_ms / 1000
        try:
            reply = self._call("GET", path, None, timeout_s)
        except (urllib3.exceptions.HTTPError, _ReplyError) as error:
            return LogUnavailable(f"no complete reply: {error}")
        return decode_read_reply(reply.status, reply.body, offset)

    def close(self) -> None:
        """Close the pooled connections; later calls return `LogUnavailable`."""
        self._pool.close()

    def _path(self, stream: str) -> str:
        return f"{self._prefix}/streams/{urllib.parse.quote(stream, safe='')}/records"

    def _call(
        self, method: str, path: str, body: bytes | None, timeout_s: float
    ) -> _Reply:
        deadline_at = self._clock() + timeout_s
        response = self._pool.urlopen(
            method,
            path,
            body=body,
            headers=JSON_HEADERS,
            retries=False,
            redirect=False,
            timeout=urllib3.Timeout(total=timeout_s),
            preload_content=False,
            decode_content=False,
        )
        body_complete = False
        try:
            content = self._read_body(response, deadline_at)
            body_complete = True
        finally:
            if not body_complete:
                # A connection with unread response bytes cannot be reused.
                response.close()
            response.release_conn()
        return _Reply(response.status, content)

    def _read_body(
        self, response: urllib3.BaseHTTPResponse, deadline_at: float
    ) -> bytes:
        # The socket timeout applies to each receive call only; a reply that
        # arrives in many small pieces needs a limit on its total time.
        content = bytearray()
        while chunk := response.read1(CHUNK_BYTES, decode_content=False):
            content += chunk
            if len(content) > MAX_REPLY_BYTES:
                raise _ReplyError(f"reply is longer than {MAX_REPLY_BYTES} bytes")
            if self._clock() > deadline_at:
                raise _ReplyError(f"reply timed out after {len(content)} bytes")
        return bytes(content)


def decode_append_reply(
    status: int, body: bytes
) -> Appended | AppendUnknown | LogUnavailable:
    """Return the outcome of an append from its complete HTTP reply."""
    if status == UNAVAILABLE_STATUS or status in CLIENT_ERROR_STATUSES:
        return LogUnavailable(_describe_error(status, body), _is_rejection(status))
    if status not in OK_STATUSES:
        return AppendUnknown(_describe_error(status, body))
    try:
        reply = msgspec.json.decode(body, type=_AppendReply)
    except (ValueError, RecursionError) as error:
        return AppendUnknown(f"invalid reply: {error}")
    if reply["first_offset"] < 0:
        return AppendUnknown(
            f"invalid reply: found first_offset {reply['first_offset']}, "
            "expected at least 0"
        )
    return Appended(reply["first_offset"])


def decode_read_reply(
    status: int, body: bytes, offset: int
) -> ReadBatch | Gap | LogUnavailable:
    """Return the outcome of a read at an offset from its complete HTTP reply."""
    try:
        if status == GONE_STATUS:
            gap = msgspec.json.decode(body, type=_GapReply)
            return _check_gap(gap["oldest_offset"], offset)
        if status not in OK_STATUSES:
            return LogUnavailable(_describe_error(status, body), _is_rejection(status))
        reply = msgspec.json.decode(body, type=_ReadReply)
    except (ValueError, RecursionError) as error:
        return LogUnavailable(f"invalid reply: {error}")
    return _check_batch(reply, offset)


def _check_gap(oldest_offset: int, offset: int) -> Gap | LogUnavailable:
    if oldest_offset <= offset:
        return LogUnavailable(
            f"invalid reply: found oldest_offset {oldest_offset}, "
            f"expected more than {offset}"
        )
    return Gap(oldest_offset)


def _check_batch(reply: _ReadReply, offset: int) -> ReadBatch | LogUnavailable:
    # Readers that skip or repeat a record would reach different decisions.
    expected_offset = offset
    for item in reply["records"]:
        if item["offset"] != expected_offset:
            return LogUnavailable(
                f"invalid reply: found offset {item['offset']}, "
                f"expected {expected_offset}"
            )
        expected_offset += 1
    if reply["next_offset"] != expected_offset:
        return LogUnavailable(
            f"invalid reply: found next_offset {reply['next_offset']}, "
            f"expected {expected_offset}"
        )
    if not 0 <= reply["oldest_offset"] <= expected_offset:
        return LogUnavailable(
            f"invalid reply: found oldest_offset {reply['oldest_offset']}, "
            "expected 0 to next_offset"
        )
    records = tuple(
        LoggedRecord(item["offset"], item["record"]) for item in reply["records"]
    )
    return ReadBatch(records, reply["next_offset"], reply["oldest_offset"])


def _is_rejection(status: int) -> bool:
    return status in CLIENT_ERROR_STATUSES and status not in RETRYABLE_STATUSES


def _describe_error(status: int, body: bytes) -> str:
    text = body[:MAX_ERROR_TEXT_BYTES].decode(errors="replace")
    return f"status {status}: {text}"

"""Send requests to upstreams and classify what the responses or failures prove."""

import functools
import math
import threading
import time
from typing import Any, NamedTuple

import urllib3
import urllib3.connection
import urllib3.exceptions

from wasabivalve import events, outcomes, retries

from . import response_limits

# A connection that was idle for longer may be dead without notice; opening a new one
# costs about 1 ms.
MAX_IDLE_MS = 1_000.0
CONNECT_TIMEOUT_MS = 250.0
PIECE_BYTES = 65_536
"""Bytes of a body that are read at once."""

REQUEST_ID_HEADER = "Wasabivalve-Request-Id"
TOKEN_HEADER = "Wasabivalve-Token"
DEADLINE_HEADER = "Wasabivalve-Deadline-Ms"
# The server did not own the key, either at the start or at the commit of the request.
NOT_OWNER_STATUSES = (409, 421)
# Raised before the first byte of a request is written.
UNSENT_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.EmptyPoolError,
)


class UpstreamAddress(NamedTuple):
    """Hold the IP address and port of an upstream."""

    host: str
    port: int


class UpstreamRequest(NamedTuple):
    """Describe one attempt at an upstream."""

    address: UpstreamAddress
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    request_id: str
    token: str
    timeout_ms: float


class AttemptResult(NamedTuple):
    """Describe the outcome of one attempt and the state of the upstream.

    ``crashed`` means that the connection was refused or broke, ``stale_owner`` that
    the server does not own the key. ``is_final`` forbids another attempt. A positive
    ``deferral_ms`` means that nothing was sent. Until the ``wait_deadline_at`` of the
    request the attempt is repeated without use of the retry budget, after this time
    but at most ``request_path.MAX_DEFERRAL_MS``.
    """

    outcome: outcomes.Outcome
    duration_ms: float
    crashed: bool = False
    read_timed_out: bool = False
    stale_owner: bool = False
    is_final: bool = False
    deferral_ms: float = 0.0


class _Connection(urllib3.connection.HTTPConnection):
    """Read responses within the limits of ``response_limits``."""

    def getresponse(self) -> Any:
        """Return the response; its time limit is the timeout of this connection."""
        timeout_s = self.timeout if isinstance(self.timeout, int | float) else math.inf
        self.response_class = functools.partial(  # type: ignore[assignment]
            response_limits.BoundedResponse,
            deadline_at=time.monotonic() + timeout_s,
        )
        return super().getresponse()


class _ConnectionPool(urllib3.HTTPConnectionPool):
    """Pool connections, but replace suspicious ones.

    These were idle for long, were opened before the latest read timeout, or carried a
    refusal or an answer to another request.
    """

    ConnectionCls = _Connection

    def __init__(self, *arguments: Any, **options: Any):
        super().__init__(*arguments, **options)
        self.discard_opened_before = 0.0

    def _new_conn(self) -> Any:
        connection: Any = super()._new_conn()
        connection.opened_at = connection.idle_since = time.monotonic()
        connection.replace_before_use = False
        return connection

    def _get_conn(self, timeout: float | None = None) -> Any:
        connection: Any = super()._get_conn(timeout)
        idle_ms = (time.monotonic() - connection.idle_since) * 1000
        if (
            idle_ms > MAX_IDLE_MS
            or connection.opened_at < self.discard_opened_before
            or connection.replace_before_use
        ):
            connection.close()
            connection.opened_at = time.monotonic()
            connection.replace_before_use = False
        return connection

    def _put_conn(self, connection: Any) -> None:
        if connection is not None:
            connection.idle_since = time.monotonic()
        super()._put_conn(connection)


class UpstreamClient:
    """Pool the connections of this process to every upstream; thread-safe."""

    def __init__(
        self,
        connections_per_instance: int,
        max_body_bytes: int,
        memory_bytes: int,
    ):
        self._connections_per_instance = connections_per_instance
        self._max_body_bytes = max_body_bytes
        self._memory = response_limits.ResponseMemory(memory_bytes)
        self._pool_by_address: dict[UpstreamAddress, _ConnectionPool] = {}
        self._lock = threading.Lock()

    def send(self, request: UpstreamRequest) -> AttemptResult:
        """Make one attempt; its outcome states whether the request has run."""
        pool = self._find_pool(request.address)
        started_at = time.monotonic()
        try:
            response = pool.urlopen(
                request.method,
                request.target,
                body=request.body,
                headers=_headers(request),
                retries=False,
                redirect=False,
                preload_content=False,
                decode_content=False,
                assert_same_host=False,
                timeout=_timeout(request.timeout_ms),
                pool_timeout=min(request.timeout_ms, CONNECT_TIMEOUT_MS) / 1000,  # type: ignore[arg-type]
            )
        except urllib3.exceptions.HTTPError as error:
            return _result_of_failure(pool, error, started_at)
        return self._read_response(pool, request, response, started_at)

    def close(self) -> None:
        """Close every idle connection."""
        with self._lock:
            for pool in self._pool_by_address.values():
                pool.close()
            self._pool_by_address.clear()

    def _find_pool(self, address: UpstreamAddress) -> _ConnectionPool:
        with self._lock:
            pool = self._pool_by_address.get(address)
            if pool is None:
                pool = _ConnectionPool(
                    address.host,
                    address.port,
                    maxsize=self._connections_per_instance,
                    block=True,
                )
                self._pool_by_address[address] = pool
            return pool

    def _read_response(
        self,
        pool: _ConnectionPool,
        request: UpstreamRequest,
        response: urllib3.BaseHTTPResponse,
        started_at: float,
    ) -> AttemptResult:
        if not retries.is_final_status(response.status):
            # The standard library returns every interim response but 100 as final.
            response.close()
            reason = f"status {response.status:03} is not that of an answer"
            events.emit(400, request_id=request.request_id, error=reason)
            return AttemptResult(outcomes.Unknown(reason), _elapsed_ms(started_at))
        if not _is_reusable(request, response) and response.connection is not None:
            response.connection.replace_before_use = True  # type: ignore[attr-defined]
        try:
            body = self._read_body(response)
        except urllib3.exceptions.HTTPError as error:
            response.close()
            events.emit(400, request_id=request.request_id, error=type(error).__name__)
            return _result_of_failure(pool, error, started_at)
        duration_ms = _elapsed_ms(started_at)
        if body is None:
            response.close()
            reason = f"answer exceeds {self._max_body_bytes} bytes or a share of all"
            events.emit(403, request=request.request_id, reason=reason)
            return AttemptResult(outcomes.Unknown(reason), duration_ms)
        response.release_conn()
        return _result_of_response(request, response, body, duration_ms)

    def _read_body(self, response: urllib3.BaseHTTPResponse) -> bytes | None:
        """Return the body, or None if it or all of them together are too large."""
        # urllib3 compares the length with Content-Length only at the end of the stream.
        # Pieces of one size leave no gaps in the heaps of the threads.
        pieces: list[bytes] = []
        last_piece = bytearray()
        size = 0
        bounded = getattr(response, "_original_response", None)
        self._memory.start()
        try:
            for data in response.stream(PIECE_BYTES, decode_content=False):
                last_piece += data
                size += len(data)
                if len(last_piece) >= PIECE_BYTES:
                    pieces.append(bytes(last_piece))
                    last_piece.clear()
                if isinstance(bounded, response_limits.BoundedResponse):
                    bounded.on_body(size)
                may_go_on = self._memory.add(len(data), size)
                if size > self._max_body_bytes or not may_go_on:
                    return None
            return b"".join([*pieces, last_piece])
        finally:
            self._memory.end(size)


def _is_reusable(request: UpstreamRequest, response: urllib3.BaseHTTPResponse) -> bool:
    """Return whether another request may use the connection of a response.

    A second copy of a refusal, or the right answer after one to another request, would
    be taken for the answer to that request.
    """
    is_refusal = (
        response.headers.get(retries.RUN_HEADER) is not None
        or response.status == retries.MISDIRECTED_STATUS
    )
    echoed_id = response.headers.get(REQUEST_ID_HEADER)
    return not is_refusal and echoed_id == request.request_id


def _result_of_response(
    request: UpstreamRequest,
    response: urllib3.BaseHTTPResponse,
    body: bytes,
    duration_ms: float,
) -> AttemptResult:
    # Without an id, the response may be a copy of one to an earlier request.
    echoed_id = response.headers.get(REQUEST_ID_HEADER)
    outcome = retries.classify(
        retries.UpstreamResponse(
            response.status,
            tuple(response.headers.items()),
            body,
            request_id_matches=echoed_id == request.request_id,
        )
    )
    refused = isinstance(outcome, outcomes.NotRun)
    stale_owner = refused and response.status in NOT_OWNER_STATUSES
    return AttemptResult(outcome, duration_ms, stale_owner=stale_owner)


def _result_of_failure(
    pool: _ConnectionPool, error: urllib3.exceptions.HTTPError, started_at: float
) -> AttemptResult:
    duration_ms = _elapsed_ms(started_at)
    unsent = isinstance(error, UNSENT_ERRORS)
    failure = retries.TransportFailure(type(error).__name__, not unsent)
    read_timed_out = isinstance(error, urllib3.exceptions.ReadTimeoutError)
    if read_timed_out:
        # Connections opened before may share the fault that made this one time out.
        pool.discard_opened_before = time.monotonic()
        events.emit(402, host=pool.host, port=pool.port)
    connection_refused = isinstance(error, urllib3.exceptions.NewConnectionError)
    crashed = connection_refused or not (unsent or read_timed_out)
    return AttemptResult(
        retries.classify(failure),
        duration_ms,
        crashed=crashed,
        read_timed_out=read_timed_out,
    )


def _headers(request: UpstreamRequest) -> dict[str, str]:
    headers = dict(request.headers)
    headers[REQUEST_ID_HEADER] = request.request_id
    headers[DEADLINE_HEADER] = str(max(1, int(request.timeout_ms)))
    if request.token:
        headers[TOKEN_HEADER] = request.token
    return headers


def _timeout(timeout_ms: float) -> urllib3.Timeout:
    connect_ms = min(timeout_ms, CONNECT_TIMEOUT_MS)
    return urllib3.Timeout(connect=connect_ms / 1000, read=timeout_ms / 1000)


def _elapsed_ms(started_at: float) -> float:
    return (time.monotonic() - started_at) * 1000

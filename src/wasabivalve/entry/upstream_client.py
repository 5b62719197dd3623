"""Send requests to upstreams and tell what their answers prove."""

import threading
import time
from typing import Any, NamedTuple

import urllib3
import urllib3.connection
import urllib3.exceptions

from wasabivalve import events, outcomes, retries

# A connection idle for longer may have gone silent; a new one costs about 1 ms.
MAX_IDLE_MS = 1_000.0
CONNECT_TIMEOUT_MS = 250.0
REQUEST_ID_HEADER = "Wasabivalve-Request-Id"
TOKEN_HEADER = "Wasabivalve-Token"
DEADLINE_HEADER = "Wasabivalve-Deadline-Ms"
# The server did not own the key, at the start or at the commit.
NOT_OWNER_STATUSES = (409, 421)
# Raised before the first byte of a request is written.
UNSENT_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.EmptyPoolError,
)


class UpstreamAddress(NamedTuple):
    """Name the IP address and port of an upstream."""

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
    """Tell the outcome of one attempt and what it says of the upstream."""

    outcome: outcomes.Outcome
    duration_ms: float
    crashed: bool = False
    read_timed_out: bool = False
    stale_owner: bool = False
    is_final: bool = False
    deferral_ms: float = 0.0


class _FreshPool(urllib3.HTTPConnectionPool):
    """Keep connections, but drop those idle for long or older than a silent one."""

    def __init__(self, *arguments: Any, **options: Any):
        super().__init__(*arguments, **options)
        self.distrusted_before = 0.0

    def _new_conn(self) -> Any:
        connection: Any = super()._new_conn()
        connection.opened_at = connection.idle_since = time.monotonic()
        return connection

    def _get_conn(self, timeout: float | None = None) -> Any:
        connection: Any = super()._get_conn(timeout)
        idle_ms = (time.monotonic() - connection.idle_since) * 1000
        if idle_ms > MAX_IDLE_MS or connection.opened_at < self.distrusted_before:
            connection.close()
            connection.opened_at = time.monotonic()
        return connection

    def _put_conn(self, connection: Any) -> None:
        if connection is not None:
            connection.idle_since = time.monotonic()
        super()._put_conn(connection)


class UpstreamClient:
    """Hold the connections of this process to every upstream."""

    def __init__(self, connections_per_instance: int, maximum_body_bytes: int):
        self._connections = connections_per_instance
        self._maximum_body_bytes = maximum_body_bytes
        self._pool_by_address: dict[UpstreamAddress, _FreshPool] = {}
        self._lock = threading.Lock()

    def send(self, request: UpstreamRequest) -> AttemptResult:
        """Run one attempt; the outcome tells what is proved."""
        pool = self._pool(request.address)
        started = time.monotonic()
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
            return _failed(pool, error, started)
        return self._read(pool, request, response, started)

    def close(self) -> None:
        """Close every idle connection."""
        with self._lock:
            for pool in self._pool_by_address.values():
                pool.close()
            self._pool_by_address.clear()

    def _pool(self, address: UpstreamAddress) -> _FreshPool:
        with self._lock:
            pool = self._pool_by_address.get(address)
            if pool is None:
                pool = _FreshPool(
                    address.host, address.port, maxsize=self._connections, block=True
                )
                self._pool_by_address[address] = pool
            return pool

    def _read(
        self,
        pool: _FreshPool,
        request: UpstreamRequest,
        response: urllib3.BaseHTTPResponse,
        started: float,
    ) -> AttemptResult:
        try:
            body = _read_bounded(response, self._maximum_body_bytes)
        except urllib3.exceptions.HTTPError as error:
            response.close()
            events.emit(400, request_id=request.request_id, error=type(error).__name__)
            return _failed(pool, error, started)
        duration_ms = _elapsed_ms(started)
        if body is None:
            response.close()
            reason = f"answer is larger than {self._maximum_body_bytes} bytes"
            return AttemptResult(outcomes.Unknown(reason), duration_ms)
        response.release_conn()
        return _answered(request, response, body, duration_ms)


def _read_bounded(
    response: urllib3.BaseHTTPResponse, maximum_bytes: int
) -> bytes | None:
    # Reading to the end makes urllib3 compare the length with Content-Length.
    body = bytearray()
    for part in response.stream(65_536, decode_content=False):
        body += part
        if len(body) > maximum_bytes:
            return None
    return bytes(body)


def _answered(
    request: UpstreamRequest,
    response: urllib3.BaseHTTPResponse,
    body: bytes,
    duration_ms: float,
) -> AttemptResult:
    echoed = response.headers.get(REQUEST_ID_HEADER, request.request_id)
    outcome = retries.classify(
        retries.UpstreamResponse(
            response.status,
            tuple(response.headers.items()),
            body,
            request_id_matches=echoed == request.request_id,
        )
    )
    refused = isinstance(outcome, outcomes.NotRun)
    stale_owner = refused and response.status in NOT_OWNER_STATUSES
    return AttemptResult(outcome, duration_ms, stale_owner=stale_owner)


def _failed(
    pool: _FreshPool, error: urllib3.exceptions.HTTPError, started: float
) -> AttemptResult:
    duration_ms = _elapsed_ms(started)
    unsent = isinstance(error, UNSENT_ERRORS)
    failure = retries.TransportFailure(type(error).__name__, not unsent)
    read_timed_out = isinstance(error, urllib3.exceptions.ReadTimeoutError)
    if read_timed_out:
        # Connections of the same age share the fault that silenced this one.
        pool.distrusted_before = time.monotonic()
        events.emit(402, host=pool.host, port=pool.port)
    refused = isinstance(error, urllib3.exceptions.NewConnectionError)
    crashed = refused or not (unsent or read_timed_out)
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


def _elapsed_ms(started: float) -> float:
    return (time.monotonic() - started) * 1000

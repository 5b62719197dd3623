"""Define HTTP requests and responses, and the headers of a deployment."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

import xxhash

from . import response_stream

Headers = list[tuple[bytes, bytes]]

UNFORWARDED_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
"""Headers that apply to one connection; each connection gets its own framing."""

REASON_BY_STATUS = {
    100: b"Continue",
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    421: b"Misdirected Request",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


MAX_RETRY_AFTER_S = 3_600.0
"""Longest time for which an instance can turn a VM away."""


class InstanceLoadReport(NamedTuple):
    """Hold the load that an instance reports: running and waiting requests, slots.

    ``slowness`` is how long work takes on its machine at this moment, relative to the
    usual time; None if the instance does not report it.
    """

    running: int
    waiting: int
    slots: int
    slowness: float | None = None


class HeaderFormat(NamedTuple):
    """Name the headers of a deployment, in lower case, and convert their values.

    ``origin_proof`` marks responses that an instance produced, ``not_run`` those that
    state that the request has not run; ``responding_instance`` names the instance that
    produced one. ``key`` holds a request's key for partitioned services.
    ``request_limit`` is the number of requests per second that an instance takes from
    all VMs, and ``leaving`` says that it leaves. ``warmup_left`` says for how long
    it stays cold. Decoded times are in s.
    """

    request_id: bytes
    time_left: bytes
    expected_instance: bytes
    responding_instance: bytes
    origin_proof: bytes
    not_run: bytes
    key: bytes
    load_report: bytes
    request_limit: bytes
    leaving: bytes
    warmup_left: bytes
    decode_key: Callable[[bytes], int | None]
    decode_time_left: Callable[[bytes], float | None]
    encode_time_left: Callable[[float], bytes]
    decode_load_report: Callable[[bytes], InstanceLoadReport | None]
    decode_request_limit: Callable[[bytes], float | None]
    decode_warmup_left: Callable[[bytes], float | None]


class HttpRequest(NamedTuple):
    """Hold a complete request; ``received_at`` is in s of the event loop's clock.

    ``caller`` is the address of the caller. The request may be forwarded while
    ``may_begin`` is set; None means always. Its response may be passed on before it is
    complete if ``may_stream`` returns so.
    """

    method: bytes
    target: bytes
    path: str
    host: str
    headers: Headers
    body: bytes | bytearray
    keep_alive: bool
    received_at: float
    caller: str = ""
    may_begin: asyncio.Event | None = None
    may_stream: Callable[[], bool] | None = None
    takes_chunks: bool = True

    def fingerprint(self, caller: str = "") -> str:
        """Return a digest that stays the same when a caller sends a request anew.

        Without a caller, it is the same for all of them.
        """
        digest = xxhash.xxh3_128()
        host = self.host.encode()
        for part in (caller.encode(), host, self.method, self.target, self.body):
            digest.update(len(part).to_bytes(8, "big"))
            digest.update(part)
        return digest.hexdigest()

    def header(self, name: bytes) -> bytes | None:
        """Return the value of a header that occurs exactly once, or None."""
        values = [value for header_name, value in self.headers if header_name == name]
        return values[0] if len(values) == 1 else None


class HttpResponse(NamedTuple):
    """Hold a response; a ``close_delimited`` one ends with its connection.

    If ``stream`` is set, it holds the body in place of ``body``.
    """

    status: int
    reason: bytes
    headers: Headers
    body: bytes
    close_delimited: bool = False
    stream: response_stream.ResponseStream | None = None

    @property
    def body_bytes(self) -> int:
        """Return the size of the body; the least one if it comes in chunks."""
        if self.stream is None:
            return len(self.body)
        return self.stream.body_bytes or response_stream.STREAM_FROM_BYTES

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or None."""
        for header_name, value in self.headers:
            if header_name == name:
                return value
        return None


def decode_retry_after(response: HttpResponse) -> float | None:
    """Return the time in s after which a client may return, or None if not given."""
    value = response.header(b"retry-after")
    try:
        retry_after_s = float(value or b"")
    except ValueError:
        # Without a header, or with a date, which no instance sends.
        return None
    return min(retry_after_s, MAX_RETRY_AFTER_S) if retry_after_s > 0.0 else None


def local_response(
    status: int, text: str, retry_after_s: float | None = None
) -> HttpResponse:
    """Return a response that the gateway itself produces."""
    headers = [(b"content-type", b"text/plain; charset=utf-8")]
    if retry_after_s is not None:
        headers.append((b"retry-after", f"{retry_after_s:.3f}".encode()))
    return HttpResponse(
        status, REASON_BY_STATUS[status], headers, text.encode() + b"\n"
    )


def encode_request_head(
    method: bytes, target: bytes, headers: Headers, body_bytes: int, chunked: bool
) -> bytes:
    """Return the head of a request that keeps its connection open."""
    lines = [method + b" " + target + b" HTTP/1.1\r\n"]
    lines += [name + b": " + value + b"\r\n" for name, value in headers]
    if body_bytes or chunked or method in (b"POST", b"PUT", b"PATCH"):
        lines.append(b"content-length: %d\r\n" % body_bytes)
    lines.append(b"\r\n")
    return b"".join(lines)


def encode_request(
    method: bytes, target: bytes, headers: Headers, body: bytes, chunked: bool
) -> bytes:
    """Return the bytes of a request that keeps its connection open."""
    return encode_request_head(method, target, headers, len(body), chunked) + body


def split_response(
    response: HttpResponse, connection_headers: Headers, for_head_request: bool
) -> tuple[bytes, bytes]:
    """Return the encoded head and the body of a response; a streamed one has none."""
    reason = response.reason or REASON_BY_STATUS.get(response.status, b"")
    lines = [b"HTTP/1.1 %d " % response.status + reason + b"\r\n"]
    lines += [name + b": " + value + b"\r\n" for name, value in response.headers]
    lines += [name + b": " + value + b"\r\n" for name, value in connection_headers]
    has_no_body = response.status in (204, 304)
    if response.stream is not None:
        length = response.stream.body_bytes
        lines.append(
            b"transfer-encoding: chunked\r\n\r\n"
            if length is None
            else b"content-length: %d\r\n\r\n" % length
        )
        return b"".join(lines), b""
    if not response.close_delimited and not has_no_body:
        lines.append(b"content-length: %d\r\n" % len(response.body))
    lines.append(b"\r\n")
    has_no_body = has_no_body or for_head_request
    return b"".join(lines), b"" if has_no_body else response.body


def encode_response(
    response: HttpResponse, connection_headers: Headers, for_head_request: bool
) -> bytes:
    """Return the bytes of a response with the given connection headers."""
    head, body = split_response(response, connection_headers, for_head_request)
    return head + body

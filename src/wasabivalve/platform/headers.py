"""Define the platform's header names and the encoding of their values."""

import math

from wasabivalve import untrusted_data
from wasabivalve.gateway import messages

MAX_KEY = 65_535

MAX_LOAD_FIGURE = 10**9
"""Largest number of requests or slots in a load report that is believed."""

USUAL_SLOWNESS = 100.0
"""Fourth figure of a load report if work takes as long as usual."""


def _decode_key(value: bytes) -> int | None:
    return untrusted_data.decode_digits(value, MAX_KEY)


def _decode_time_left(value: bytes) -> float | None:
    """Return the time left in s from a header value in ms, or None if it is invalid."""
    try:
        time_left_ms = float(value)
    except ValueError:
        return None
    return time_left_ms / 1000.0 if 0.0 <= time_left_ms < 1e9 else None


def _encode_time_left(time_left_s: float) -> bytes:
    return b"%d" % max(1, int(time_left_s * 1000.0))


def _decode_load_report(value: bytes) -> messages.InstanceLoadReport | None:
    """Return the report of a header value, or None if it is invalid.

    The fourth figure is optional. Without a valid one, the other three still count.
    """
    fields = [field.strip() for field in value.split(b",")]
    figures = [
        figure
        for field in fields[:3]
        if (figure := untrusted_data.decode_digits(field, MAX_LOAD_FIGURE)) is not None
    ]
    if len(fields) not in (3, 4) or len(figures) != 3:
        return None
    running, waiting, slots = figures
    slowness = _decode_slowness(fields[3]) if len(fields) == 4 else None
    return messages.InstanceLoadReport(running, waiting, slots, slowness)


def _decode_slowness(value: bytes) -> float | None:
    """Return the relative duration of work; ``USUAL_SLOWNESS`` on the wire is 1."""
    try:
        slowness = float(value) / USUAL_SLOWNESS
    except ValueError:
        return None
    return slowness if 0.0 < slowness < math.inf else None


def _decode_request_limit(value: bytes) -> float | None:
    """Return a limit in requests per second, or None if it is invalid."""
    try:
        limit_per_s = float(value)
    except ValueError:
        return None
    return limit_per_s if 0.0 <= limit_per_s < math.inf else None


HEADER_FORMAT = messages.HeaderFormat(
    request_id=b"request-id",
    time_left=b"deadline-ms",
    expected_instance=b"expected-instance",
    responding_instance=b"instance-id",
    origin_proof=b"response-signature",
    not_run=b"not-executed",
    key=b"shard-key",
    load_report=b"instance-load",
    request_limit=b"server-limit",
    leaving=b"server-leaving",
    warmup_left=b"warmup-ms",
    decode_key=_decode_key,
    decode_time_left=_decode_time_left,
    encode_time_left=_encode_time_left,
    decode_load_report=_decode_load_report,
    decode_request_limit=_decode_request_limit,
    decode_warmup_left=_decode_time_left,
)

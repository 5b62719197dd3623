"""Name the platform's headers and decode their values."""

from wasabivalve.gateway import messages

LARGEST_KEY = 65_535


def _decode_key(value: bytes) -> int | None:
    if value.isdigit() and int(value) <= LARGEST_KEY:
        return int(value)
    return None


def _decode_time_left(value: bytes) -> float | None:
    """Return the seconds that a caller still waits; the header holds milliseconds."""
    try:
        left_ms = float(value)
    except ValueError:
        return None
    return left_ms / 1000.0 if 0.0 <= left_ms < 1e9 else None


def _encode_time_left(left_s: float) -> bytes:
    return b"%d" % max(1, int(left_s * 1000.0))


def _decode_report(value: bytes) -> messages.InstanceLoadReport | None:
    parts = value.split(b",")
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    return messages.InstanceLoadReport(*(int(part) for part in parts))


DIALECT = messages.HeaderFormat(
    request_id=b"request-id",
    time_left=b"deadline-ms",
    expected_instance=b"expected-instance",
    responding_instance=b"instance-id",
    origin_proof=b"response-signature",
    not_run=b"not-executed",
    key=b"shard-key",
    load_report=b"instance-load",
    decode_key=_decode_key,
    decode_time_left=_decode_time_left,
    encode_time_left=_encode_time_left,
    decode_load_report=_decode_report,
)

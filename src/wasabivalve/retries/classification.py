"""Classify the outcome of one attempt at an upstream."""

from typing import NamedTuple

from wasabivalve import outcomes

RUN_HEADER = "wasabivalve-run"
MISDIRECTED_STATUS = 421
"""The server rejected the token or had no lease; always sent before a run."""

NOT_RUN_STATUSES = frozenset({409, 429, 503})
"""Statuses that prove "not run" together with ``Wasabivalve-Run: no``.

A server responds with 409 when its lease ended before the commit.
"""

MIN_STATUS = 100
MIN_FINAL_STATUS = 200
MAX_STATUS = 599
"""Bounds of the statuses of HTTP; a message with another one is no answer."""

NOT_CONNECTED = "not_connected"
TRUNCATED_BODY = "cut_off"
REQUEST_ID_MISMATCH = "other_request"


class UpstreamResponse(NamedTuple):
    """Hold the part of a response that was read.

    ``complete`` is false when the body ended early; ``request_id_matches`` is false
    when the response echoes the id of another request.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    complete: bool = True
    request_id_matches: bool = True


class TransportFailure(NamedTuple):
    """Describe an attempt that ended before the headers of a response.

    ``bytes_written`` is true as soon as a write to the connection was tried,
    since part of it may have arrived.
    """

    reason: str
    bytes_written: bool


class RefusalEvidence(NamedTuple):
    """Hold what a response shows about whether its request was run.

    ``declares_not_run`` is true if a header states it. ``refused_before`` is true if
    the connection carried an earlier attempt of the request that was refused.
    """

    status: int
    declares_not_run: bool
    request_id: bytes | None
    echoed_id: bytes | None
    refused_before: bool
    first_on_connection: bool


def is_valid_status(status: int) -> bool:
    """Return whether a number is a status of HTTP, and its message an answer."""
    return MIN_STATUS <= status <= MAX_STATUS


def is_final_status(status: int) -> bool:
    """Return whether a status is valid and not that of an interim response."""
    return MIN_FINAL_STATUS <= status <= MAX_STATUS


def proves_not_run(evidence: RefusalEvidence) -> bool:
    """Return whether a refusal certainly belongs to this attempt.

    A faulty server may repeat an earlier refusal on a connection in use. The copy has
    no id, the id of another request, or that of an earlier attempt of this one.
    """
    if not (evidence.declares_not_run or evidence.status == MISDIRECTED_STATUS):
        return False
    if evidence.request_id is None:
        return evidence.first_on_connection
    return evidence.echoed_id == evidence.request_id and not evidence.refused_before


def classify(attempt: UpstreamResponse | TransportFailure) -> outcomes.Outcome:
    """Return ``Done``, ``NotRun`` if that is proved, or ``Unknown`` otherwise."""
    if isinstance(attempt, TransportFailure):
        if attempt.bytes_written:
            return outcomes.Unknown(attempt.reason)
        return outcomes.NotRun(attempt.reason)
    if not attempt.request_id_matches:
        return outcomes.Unknown(REQUEST_ID_MISMATCH)
    if _proves_not_run(attempt):
        return outcomes.NotRun(f"status_{attempt.status}", _retry_after_ms(attempt))
    if not attempt.complete:
        return outcomes.Unknown(TRUNCATED_BODY)
    return outcomes.Done(attempt.status, attempt.headers, attempt.body)


def _proves_not_run(response: UpstreamResponse) -> bool:
    if response.status == MISDIRECTED_STATUS:
        return True
    values = _header_values(response, RUN_HEADER)
    # Contradictory headers prove nothing.
    declared_not_run = bool(values) and all(value.lower() == "no" for value in values)
    return response.status in NOT_RUN_STATUSES and declared_not_run


def _retry_after_ms(response: UpstreamResponse) -> float:
    values = _header_values(response, "retry-after")
    # An HTTP date instead of seconds needs a wall clock and is ignored.
    if not values or not (values[0].isascii() and values[0].isdigit()):
        return 0.0
    return int(values[0]) * 1_000.0


def _header_values(response: UpstreamResponse, name: str) -> list[str]:
    return [value.strip() for key, value in response.headers if key.lower() == name]

"""Parse the requests of callers and write the responses to them."""

import http
import json
from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple

import xxhash

from wasabivalve import outcomes

SERVICE_HEADER = "HTTP_WASABIVALVE_SERVICE"
KEY_HEADER = "HTTP_WASABIVALVE_KEY"
RANK_HEADER = "HTTP_WASABIVALVE_RANK"
DEADLINE_HEADER = "HTTP_WASABIVALVE_DEADLINE_MS"
IDEMPOTENCY_HEADER = "HTTP_IDEMPOTENCY_KEY"

MAX_HEADER_VALUE_CHARACTERS = 256
PROBLEM_TYPE = "application/problem+json"
_INTERNAL_HEADER_PREFIX = "HTTP_WASABIVALVE_"
# RFC 9110 section 7.6.1: an intermediary does not forward these headers.
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class CallerRequest(NamedTuple):
    """Describe one request of a caller."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    service: str
    key: str
    rank: str
    deadline_ms: float
    idempotency_key: str


def digest_request(request: CallerRequest) -> str:
    """Return a digest that is the same when a caller sends a request again."""
    parts = (request.service, request.key, request.method, request.target)
    hasher = xxhash.xxh3_128("\x00".join(parts).encode())
    hasher.update(b"\x00")
    hasher.update(request.body)
    return hasher.hexdigest()


class ProblemResponse(NamedTuple):
    """Describe an error response of the entry daemon itself, following RFC 9457."""

    status: int
    kind: str
    reason: str
    retry_after_ms: float = 0.0


def parse(
    environ: Mapping[str, Any], max_deadline_ms: float
) -> CallerRequest | tuple[outcomes.Finding, ...]:
    """Return the request, or every finding about its headers.

    The deadline of the caller is limited to ``max_deadline_ms``, which is also the
    default.
    """
    findings = list(_check_headers(environ))
    deadline_ms = _parse_deadline_ms(environ, max_deadline_ms)
    if deadline_ms is None:
        text = environ[DEADLINE_HEADER]
        problem = f"{text!r} is not a positive number of milliseconds"
        findings.append(_header_finding(DEADLINE_HEADER, problem))
    if findings:
        return tuple(findings)
    return CallerRequest(
        method=environ["REQUEST_METHOD"],
        target=environ.get("REQUEST_URI") or environ["PATH_INFO"],
        headers=tuple(_forwarded_headers(environ)),
        body=environ["wsgi.input"].read(),
        service=environ[SERVICE_HEADER],
        key=environ.get(KEY_HEADER, ""),
        rank=environ.get(RANK_HEADER, ""),
        deadline_ms=deadline_ms or 0.0,
        idempotency_key=environ.get(IDEMPOTENCY_HEADER, ""),
    )


def _check_headers(environ: Mapping[str, Any]) -> Iterable[outcomes.Finding]:
    if not environ.get(SERVICE_HEADER):
        yield _header_finding(SERVICE_HEADER, "header is missing")
    for header in (SERVICE_HEADER, KEY_HEADER, RANK_HEADER, IDEMPOTENCY_HEADER):
        value = environ.get(header, "")
        if len(value) > MAX_HEADER_VALUE_CHARACTERS:
            problem = f"value is longer than {MAX_HEADER_VALUE_CHARACTERS} characters"
            yield _header_finding(header, problem)
        if not value.isprintable():
            yield _header_finding(header, "value has unprintable characters")
        if header != IDEMPOTENCY_HEADER and "," in value:
            # WSGI joins repeated headers with commas.
            yield _header_finding(header, f"{value!r} has a comma or is sent twice")


def _parse_deadline_ms(
    environ: Mapping[str, Any], max_deadline_ms: float
) -> float | None:
    text = environ.get(DEADLINE_HEADER)
    if text is None:
        return max_deadline_ms
    if not text.isascii() or not text.isdigit() or int(text) == 0:
        return None
    return min(float(int(text)), max_deadline_ms)


def _header_finding(header: str, problem: str) -> outcomes.Finding:
    name = header.removeprefix("HTTP_").replace("_", "-").title()
    return outcomes.Finding("request", name, problem)


def _forwarded_headers(environ: Mapping[str, Any]) -> Iterable[tuple[str, str]]:
    for name, value in environ.items():
        if name == "CONTENT_TYPE" and value:
            yield "Content-Type", value
        if not name.startswith("HTTP_") or name.startswith(_INTERNAL_HEADER_PREFIX):
            continue
        header = name.removeprefix("HTTP_").replace("_", "-").title()
        if header.lower() not in HOP_BY_HOP_HEADERS and header != "Host":
            yield header, value


def problem_of_outcome(outcome: outcomes.NotRun | outcomes.Unknown) -> ProblemResponse:
    """Return the problem response to a request without an upstream response."""
    if isinstance(outcome, outcomes.Unknown):
        return ProblemResponse(502, "unknown", outcome.reason)
    return ProblemResponse(503, "not-run", outcome.reason, outcome.retry_after_ms)


def write_problem(
    problem: ProblemResponse, start_response: StartResponse
) -> list[bytes]:
    """Write a problem document (RFC 9457) as the response."""
    status = http.HTTPStatus(problem.status)
    document = {
        "type": f"urn:wasabivalve:{problem.kind}",
        "title": status.phrase,
        "status": problem.status,
        "detail": problem.reason,
    }
    body = json.dumps(document).encode()
    headers = [("Content-Type", PROBLEM_TYPE), ("Content-Length", str(len(body)))]
    if problem.retry_after_ms > 0:
        seconds = max(1, round(problem.retry_after_ms / 1000))
        headers.append(("Retry-After", str(seconds)))
    start_response(f"{problem.status} {status.phrase}", headers)
    return [body]


def write_response(
    response: outcomes.Done, start_response: StartResponse
) -> list[bytes]:
    """Write the complete response of an upstream."""
    try:
        phrase = http.HTTPStatus(response.status).phrase
    except ValueError:
        phrase = "Status"
    excluded = HOP_BY_HOP_HEADERS | {"content-length"}
    headers = [
        header for header in response.headers if header[0].lower() not in excluded
    ]
    headers.append(("Content-Length", str(len(response.body))))
    start_response(f"{response.status} {phrase}", headers)
    return [response.body]


def write_json(document: Any, start_response: StartResponse) -> list[bytes]:
    """Write a JSON document with status 200."""
    body = json.dumps(document).encode()
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
    ]
    start_response("200 OK", headers)
    return [body]

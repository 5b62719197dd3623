"""Check recorded histories of runs and of answers to callers.

All times are in ms of the monotonic clock, which processes of one machine share.
"""

from collections.abc import Iterable, Sequence
from typing import Literal, NamedTuple

from wasabivalve import outcomes

FINDING_FILE = "history"


class Run(NamedTuple):
    """Record one run at a server; a run that did not commit had no effect."""

    server: str
    request_id: str
    idempotency_key: str
    key: str
    started_ms: float
    ended_ms: float
    committed: bool
    reason: str = ""


class CallerOutcome(NamedTuple):
    """Record what a caller was told about one request that it sent."""

    idempotency_key: str
    key: str
    outcome: Literal["done", "not_run", "unknown"]
    sent_ms: float
    ended_ms: float


class UnavailableSpan(NamedTuple):
    """Name a time from a failed request to the next success for the same key.

    ``recovered`` is false when no success follows; the last answer ends the span.
    """

    key: str
    start_ms: float
    end_ms: float
    failures: int
    recovered: bool


def check_single_runs(runs: Iterable[Run]) -> tuple[outcomes.Finding, ...]:
    """Find idempotency keys whose work was committed more than once."""
    findings = []
    for name, group in _committed_by_idempotency_key(runs).items():
        if len(group) > 1:
            places = ", ".join(
                f"{run.server} at {run.started_ms:.1f} ms" for run in group
            )
            problem = f"{len(group)} committed runs: {places}"
            findings.append(_finding(f"idempotency_keys/{name}", problem))
    return tuple(findings)


def check_not_run_claims(
    runs: Iterable[Run], caller_outcomes: Iterable[CallerOutcome]
) -> tuple[outcomes.Finding, ...]:
    """Find requests that were reported as not run although their work committed.

    A caller may send a key again after "not run". A run is therefore accounted for
    when the same key was sent before the run started with another answer.
    """
    committed = _committed_by_idempotency_key(runs)
    answers: dict[str, list[CallerOutcome]] = {}
    for answer in caller_outcomes:
        answers.setdefault(answer.idempotency_key, []).append(answer)
    findings = []
    for name, group in answers.items():
        if not any(answer.outcome == "not_run" for answer in group):
            continue
        for run in committed.get(name, ()):
            if not _is_accounted_for(run, group):
                problem = (
                    f"reported as not run, but {run.server} ran it"
                    f" from {run.started_ms:.1f} to {run.ended_ms:.1f} ms"
                )
                findings.append(_finding(f"idempotency_keys/{name}", problem))
    return tuple(findings)


def check_single_owners(runs: Iterable[Run]) -> tuple[outcomes.Finding, ...]:
    """Find keys for which two servers committed work at overlapping times."""
    by_key: dict[str, list[Run]] = {}
    for run in runs:
        if run.committed and run.key:
            by_key.setdefault(run.key, []).append(run)
    return tuple(
        finding for key, group in by_key.items() for finding in _overlaps(key, group)
    )


def find_unavailable_spans(
    caller_outcomes: Iterable[CallerOutcome],
) -> tuple[UnavailableSpan, ...]:
    """Return the times during which requests for a key failed.

    A span starts when the first failed request was sent and ends with the answer
    to the next successful one, so it is too long by at most two requests.
    """
    by_key: dict[str, list[CallerOutcome]] = {}
    for answer in caller_outcomes:
        by_key.setdefault(answer.key, []).append(answer)
    return tuple(
        span for key, group in by_key.items() for span in _spans_of_key(key, group)
    )


def check_unavailable_time(
    caller_outcomes: Iterable[CallerOutcome], limit_ms: float
) -> tuple[outcomes.Finding, ...]:
    """Find keys that were unavailable for longer than a limit at one time."""
    findings = []
    for span in find_unavailable_spans(caller_outcomes):
        duration_ms = span.end_ms - span.start_ms
        if duration_ms > limit_ms or not span.recovered:
            problem = (
                f"unavailable for {duration_ms:.1f} ms from {span.start_ms:.1f} ms,"
                f" {span.failures} failed requests"
            )
            if not span.recovered:
                problem += ", not served again"
            findings.append(_finding(f"keys/{span.key}", problem))
    return tuple(findings)


def _finding(path: str, problem: str) -> outcomes.Finding:
    return outcomes.Finding(FINDING_FILE, path, problem)


def _committed_by_idempotency_key(runs: Iterable[Run]) -> dict[str, list[Run]]:
    committed: dict[str, list[Run]] = {}
    for run in runs:
        if run.committed and run.idempotency_key:
            committed.setdefault(run.idempotency_key, []).append(run)
    return committed


def _is_accounted_for(run: Run, group: Sequence[CallerOutcome]) -> bool:
    return any(
        answer.outcome != "not_run" and answer.sent_ms <= run.started_ms
        for answer in group
    )


def _overlaps(key: str, group: list[Run]) -> Iterable[outcomes.Finding]:
    latest_by_server: dict[str, Run] = {}
    for run in sorted(group, key=lambda run: run.started_ms):
        for server, earlier in latest_by_server.items():
            if server != run.server and run.started_ms < earlier.ended_ms:
                problem = (
                    f"{run.server} started at {run.started_ms:.1f} ms while"
                    f" {server} ran from {earlier.started_ms:.1f}"
                    f" to {earlier.ended_ms:.1f} ms"
                )
                yield _finding(f"keys/{key}", problem)
        latest = latest_by_server.get(run.server)
        if latest is None or run.ended_ms > latest.ended_ms:
            latest_by_server[run.server] = run


def _spans_of_key(key: str, group: list[CallerOutcome]) -> Iterable[UnavailableSpan]:
    start_ms = None
    failures = 0
    last_ms = 0.0
    for answer in sorted(group, key=lambda answer: answer.ended_ms):
        last_ms = answer.ended_ms
        if answer.outcome != "done":
            failures += 1
            if start_ms is None or answer.sent_ms < start_ms:
                start_ms = answer.sent_ms
        elif start_ms is not None:
            yield UnavailableSpan(key, start_ms, last_ms, failures, True)
            start_ms, failures = None, 0
    if start_ms is not None:
        yield UnavailableSpan(key, start_ms, last_ms, failures, False)

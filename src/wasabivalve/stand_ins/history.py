"""Check recorded histories of runs and of the outcomes that callers received.

All times are in ms of the monotonic clock, which processes of one machine share.
"""

from collections.abc import Iterable, Sequence
from typing import Literal, NamedTuple

from wasabivalve import outcomes

FINDING_FILE = "history"


class Run(NamedTuple):
    """Represent one run at a server; a run that did not commit had no effect."""

    server: str
    request_id: str
    idempotency_key: str
    key: str
    started_ms: float
    ended_ms: float
    committed: bool
    reason: str = ""


class CallerOutcome(NamedTuple):
    """Represent the outcome that a caller received for one of its requests."""

    idempotency_key: str
    key: str
    outcome: Literal["done", "not_run", "unknown"]
    sent_ms: float
    ended_ms: float


class UnavailableSpan(NamedTuple):
    """Represent the time from a failed request to the next success for its key.

    ``recovered`` is false if no success follows; the last response ends the span.
    """

    key: str
    start_ms: float
    end_ms: float
    failures: int
    recovered: bool


def check_single_runs(runs: Iterable[Run]) -> tuple[outcomes.Finding, ...]:
    """Return findings for idempotency keys with more than one committed run."""
    findings = []
    for idempotency_key, committed_runs in _group_committed_runs(runs).items():
        if len(committed_runs) > 1:
            run_descriptions = ", ".join(
                f"{run.server} at {run.started_ms:.1f} ms" for run in committed_runs
            )
            problem = f"{len(committed_runs)} committed runs: {run_descriptions}"
            findings.append(
                _create_finding(f"idempotency_keys/{idempotency_key}", problem)
            )
    return tuple(findings)


def check_not_run_claims(
    runs: Iterable[Run], caller_outcomes: Iterable[CallerOutcome]
) -> tuple[outcomes.Finding, ...]:
    """Return findings for requests reported as not run that did commit.

    A caller may send a key again after "not run". A run is therefore no finding if
    a request that sent the key before the run started had another outcome.
    """
    runs_by_idempotency_key = _group_committed_runs(runs)
    outcomes_by_idempotency_key: dict[str, list[CallerOutcome]] = {}
    for caller_outcome in caller_outcomes:
        outcomes_by_idempotency_key.setdefault(
            caller_outcome.idempotency_key, []
        ).append(caller_outcome)
    findings = []
    for idempotency_key, key_outcomes in outcomes_by_idempotency_key.items():
        if not any(
            caller_outcome.outcome == "not_run" for caller_outcome in key_outcomes
        ):
            continue
        for run in runs_by_idempotency_key.get(idempotency_key, ()):
            if not _is_explained(run, key_outcomes):
                problem = (
                    f"reported as not run, but {run.server} ran it"
                    f" from {run.started_ms:.1f} to {run.ended_ms:.1f} ms"
                )
                findings.append(
                    _create_finding(f"idempotency_keys/{idempotency_key}", problem)
                )
    return tuple(findings)


def check_single_owners(runs: Iterable[Run]) -> tuple[outcomes.Finding, ...]:
    """Return findings for keys that two servers committed at overlapping times."""
    runs_by_key: dict[str, list[Run]] = {}
    for run in runs:
        if run.committed and run.key:
            runs_by_key.setdefault(run.key, []).append(run)
    return tuple(
        finding
        for key, runs_of_key in runs_by_key.items()
        for finding in _find_overlaps(key, runs_of_key)
    )


def find_unavailable_spans(
    caller_outcomes: Iterable[CallerOutcome],
) -> tuple[UnavailableSpan, ...]:
    """Return the time spans in which requests for a key failed.

    A span starts when the first failed request was sent and ends with the
    response to the next successful one. It exceeds the real outage by at most the
    duration of two requests.
    """
    outcomes_by_key: dict[str, list[CallerOutcome]] = {}
    for caller_outcome in caller_outcomes:
        outcomes_by_key.setdefault(caller_outcome.key, []).append(caller_outcome)
    return tuple(
        span
        for key, key_outcomes in outcomes_by_key.items()
        for span in _find_spans_of_key(key, key_outcomes)
    )


def check_unavailable_time(
    caller_outcomes: Iterable[CallerOutcome], limit_ms: float
) -> tuple[outcomes.Finding, ...]:
    """Return findings for keys unavailable for longer than a limit or not recovered."""
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
            findings.append(_create_finding(f"keys/{span.key}", problem))
    return tuple(findings)


def _create_finding(path: str, problem: str) -> outcomes.Finding:
    return outcomes.Finding(FINDING_FILE, path, problem)


def _group_committed_runs(runs: Iterable[Run]) -> dict[str, list[Run]]:
    runs_by_idempotency_key: dict[str, list[Run]] = {}
    for run in runs:
        if run.committed and run.idempotency_key:
            runs_by_idempotency_key.setdefault(run.idempotency_key, []).append(run)
    return runs_by_idempotency_key


def _is_explained(run: Run, key_outcomes: Sequence[CallerOutcome]) -> bool:
    return any(
        caller_outcome.outcome != "not_run" and caller_outcome.sent_ms <= run.started_ms
        for caller_outcome in key_outcomes
    )


def _find_overlaps(key: str, runs_of_key: list[Run]) -> Iterable[outcomes.Finding]:
    latest_by_server: dict[str, Run] = {}
    for run in sorted(runs_of_key, key=lambda run: run.started_ms):
        for server, earlier_run in latest_by_server.items():
            if server != run.server and run.started_ms < earlier_run.ended_ms:
                problem = (
                    f"{run.server} started at {run.started_ms:.1f} ms while"
                    f" {server} ran from {earlier_run.started_ms:.1f}"
                    f" to {earlier_run.ended_ms:.1f} ms"
                )
                yield _create_finding(f"keys/{key}", problem)
        latest_of_server = latest_by_server.get(run.server)
        if latest_of_server is None or run.ended_ms > latest_of_server.ended_ms:
            latest_by_server[run.server] = run


def _find_spans_of_key(
    key: str, key_outcomes: list[CallerOutcome]
) -> Iterable[UnavailableSpan]:
    start_ms = None
    failure_count = 0
    last_ended_ms = 0.0
    for caller_outcome in sorted(
        key_outcomes, key=lambda caller_outcome: caller_outcome.ended_ms
    ):
        last_ended_ms = caller_outcome.ended_ms
        if caller_outcome.outcome != "done":
            failure_count += 1
            if start_ms is None or caller_outcome.sent_ms < start_ms:
                start_ms = caller_outcome.sent_ms
        elif start_ms is not None:
            yield UnavailableSpan(key, start_ms, last_ended_ms, failure_count, True)
            start_ms, failure_count = None, 0
    if start_ms is not None:
        yield UnavailableSpan(key, start_ms, last_ended_ms, failure_count, False)

"""Render a burn report as text or JSON."""

import datetime
import json
from collections.abc import Sequence
from typing import Any, NamedTuple

from . import budget

MAX_LISTED_SPANS = 12


class MissingSpan(NamedTuple):
    """Identify a time that a VM covered only in part or not at all; Unix time in s."""

    vm: str
    start_s: int
    end_s: int
    covered_s: int


def render_table(report: budget.BurnReport) -> str:
    """Return the report as a text table that lists the missing VM-intervals."""
    header = ["SERVICE", "RANK", "OBJECTIVE"]
    header += list(budget.NAME_BY_WINDOW_S.values())
    header += ["BUDGET LEFT", "WORST HOUR", "P99 MS", "STATE"]
    lines = align_columns([header, *(_table_cells(row) for row in report.rows)])
    lines.append("")
    lines += format_missing(report)
    return "\n".join(lines) + "\n"


def render_json(report: budget.BurnReport) -> str:
    """Return the report as a JSON object."""
    document = {
        "now": format_time(report.now_s),
        "end": format_time(report.end_s),
        "objectives": [_objective_document(row) for row in report.rows],
        "missing": [row._asdict() for row in report.missing],
        "expected_intervals": report.expected_intervals,
        "expected_vms": report.expected_vms,
        "unexpected_vms": report.unexpected_vms,
        "ignored_records": report.ignored_records,
        "unreadable_histograms": report.unreadable_histograms,
    }
    return json.dumps(document, indent=2) + "\n"


def align_columns(rows: Sequence[Sequence[str]]) -> list[str]:
    """Return rows as lines, each column padded to the width of its longest cell."""
    widths = [max(len(cell) for cell in column) for column in zip(*rows, strict=True)]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    ]


def format_time(time_s: int) -> str:
    """Return a Unix time in seconds as RFC 3339 in UTC."""
    time_utc = datetime.datetime.fromtimestamp(time_s, tz=datetime.UTC)
    return time_utc.strftime("%Y-%m-%dT%H:%M:%SZ")


def format_rate(rate: float | None, missing: int, expected: int) -> str:
    """Return a burn rate with the number of missing VM-intervals."""
    if missing and rate is None:
        return f"missing {missing}/{expected}"
    text = "idle" if rate is None else f"{rate:.2f}"
    return f"{text} (missing {missing}/{expected})" if missing else text


def format_budget_left(row: budget.ObjectiveReport) -> str:
    """Return the remaining budget in percent, marked when VM-intervals are missing."""
    if row.budget_left is None:
        return "-"
    text = f"{row.budget_left:.1%}"
    return f"{text} (of observed)" if row.windows[-1].missing else text


def format_missing(report: budget.BurnReport) -> list[str]:
    """Return lines about the data that is missing or was ignored."""
    lines = [
        f"{len(report.rows)} objectives, {len(report.expected_vms)} VMs, "
        f"until {format_time(report.end_s)}; "
        f"{len(report.missing)} of {report.expected_intervals} VM-intervals missing"
    ]
    spans = join_missing_intervals(report.missing)
    lines += [_format_span(span) for span in spans[-MAX_LISTED_SPANS:]]
    if len(spans) > MAX_LISTED_SPANS:
        unlisted = len(spans) - MAX_LISTED_SPANS
        lines.append(f"missing: {unlisted} more spans, all listed by --output json")
    if report.unexpected_vms:
        lines.append(f"not expected: {', '.join(report.unexpected_vms)}")
    if report.ignored_records:
        lines.append(
            f"ignored: {report.ignored_records} records that do not match the schema"
        )
    if report.unreadable_histograms:
        lines.append(
            f"ignored: {report.unreadable_histograms} unreadable latency histograms"
        )
    return lines


def join_missing_intervals(
    missing: Sequence[budget.MissingInterval],
) -> tuple[MissingSpan, ...]:
    """Return spans of adjacent missing intervals of each VM, ordered by end."""
    spans: list[MissingSpan] = []
    for row in missing:
        end_s = row.start_s + row.interval_s
        last = spans[-1] if spans else None
        if last and (last.vm, last.end_s) == (row.vm, row.start_s):
            covered_s = last.covered_s + row.covered_s
            spans[-1] = last._replace(end_s=end_s, covered_s=covered_s)
        else:
            spans.append(MissingSpan(row.vm, row.start_s, end_s, row.covered_s))
    return tuple(sorted(spans, key=lambda span: (span.end_s, span.vm)))


def _format_span(span: MissingSpan) -> str:
    return (
        f"missing: {span.vm} from {format_time(span.start_s)} to "
        f"{format_time(span.end_s)}, {span.covered_s} of "
        f"{span.end_s - span.start_s} s covered"
    )


def _table_cells(row: budget.ObjectiveReport) -> list[str]:
    return [
        row.objective.service,
        row.objective.rank,
        f"{row.objective.share:.4g}",
        *(
            format_rate(window.rate, window.missing, window.expected)
            for window in row.windows
        ),
        format_budget_left(row),
        format_hour(row.worst_hour),
        "-" if row.p99_ms is None else f"{row.p99_ms:.1f}",
        row.state,
    ]


def format_hour(hour: budget.Hour | None) -> str:
    """Return the burn rate and the start of an hour, or a dash for None."""
    if hour is None:
        return "-"
    rate = format_rate(hour.rate, hour.missing, hour.expected)
    return f"{rate} at {format_time(hour.start_s)}"


def _objective_document(row: budget.ObjectiveReport) -> dict[str, Any]:
    return {
        **row.objective._asdict(),
        "state": row.state,
        "budget_left": row.budget_left,
        "p50_ms": row.p50_ms,
        "p99_ms": row.p99_ms,
        "windows": [
            {
                **window._asdict(),
                "window": budget.NAME_BY_WINDOW_S[window.window_s],
                "counts": window.counts._asdict(),
            }
            for window in row.windows
        ],
        "worst_hour": None
        if row.worst_hour is None
        else _hour_document(row.worst_hour),
        "hours": [_hour_document(hour) for hour in row.hours],
    }


def _hour_document(hour: budget.Hour) -> dict[str, Any]:
    return {
        **hour._asdict(),
        "start": format_time(hour.start_s),
        "counts": hour.counts._asdict(),
    }

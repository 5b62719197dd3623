"""Compute error-budget burn rates over several windows."""

from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import Any, NamedTuple

from wasabivalve.resources import view as resources_view

from . import core, merging

HOUR_S = 3_600
WINDOWS_S = (300, HOUR_S, 6 * HOUR_S, 72 * HOUR_S)
NAME_BY_WINDOW_S = {300: "5 min", HOUR_S: "1 h", 6 * HOUR_S: "6 h", 72 * HOUR_S: "3 d"}
# A summary is appended after the end of its interval, so an interval counts as missing
# only after this delay.
SUMMARY_DELAY_S = 30
# Burn rates 14.4 and 6 spend 2 % and 5 % of a 30-day budget in 1 h and 6 h, which are
# the usual paging thresholds; rate 1 spends the whole budget within its period.
ALERTS = (
    ("page", (300, HOUR_S), 14.4),
    ("page", (HOUR_S, 6 * HOUR_S), 6.0),
    ("ticket", (6 * HOUR_S, 72 * HOUR_S), 1.0),
)


class Objective(NamedTuple):
    """Define the share of requests of a service and rank that must be on time.

    ``target_ms`` is the latency up to which a request is on time.
    """

    service: str
    rank: str
    share: float
    target_ms: int


class WindowBurn(NamedTuple):
    """Hold the burn rate of one window; ``rate`` is None without requests.

    ``state`` is ``over`` (rate of 1 or more), ``missing`` (VM-intervals are missing),
    ``idle`` (no requests) or ``ok``.
    """

    window_s: int
    counts: core.ResultCounts
    rate: float | None
    missing: int
    expected: int
    state: str


class Hour(NamedTuple):
    """Hold the burn rate of one hour; ``start_s`` is Unix time in seconds."""

    start_s: int
    counts: core.ResultCounts
    rate: float | None
    missing: int
    expected: int


class ObjectiveReport(NamedTuple):
    """Hold the burn rates of one objective.

    ``budget_left`` is the share of the error budget of the longest window, negative
    when overspent and None without requests. ``state`` is ``page``, ``ticket``,
    ``missing``, ``idle`` or ``ok``. Latencies cover the last hour.
    """

    objective: Objective
    windows: tuple[WindowBurn, ...]
    budget_left: float | None
    worst_hour: Hour | None
    hours: tuple[Hour, ...]
    p50_ms: float | None
    p99_ms: float | None
    state: str


class MissingInterval(NamedTuple):
    """Identify an interval that a VM covered only in part or not at all."""

    vm: str
    start_s: int
    covered_s: int
    interval_s: int


class BurnReport(NamedTuple):
    """Hold the burn rates of all objectives up to ``end_s``, Unix time in seconds."""

    now_s: int
    end_s: int
    rows: tuple[ObjectiveReport, ...]
    missing: tuple[MissingInterval, ...]
    expected_intervals: int
    expected_vms: tuple[str, ...]
    unexpected_vms: tuple[str, ...]
    ignored_records: int
    unreadable_histograms: int


class _ReportPeriod(NamedTuple):
    merged: merging.MergedSummaries
    missing_by_start: Mapping[int, int]
    vm_count: int
    end_s: int


def list_objectives(view: resources_view.ConfigurationView) -> tuple[Objective, ...]:
    """Return one objective for each service and rank of a configuration."""
    return tuple(
        Objective(service, rank.name, rank.objective, rank.target_ms)
        for service in view.service_by_name
        for rank in view.rank_by_name.values()
    )


def build_report(
    summaries: Iterable[Mapping[str, Any]],
    objectives: Sequence[Objective],
    now: float,
    expected_vms: Collection[str],
    interval_s: int = core.DEFAULT_INTERVAL_S,
) -> BurnReport:
    """Return the burn rates of each objective; ``now`` is Unix time in seconds.

    The windows end with the last interval that ended at least ``SUMMARY_DELAY_S``
    before now. Raises ValueError for an interval that does not divide the shortest
    window.
    """
    if WINDOWS_S[0] % interval_s:
        raise ValueError(
            f"interval of {interval_s} s does not divide the shortest window, "
            f"{WINDOWS_S[0]} s"
        )
    merged = merging.merge(summaries, interval_s)
    end_s = int((now - SUMMARY_DELAY_S) // interval_s * interval_s)
    begin_s = end_s - WINDOWS_S[-1]
    missing = _find_missing_intervals(merged, begin_s, end_s, expected_vms)
    missing_by_start: dict[int, int] = {}
    for interval in missing:
        missing_by_start[interval.start_s] = (
            missing_by_start.get(interval.start_s, 0) + 1
        )
    period = _ReportPeriod(merged, missing_by_start, len(set(expected_vms)), end_s)
    unreadable = 0
    rows = []
    for objective in objectives:
        row, unreadable_in_row = _report_objective(period, objective)
        rows.append(row)
        unreadable += unreadable_in_row
    reporting_vms = {
        vm for vm, start in merged.covered_s_by_vm_interval if start >= begin_s
    }
    return BurnReport(
        now_s=int(now),
        end_s=end_s,
        rows=tuple(rows),
        missing=missing,
        expected_intervals=period.vm_count * (WINDOWS_S[-1] // interval_s),
        expected_vms=tuple(sorted(set(expected_vms))),
        unexpected_vms=tuple(sorted(reporting_vms - set(expected_vms))),
        ignored_records=merged.ignored,
        unreadable_histograms=unreadable,
    )


def burn_rate(counts: core.ResultCounts, share: float) -> float | None:
    """Return bad requests as a multiple of the allowed share, None without requests."""
    if not counts.total:
        return None
    return counts.bad / counts.total / (1.0 - share)


def _find_missing_intervals(
    merged: merging.MergedSummaries,
    begin_s: int,
    end_s: int,
    expected_vms: Collection[str],
) -> tuple[MissingInterval, ...]:
    interval_s = merged.interval_s
    return tuple(
        MissingInterval(vm, start, covered, interval_s)
        for vm in sorted(set(expected_vms))
        for start in range(begin_s, end_s, interval_s)
        if (covered := merged.covered_s_by_vm_interval.get((vm, start), 0)) < interval_s
    )


def _sum_counts(
    period: _ReportPeriod, objective: Objective, begin_s: int, end_s: int
) -> tuple[core.ResultCounts, int, int]:
    interval_s = period.merged.interval_s
    counts, missing, expected = core.ResultCounts(), 0, 0
    for start in range(begin_s, end_s, interval_s):
        key = (objective.service, objective.rank, start)
        added = period.merged.counts_by_interval.get(key)
        counts = counts.plus(added) if added else counts
        missing += period.missing_by_start.get(start, 0)
        expected += period.vm_count
    return counts, missing, expected


def _measure_window(
    period: _ReportPeriod, objective: Objective, window_s: int
) -> WindowBurn:
    begin_s = period.end_s - window_s
    counts, missing, expected = _sum_counts(period, objective, begin_s, period.end_s)
    rate = burn_rate(counts, objective.share)
    return WindowBurn(
        window_s, counts, rate, missing, expected, _window_state(rate, missing)
    )


def _window_state(rate: float | None, missing: int) -> str:
    if rate is not None and rate >= 1.0:
        return "over"
    if missing:
        return "missing"
    return "idle" if rate is None else "ok"


def _measure_hours(period: _ReportPeriod, objective: Objective) -> tuple[Hour, ...]:
    hours = []
    for begin_s in range(period.end_s - WINDOWS_S[-1], period.end_s, HOUR_S):
        counts, missing, expected = _sum_counts(
            period, objective, begin_s, begin_s + HOUR_S
        )
        rate = burn_rate(counts, objective.share)
        hours.append(Hour(begin_s, counts, rate, missing, expected))
    return tuple(hours)


def _report_objective(
    period: _ReportPeriod, objective: Objective
) -> tuple[ObjectiveReport, int]:
    windows = tuple(
        _measure_window(period, objective, window_s) for window_s in WINDOWS_S
    )
    hours = _measure_hours(period, objective)
    hours_with_requests = [hour for hour in hours if hour.rate is not None]
    longest_window = windows[-1]
    latencies, unreadable = _latency_percentiles(period, objective)
    row = ObjectiveReport(
        objective=objective,
        windows=windows,
        budget_left=None if longest_window.rate is None else 1.0 - longest_window.rate,
        worst_hour=max(
            hours_with_requests, key=lambda hour: hour.rate or 0.0, default=None
        ),
        hours=hours,
        p50_ms=latencies[0],
        p99_ms=latencies[1],
        state=_alert_state(windows),
    )
    return row, unreadable


def _latency_percentiles(
    period: _ReportPeriod, objective: Objective
) -> tuple[tuple[float | None, float | None], int]:
    # Decoding is slow in Python, so only the last hour is decoded.
    encoded_histograms = [
        encoded
        for start in range(
            period.end_s - HOUR_S, period.end_s, period.merged.interval_s
        )
        for encoded in period.merged.histograms_by_interval.get(
            (objective.service, objective.rank, start), ()
        )
    ]
    total, unreadable = merging.merge_histograms(encoded_histograms)
    if not total.get_total_count():
        return (None, None), unreadable
    p50, p99 = (total.get_value_at_percentile(share) / 1_000 for share in (50, 99))
    return (p50, p99), unreadable


def _alert_state(windows: Sequence[WindowBurn]) -> str:
    rate_by_window_s = {window.window_s: window.rate or 0.0 for window in windows}
    for name, window_pair, threshold in ALERTS:
        if all(rate_by_window_s[window_s] >= threshold for window_s in window_pair):
            return name
    if any(window.missing for window in windows):
        return "missing"
    return "idle" if windows[-1].rate is None else "ok"

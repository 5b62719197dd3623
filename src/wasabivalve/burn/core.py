"""Record the service levels that one VM observes, interval by interval."""

import threading
from collections.abc import Callable
from typing import Literal, NamedTuple

from hdrh import histogram

from wasabivalve import outcomes
from wasabivalve.schema import records_generated

DEFAULT_INTERVAL_S = 300
# Histograms record latencies in microseconds, up to one minute.
MIN_LATENCY_US = 1
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 2

Result = Literal["on_time", "late", "not_run", "unknown"]


class ResultCounts(NamedTuple):
    """Hold the number of requests by result."""

    on_time: int = 0
    late: int = 0
    not_run: int = 0
    unknown: int = 0

    @property
    def total(self) -> int:
        """Return the number of requests."""
        return sum(self)

    @property
    def bad(self) -> int:
        """Return the number of requests that consume error budget."""
        return self.total - self.on_time

    def plus(self, other: "ResultCounts") -> "ResultCounts":
        """Return the sum with other counts."""
        return ResultCounts(
            *(own + added for own, added in zip(self, other, strict=True))
        )


def classify_outcome(
    outcome: outcomes.Outcome, duration_ms: float, target_ms: float
) -> Result:
    """Return the result of a request; durations and targets are in ms."""
    if isinstance(outcome, outcomes.NotRun):
        return "not_run"
    if isinstance(outcome, outcomes.Unknown):
        return "unknown"
    return "on_time" if duration_ms <= target_ms else "late"


def new_histogram() -> histogram.HdrHistogram:
    """Return an empty latency histogram in microseconds."""
    return histogram.HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


class _ServiceRankStats:
    """Hold the counts and latencies of one service and rank."""

    def __init__(self) -> None:
        self.count_by_result: dict[Result, int] = dict.fromkeys(ResultCounts._fields, 0)  # type: ignore[arg-type]
        self.histogram = new_histogram()


class BurnRecorder:
    """Record the request results of one VM and build one summary per interval.

    Times are Unix time in seconds. Intervals are aligned to multiples of their length;
    the first is shorter when the process starts inside it, so that the part before the
    start is reported as missing. All methods are thread-safe.
    """

    def __init__(
        self,
        vm: str,
        now_s: float,
        new_record_id: Callable[[], str],
        interval_s: int = DEFAULT_INTERVAL_S,
    ):
        self._vm = vm
        self._interval_s = interval_s
        self._new_record_id = new_record_id
        self._lock = threading.Lock()
        self._finished_summaries: list[records_generated.BurnSummary] = []
        self._open_interval(int(now_s))
        self._last_call_s = int(now_s)

    def record(
        self, service: str, rank: str, result: Result, duration_ms: float, now_s: float
    ) -> None:
        """Count one request with its latency in ms."""
        duration_us = min(max(int(duration_ms * 1_000), MIN_LATENCY_US), MAX_LATENCY_US)
        with self._lock:
            self._advance_to(int(now_s))
            stats = self._stats_by_service_rank.get((service, rank))
            if stats is None:
                stats = self._stats_by_service_rank[service, rank] = _ServiceRankStats()
            stats.count_by_result[result] += 1
            stats.histogram.record_value(duration_us)

    def pop_summaries(self, now_s: float) -> tuple[records_generated.BurnSummary, ...]:
        """Return the summaries of ended intervals; call at least once per interval.

        An interval without requests has a summary without entries. When neither
        ``pop_summaries`` nor ``record`` was called for longer than one interval, the
        process was suspended; that time is not covered and so is reported as missing.
        """
        with self._lock:
            self._advance_to(int(now_s))
            summaries, self._finished_summaries = tuple(self._finished_summaries), []
            return summaries

    def close(self, now_s: float) -> tuple[records_generated.BurnSummary, ...]:
        """Return the remaining summaries; the last one covers the time up to now."""
        with self._lock:
            self._advance_to(int(now_s))
            self._finish_interval(max(int(now_s), self._last_call_s))
            summaries, self._finished_summaries = tuple(self._finished_summaries), []
            return summaries

    def _open_interval(self, start_s: int) -> None:
        self._start_s = start_s
        self._end_s = (start_s // self._interval_s + 1) * self._interval_s
        self._stats_by_service_rank: dict[tuple[str, str], _ServiceRankStats] = {}

    def _advance_to(self, now_s: int) -> None:
        # When the wall clock is set back, the current interval continues.
        if now_s - self._last_call_s > self._interval_s:
            self._finish_interval(min(self._last_call_s + 1, self._end_s))
            self._open_interval(now_s)
        while now_s >= self._end_s:
            self._finish_interval(self._end_s)
            self._open_interval(self._end_s)
        self._last_call_s = max(self._last_call_s, now_s)

    def _finish_interval(self, end_s: int) -> None:
        if end_s <= self._start_s:
            if not self._stats_by_service_rank:
                return
            # A process that ran for less than a second still reports its requests.
            end_s = self._start_s + 1
        self._finished_summaries.append(
            {
                "kind": "burn_summary",
                "record_id": self._new_record_id(),
                "vm": self._vm,
                "interval_start_s": self._start_s,
                "interval_s": end_s - self._start_s,
                "entries": [
                    _make_burn_entry(service, rank, stats)
                    for (service, rank), stats in sorted(
                        self._stats_by_service_rank.items()
                    )
                ],
            }
        )


def _make_burn_entry(
    service: str, rank: str, stats: _ServiceRankStats
) -> records_generated.BurnEntry:
    return {
        "service": service,
        "rank": rank,
        "on_time": stats.count_by_result["on_time"],
        "late": stats.count_by_result["late"],
        "not_run": stats.count_by_result["not_run"],
        "unknown": stats.count_by_result["unknown"],
        "histogram": stats.histogram.encode().decode("ascii"),
    }

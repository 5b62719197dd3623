"""Record the service levels that one VM observes, interval by interval."""

import threading
from collections.abc import Callable
from typing import Literal, NamedTuple

from hdrh import histogram

from wasabivalve import outcomes
from wasabivalve.schema import records_generated

DEFAULT_INTERVAL_S = 300
# Latencies are kept in microseconds with two significant digits, up to one minute.
MIN_LATENCY_US = 1
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 2

Result = Literal["on_time", "late", "not_run", "unknown"]


class ResultCounts(NamedTuple):
    """Count requests by result."""

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
            *(mine + its for mine, its in zip(self, other, strict=True))
        )


def classify_outcome(
    outcome: outcomes.Outcome, duration_ms: float, target_ms: float
) -> Result:
    """Return the result of a request whose latency target is given in ms."""
    if isinstance(outcome, outcomes.NotRun):
        return "not_run"
    if isinstance(outcome, outcomes.Unknown):
        return "unknown"
    return "on_time" if duration_ms <= target_ms else "late"


def new_histogram() -> histogram.HdrHistogram:
    """Return an empty latency histogram in microseconds."""
    return histogram.HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


class _Cell:
    """Hold the counts and latencies of one service and rank."""

    def __init__(self) -> None:
        self.count_by_result: dict[Result, int] = dict.fromkeys(ResultCounts._fields, 0)  # type: ignore[arg-type]
        self.histogram = new_histogram()


class BurnRecorder:
    """Collect the results of one VM and hand out one summary per interval.

    Times are Unix time in seconds. Intervals are aligned to multiples of their length;
    the first is shorter when the process starts inside it, so that the part before the
    start shows up as missing. All methods may be called from any thread.
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
        self._closed: list[records_generated.BurnSummary] = []
        self._open(int(now_s))
        self._last_seen_s = int(now_s)

    def record(
        self, service: str, rank: str, result: Result, duration_ms: float, now_s: float
    ) -> None:
        """Count one request with its latency in ms."""
        duration_us = min(max(int(duration_ms * 1_000), MIN_LATENCY_US), MAX_LATENCY_US)
        with self._lock:
            self._advance(int(now_s))
            cell = self._cell_by_key.get((service, rank))
            if cell is None:
                cell = self._cell_by_key[service, rank] = _Cell()
            cell.count_by_result[result] += 1
            cell.histogram.record_value(duration_us)

    def pop_summaries(self, now_s: float) -> tuple[records_generated.BurnSummary, ...]:
        """Return the summaries of intervals that ended; call it in each interval.

        An interval without requests has a summary without entries. When neither
        ``pop_summaries`` nor ``record`` was called for longer than one interval, the
        process was suspended; that time is not covered and so is reported as missing.
        """
        with self._lock:
            self._advance(int(now_s))
            closed, self._closed = tuple(self._closed), []
            return closed

    def close(self, now_s: float) -> tuple[records_generated.BurnSummary, ...]:
        """Return the remaining summaries, the last one up to now."""
        with self._lock:
            self._advance(int(now_s))
            self._finish(max(int(now_s), self._last_seen_s))
            closed, self._closed = tuple(self._closed), []
            return closed

    def _open(self, start_s: int) -> None:
        self._start_s = start_s
        self._end_s = (start_s // self._interval_s + 1) * self._interval_s
        self._cell_by_key: dict[tuple[str, str], _Cell] = {}

    def _advance(self, now_s: int) -> None:
        # A wall clock that was set back continues the present interval.
        if now_s - self._last_seen_s > self._interval_s:
            self._finish(min(self._last_seen_s + 1, self._end_s))
            self._open(now_s)
        while now_s >= self._end_s:
            self._finish(self._end_s)
            self._open(self._end_s)
        self._last_seen_s = max(self._last_seen_s, now_s)

    def _finish(self, end_s: int) -> None:
        if end_s <= self._start_s:
            if not self._cell_by_key:
                return
            # Requests of a process that lived for less than a second still count.
            end_s = self._start_s + 1
        self._closed.append(
            {
                "kind": "burn_summary",
                "record_id": self._new_record_id(),
                "vm": self._vm,
                "interval_start_s": self._start_s,
                "interval_s": end_s - self._start_s,
                "entries": [
                    _entry(service, rank, cell)
                    for (service, rank), cell in sorted(self._cell_by_key.items())
                ],
            }
        )


def _entry(service: str, rank: str, cell: _Cell) -> records_generated.BurnEntry:
    return {
        "service": service,
        "rank": rank,
        "on_time": cell.count_by_result["on_time"],
        "late": cell.count_by_result["late"],
        "not_run": cell.count_by_result["not_run"],
        "unknown": cell.count_by_result["unknown"],
        "histogram": cell.histogram.encode().decode("ascii"),
    }

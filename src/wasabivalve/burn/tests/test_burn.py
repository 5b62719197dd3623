"""Guard the burn report against gaps that look healthy and against wrong sums."""

import itertools
import json
import re
from html import parser

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wasabivalve import burn, outcomes, platform_log
from wasabivalve.burn import budget, merging

INTERVAL = 300
END = 1_800_000_000 // INTERVAL * INTERVAL
NOW = END + budget.SUMMARY_DELAY_S
OBJECTIVE = burn.Objective("slotbook", "urgent", 0.99, 20)
STARTS = range(END - budget.WINDOWS_S[-1], END, INTERVAL)


def summary(vm, start, on_time=99, late=1, interval=INTERVAL, record_id=None):
    entry = {
        "service": "slotbook",
        "rank": "urgent",
        "on_time": on_time,
        "late": late,
        "not_run": 0,
        "unknown": 0,
        "histogram": "",
    }
    return {
        "kind": "burn_summary",
        "record_id": record_id or f"{vm}-{start}",
        "vm": vm,
        "interval_start_s": start,
        "interval_s": interval,
        "entries": [entry] if on_time + late else [],
    }


def make_recorder(start=END):
    numbers = itertools.count()
    return burn.BurnRecorder("entry-1", start, lambda: f"id-{next(numbers)}")


def only_row(summaries, vms=("a", "b")):
    (row,) = burn.build_report(summaries, [OBJECTIVE], NOW, vms).rows
    return row


def test_complete_data_at_the_objective_burns_at_one():
    row = only_row([summary(vm, start) for vm in "ab" for start in STARTS])
    assert [window.rate for window in row.windows] == pytest.approx([1.0] * 4)
    assert row.budget_left == pytest.approx(0.0)


@pytest.mark.parametrize("late", [0, 50])
def test_a_missing_vm_is_never_healthy(late):
    """A VM that stopped reporting may be the one that fails requests."""
    row = only_row([summary("a", start, 99, late) for start in STARTS])
    assert row.state in ("missing", "page")
    assert all(window.missing * 2 == window.expected for window in row.windows)
    assert "ok" not in {window.state for window in row.windows}


def test_no_data_at_all_is_missing_and_not_idle():
    row = only_row([])
    assert row.state == "missing"
    assert row.windows[0].rate is None
    assert "missing 2/2" in burn.render_table(
        burn.build_report([], [OBJECTIVE], NOW, ["a", "b"])
    )


def test_one_lost_interval_is_named():
    lost_start = END - 600
    rows = [
        summary(vm, at) for vm in "ab" for at in STARTS if (vm, at) != ("a", lost_start)
    ]
    report = burn.build_report(rows, [OBJECTIVE], NOW, ["a", "b"])
    assert report.missing == (budget.MissingInterval("a", lost_start, 0, INTERVAL),)
    assert [window.missing for window in report.rows[0].windows] == [0, 1, 1, 1]


def test_a_repeated_summary_counts_once():
    """An append whose response was lost may be on the log twice."""
    merged = burn.merge([summary("a", END), summary("a", END)])
    assert merged.counts_by_interval["slotbook", "urgent", END].total == 100


def test_the_worst_hour_and_alert_are_found():
    bad_start = END - 7 * 3600
    rows = [
        summary(
            "a",
            at,
            0 if bad_start <= at < bad_start + 3600 else 100,
            100 if at == bad_start else 0,
        )
        for at in STARTS
    ]
    row = only_row(rows, ["a"])
    assert row.worst_hour is not None
    assert row.worst_hour.start_s == bad_start
    assert row.worst_hour.rate == pytest.approx(100.0)
    assert row.state == "ok"
    assert only_row([summary("a", at, 50, 50) for at in STARTS], ["a"]).state == "page"


def test_damaged_records_are_counted_and_ignored():
    damaged = [{"kind": "x"}, summary("a", END, on_time=-5), {"record_id": 3}]
    assert burn.merge(damaged).ignored == 3
    _, unreadable = merging.merge_histograms(["", "AAAA", "not base64 é"])
    assert unreadable == 3


def test_recorder_emits_idle_intervals_and_latencies():
    """Without summaries an idle VM could not be distinguished from a lost one."""
    recorder = make_recorder(END - 2 * INTERVAL)
    recorder.record("slotbook", "urgent", "on_time", 12.0, END - 2 * INTERVAL)
    recorder.record("slotbook", "urgent", "unknown", 90.0, END - INTERVAL - 1)
    summaries = recorder.pop_summaries(END - INTERVAL + 1) + recorder.pop_summaries(
        END + 1
    )
    assert [len(row["entries"]) for row in summaries] == [1, 0]
    assert summaries[0]["entries"][0]["unknown"] == 1
    row = only_row(summaries, ["entry-1"])
    assert row.p99_ms == pytest.approx(90.0, rel=0.02)
    assert row.windows[0].missing == 0


def test_a_suspended_process_leaves_its_gap_missing():
    """A suspended VM observes no request, so its intervals must not look idle."""
    recorder = make_recorder(END - 4 * INTERVAL)
    recorder.pop_summaries(END - 4 * INTERVAL + 100)
    summaries = recorder.pop_summaries(END - 100) + recorder.close(END)
    report = burn.build_report(summaries, [OBJECTIVE], NOW, ["entry-1"])
    late = [row.start_s for row in report.missing if row.start_s >= END - 4 * INTERVAL]
    assert late == [END - 4 * INTERVAL + n * INTERVAL for n in range(4)]


def test_a_restart_inside_an_interval_shows_the_part_that_was_lost():
    recorder = make_recorder(END - INTERVAL + 120)
    summaries = recorder.pop_summaries(END)
    report = burn.build_report(summaries, [OBJECTIVE], NOW, ["entry-1"])
    assert report.missing[-1].covered_s == INTERVAL - 120


@given(st.lists(st.integers(-50, 400), max_size=30))
def test_recorder_loses_no_request_whatever_the_clock_does(steps):
    recorder, now, summaries = make_recorder(), END, []
    for step in steps:
        now += step
        recorder.record("slotbook", "urgent", "late", 1.0, now)
        summaries += recorder.pop_summaries(now)
    summaries += recorder.close(now + 1)
    total = sum(entry["late"] for row in summaries for entry in row["entries"])
    spans = sorted((row["interval_start_s"], row["interval_s"]) for row in summaries)
    assert total == len(steps)
    assert all(a + length <= b for (a, length), (b, _) in itertools.pairwise(spans))


@pytest.mark.parametrize(
    ("outcome", "duration", "result"),
    [
        (outcomes.Done(200, (), b""), 20.0, "on_time"),
        (outcomes.Done(200, (), b""), 20.1, "late"),
        (outcomes.NotRun("full"), 1.0, "not_run"),
        (outcomes.Unknown("silent"), 1.0, "unknown"),
    ],
)
def test_outcomes_are_classified(outcome, duration, result):
    assert burn.classify_outcome(outcome, duration, 20.0) == result


class TagCollector(parser.HTMLParser):
    """Collect the tags and attributes of a page."""

    def __init__(self):
        super().__init__()
        self.names, self.attributes = [], []

    def handle_starttag(self, tag, attrs):
        self.names.append(tag)
        self.attributes += attrs


def test_html_page_is_self_contained_and_escapes_names():
    """An external resource fails offline; an unescaped name could inject a script."""
    objective = burn.Objective("<script>", "urgent", 0.99, 20)
    page = burn.render_html(burn.build_report([], [objective], NOW, ["a"]))
    collector = TagCollector()
    collector.feed(page)
    assert "script" not in collector.names
    assert "svg" in collector.names
    assert not {"src", "href", "data", "action"} & {
        name for name, _ in collector.attributes
    }
    assert not re.search(r"https?:|@import", page)


def test_json_is_plain():
    report = burn.build_report([summary("a", END - 300)], [OBJECTIVE], NOW, ["a"])
    document = json.loads(burn.render_json(report))
    assert document["objectives"][0]["windows"][0]["rate"] == pytest.approx(1.0)


class ScriptedLog:
    """Return the given outcomes in turn; an unknown outcome still takes effect."""

    def __init__(self, *outcomes):
        self.outcomes, self.records = list(outcomes), []

    def append(self, stream, records):
        outcome = self.outcomes.pop(0) if self.outcomes else platform_log.Appended(0)
        if not isinstance(outcome, platform_log.LogUnavailable):
            self.records += records
        return outcome


def test_summaries_survive_an_outage_and_count_once_after_a_lost_response():
    """A dropped summary counts as missing, a repeated one would add requests."""
    down = platform_log.LogUnavailable("down")
    log = ScriptedLog(down, platform_log.AppendUnknown("lost"))
    queue = burn.SummaryQueue(max_summaries=2)
    queue.add(summary("a", END + n * INTERVAL) for n in range(3))
    assert not queue.flush(log)
    assert not queue.flush(log)
    assert queue.flush(log)
    assert len(queue) == 0
    merged = burn.merge(log.records)
    assert len(log.records) == 4
    assert [start for _, _, start in merged.counts_by_interval] == [
        END + INTERVAL,
        END + 2 * INTERVAL,
    ]
    assert {counts.total for counts in merged.counts_by_interval.values()} == {100}

"""Merge the summaries of all VMs into counts and coverage per interval."""

import struct
import zlib
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

import msgspec
from hdrh import codec, histogram

from wasabivalve.schema import records_generated

from . import core

IntervalKey = tuple[str, str, int]


class MergedSummaries(NamedTuple):
    """Hold counts and coverage per interval of ``interval_s`` seconds.

    ``counts_by_interval`` and ``histograms_by_interval`` have the key (service, rank,
    interval start), ``covered_s_by_vm_interval`` the key (VM, interval start).
    ``ignored`` is the number of records that do not match their schema.
    """

    interval_s: int
    counts_by_interval: Mapping[IntervalKey, core.ResultCounts]
    covered_s_by_vm_interval: Mapping[tuple[str, int], int]
    histograms_by_interval: Mapping[IntervalKey, tuple[str, ...]]
    ignored: int


def merge(
    summaries: Iterable[Mapping[str, Any]],
    interval_s: int = core.DEFAULT_INTERVAL_S,
) -> MergedSummaries:
    """Return the sum of summaries; a repeated record id counts once."""
    counts_by_interval: dict[IntervalKey, core.ResultCounts] = {}
    histograms_by_interval: dict[IntervalKey, list[str]] = {}
    covered_s_by_vm_interval: dict[tuple[str, int], int] = {}
    seen_record_ids: set[str] = set()
    ignored = 0
    for record in summaries:
        summary = _parse_summary(record)
        if summary is None:
            ignored += 1
            continue
        if summary["record_id"] in seen_record_ids:
            continue
        seen_record_ids.add(summary["record_id"])
        _add_coverage(covered_s_by_vm_interval, summary, interval_s)
        start = summary["interval_start_s"] // interval_s * interval_s
        for entry in summary["entries"]:
            key = (entry["service"], entry["rank"], start)
            counts_by_interval[key] = counts_by_interval.get(
                key, core.ResultCounts()
            ).plus(_counts_of_entry(entry))
            histograms_by_interval.setdefault(key, []).append(entry["histogram"])
    return MergedSummaries(
        interval_s,
        counts_by_interval,
        covered_s_by_vm_interval,
        {key: tuple(encoded) for key, encoded in histograms_by_interval.items()},
        ignored,
    )


def merge_histograms(
    encoded_histograms: Iterable[str],
) -> tuple[histogram.HdrHistogram, int]:
    """Return the sum of encoded histograms and the number of unreadable ones."""
    total = core.new_histogram()
    unreadable = 0
    for encoded in encoded_histograms:
        try:
            total.decode_and_add(encoded)
        except (
            codec.HdrCookieException,
            codec.HdrLengthException,
            codec.HdrHistogramSettingsException,
            zlib.error,
            struct.error,
            ValueError,
            TypeError,
            IndexError,
            AttributeError,
        ):
            unreadable += 1
    return total, unreadable


def _parse_summary(record: Mapping[str, Any]) -> records_generated.BurnSummary | None:
    try:
        summary: records_generated.BurnSummary = msgspec.convert(
            record, records_generated.BurnSummary
        )
    except (msgspec.ValidationError, RecursionError):
        return None
    has_negative_count = any(
        min(_counts_of_entry(entry)) < 0 for entry in summary["entries"]
    )
    return None if has_negative_count or summary["interval_s"] <= 0 else summary


def _counts_of_entry(entry: records_generated.BurnEntry) -> core.ResultCounts:
    return core.ResultCounts(
        entry["on_time"], entry["late"], entry["not_run"], entry["unknown"]
    )


def _add_coverage(
    covered_s_by_vm_interval: dict[tuple[str, int], int],
    summary: records_generated.BurnSummary,
    interval_s: int,
) -> None:
    begin_s = summary["interval_start_s"]
    end_s = begin_s + summary["interval_s"]
    start = begin_s // interval_s * interval_s
    while start < end_s:
        overlap_s = min(end_s, start + interval_s) - max(begin_s, start)
        key = (summary["vm"], start)
        covered_s_by_vm_interval[key] = min(
            covered_s_by_vm_interval.get(key, 0) + overlap_s, interval_s
        )
        start += interval_s

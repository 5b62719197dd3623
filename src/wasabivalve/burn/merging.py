"""Merge the summaries of all VMs into counts and coverage by interval."""

import struct
import zlib
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

import msgspec
from hdrh import codec, histogram

from wasabivalve.schema import records_generated

from . import core

CellKey = tuple[str, str, int]


class MergedSummaries(NamedTuple):
    """Hold counts and coverage by interval of ``interval_s`` seconds.

    ``counts_by_cell`` has the key (service, rank, interval start),
    ``covered_s_by_vm_interval`` the key (VM, interval start). ``ignored`` counts
    records that do not fit their schema.
    """

    interval_s: int
    counts_by_cell: Mapping[CellKey, core.ResultCounts]
    covered_s_by_vm_interval: Mapping[tuple[str, int], int]
    histograms_by_cell: Mapping[CellKey, tuple[str, ...]]
    ignored: int


def merge(
    summaries: Iterable[Mapping[str, Any]],
    interval_s: int = core.DEFAULT_INTERVAL_S,
) -> MergedSummaries:
    """Return the sum of summaries; a repeated record id counts once."""
    counts: dict[CellKey, core.ResultCounts] = {}
    encoded: dict[CellKey, list[str]] = {}
    covered: dict[tuple[str, int], int] = {}
    seen: set[str] = set()
    ignored = 0
    for record in summaries:
        summary = _read(record)
        if summary is None:
            ignored += 1
            continue
        if summary["record_id"] in seen:
            continue
        seen.add(summary["record_id"])
        _add_coverage(covered, summary, interval_s)
        start = summary["interval_start_s"] // interval_s * interval_s
        for entry in summary["entries"]:
            key = (entry["service"], entry["rank"], start)
            counts[key] = counts.get(key, core.ResultCounts()).plus(_counts(entry))
            encoded.setdefault(key, []).append(entry["histogram"])
    return MergedSummaries(
        interval_s,
        counts,
        covered,
        {key: tuple(texts) for key, texts in encoded.items()},
        ignored,
    )


def merge_histograms(
    encoded: Iterable[str],
) -> tuple[histogram.HdrHistogram, int]:
    """Return the sum of encoded histograms and the number of unreadable ones."""
    total = core.new_histogram()
    unreadable = 0
    for text in encoded:
        try:
            total.decode_and_add(text)
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


def _read(record: Mapping[str, Any]) -> records_generated.BurnSummary | None:
    try:
        summary: records_generated.BurnSummary = msgspec.convert(
            record, records_generated.BurnSummary
        )
    except msgspec.ValidationError:
        return None
    negative = any(min(_counts(entry)) < 0 for entry in summary["entries"])
    return None if negative or summary["interval_s"] <= 0 else summary


def _counts(entry: records_generated.BurnEntry) -> core.ResultCounts:
    return core.ResultCounts(
        entry["on_time"], entry["late"], entry["not_run"], entry["unknown"]
    )


def _add_coverage(
    covered: dict[tuple[str, int], int],
    summary: records_generated.BurnSummary,
    interval_s: int,
) -> None:
    begin = summary["interval_start_s"]
    end = begin + summary["interval_s"]
    start = begin // interval_s * interval_s
    while start < end:
        overlap = min(end, start + interval_s) - max(begin, start)
        key = (summary["vm"], start)
        covered[key] = min(covered.get(key, 0) + overlap, interval_s)
        start += interval_s

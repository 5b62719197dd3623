"""Service-level burn: recording, merging, error-budget reports."""

from .budget import BurnReport, Objective, build_report, list_objectives
from .core import BurnRecorder, ResultCounts, classify_outcome
from .html_page import render_html
from .merging import MergedSummaries, merge
from .publishing import STREAM, SummaryQueue
from .rendering import render_json, render_table

__all__ = [
    "STREAM",
    "BurnRecorder",
    "BurnReport",
    "MergedSummaries",
    "Objective",
    "ResultCounts",
    "SummaryQueue",
    "build_report",
    "classify_outcome",
    "list_objectives",
    "merge",
    "render_html",
    "render_json",
    "render_table",
]

"""Service-level burn: recording, merging, error-budget reports."""

from .budget import Objective, Report, objectives_of, report
from .core import BurnWindow, Counts, classify
from .html_page import render_html
from .merging import Merged, merge
from .publishing import STREAM, SummaryQueue
from .rendering import render_json, render_table

__all__ = [
    "STREAM",
    "BurnWindow",
    "Counts",
    "Merged",
    "Objective",
    "Report",
    "SummaryQueue",
    "classify",
    "merge",
    "objectives_of",
    "render_html",
    "render_json",
    "render_table",
    "report",
]

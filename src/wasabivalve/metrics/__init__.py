"""Metrics, sent to a StatsD server or rendered as text."""

from .core import METRIC_BY_NAME, Metric, StatsdMetrics, render_table

__all__ = ["METRIC_BY_NAME", "Metric", "StatsdMetrics", "render_table"]

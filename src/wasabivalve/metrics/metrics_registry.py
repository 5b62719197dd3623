"""Hold counters, gauges and latency histograms and render them as text."""

from hdrh import histogram

from . import core

MIN_DURATION_MS = 1
MAX_DURATION_MS = 60_000
SIGNIFICANT_DIGITS = 2
"""Range and precision of histograms; a request lasts a few seconds at most."""

PERCENTILES = (50.0, 90.0, 99.0, 99.9)

PREFIX = "wasabivalve"


class MetricsRegistry:
    """Hold the metrics of one process since its start."""

    def __init__(self) -> None:
        self._count_by_name_label: dict[tuple[str, str], int] = {}
        self._gauge_by_name: dict[str, float] = {}
        self._histogram_by_name_label: dict[
            tuple[str, str], histogram.HdrHistogram
        ] = {}

    def count(self, name: str, label: str = "", amount: int = 1) -> None:
        """Add an amount to a counter; raise KeyError for an unlisted name."""
        key = (core.METRIC_BY_NAME[name].name, label)
        self._count_by_name_label[key] = self._count_by_name_label.get(key, 0) + amount

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge; raise KeyError for an unlisted name."""
        self._gauge_by_name[core.METRIC_BY_NAME[name].name] = value

    def timing(self, name: str, duration_ms: float, label: str = "") -> None:
        """Record a duration in milliseconds; raise KeyError for an unlisted name."""
        key = (core.METRIC_BY_NAME[name].name, label)
        duration_histogram = self._histogram_by_name_label.get(key)
        if duration_histogram is None:
            duration_histogram = histogram.HdrHistogram(
                MIN_DURATION_MS, MAX_DURATION_MS, SIGNIFICANT_DIGITS
            )
            self._histogram_by_name_label[key] = duration_histogram
        duration_histogram.record_value(
            min(MAX_DURATION_MS, max(MIN_DURATION_MS, round(duration_ms)))
        )

    def render(self) -> str:
        """Return all metrics as text, one per line, with labels in braces."""
        lines = [
            f"{_full_name(name)}_total{_format_labels(label)} {value}"
            for (name, label), value in sorted(self._count_by_name_label.items())
        ]
        lines += [
            f"{_full_name(name)} {value:g}"
            for name, value in sorted(self._gauge_by_name.items())
        ]
        for (name, label), duration_histogram in sorted(
            self._histogram_by_name_label.items(), key=lambda item: item[0]
        ):
            for percentile in PERCENTILES:
                value = duration_histogram.get_value_at_percentile(percentile)
                quantile = f'quantile="{percentile / 100:g}"'
                labels = _format_labels(label, quantile)
                lines.append(f"{_full_name(name)}_milliseconds{labels} {value}")
            count = duration_histogram.get_total_count()
            lines.append(
                f"{_full_name(name)}_milliseconds_count{_format_labels(label)} {count}"
            )
        return "\n".join(lines) + "\n"


def _full_name(name: str) -> str:
    return f"{PREFIX}_{name.replace('.', '_')}"


def _format_labels(label: str, *more_labels: str) -> str:
    labels = [f'kind="{label}"'] if label else []
    labels += more_labels
    return "{" + ",".join(labels) + "}" if labels else ""

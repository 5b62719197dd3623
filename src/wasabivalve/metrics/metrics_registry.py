"""Keep counters and latency histograms and render them as text."""

from hdrh import histogram

from . import core

LOWEST_MS = 1
HIGHEST_MS = 60_000
DIGITS = 2
"""Range and precision of histograms; requests last at most some seconds."""

PERCENTILES = (50.0, 90.0, 99.0, 99.9)

PREFIX = "wasabivalve"


class MetricsRegistry:
    """Hold the metrics of one process since its start."""

    def __init__(self) -> None:
        self._counts: dict[tuple[str, str], int] = {}
        self._gauges: dict[str, float] = {}
        self._histograms: dict[tuple[str, str], histogram.HdrHistogram] = {}

    def count(self, name: str, label: str = "", amount: int = 1) -> None:
        """Add to a counter; raise KeyError for an unlisted name."""
        key = (core.METRIC_BY_NAME[name].name, label)
        self._counts[key] = self._counts.get(key, 0) + amount

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge; raise KeyError for an unlisted name."""
        self._gauges[core.METRIC_BY_NAME[name].name] = value

    def timing(self, name: str, duration_ms: float, label: str = "") -> None:
        """Record a duration in milliseconds; raise KeyError for an unlisted name."""
        key = (core.METRIC_BY_NAME[name].name, label)
        known = self._histograms.get(key)
        if known is None:
            known = histogram.HdrHistogram(LOWEST_MS, HIGHEST_MS, DIGITS)
            self._histograms[key] = known
        known.record_value(min(HIGHEST_MS, max(LOWEST_MS, round(duration_ms))))

    def render(self) -> str:
        """Return all metrics, one a line, with labels in braces."""
        lines = [
            f"{_full(name)}_total{_braces(label)} {value}"
            for (name, label), value in sorted(self._counts.items())
        ]
        lines += [f"{_full(n)} {value:g}" for n, value in sorted(self._gauges.items())]
        for (name, label), known in sorted(
            self._histograms.items(), key=lambda item: item[0]
        ):
            for percentile in PERCENTILES:
                value = known.get_value_at_percentile(percentile)
                quantile = f'quantile="{percentile / 100:g}"'
                braces = _braces(label, quantile)
                lines.append(f"{_full(name)}_milliseconds{braces} {value}")
            count = known.get_total_count()
            lines.append(f"{_full(name)}_milliseconds_count{_braces(label)} {count}")
        return "\n".join(lines) + "\n"


def _full(name: str) -> str:
    return f"{PREFIX}_{name.replace('.', '_')}"


def _braces(label: str, *others: str) -> str:
    parts = [f'kind="{label}"'] if label else []
    parts += others
    return "{" + ",".join(parts) + "}" if parts else ""

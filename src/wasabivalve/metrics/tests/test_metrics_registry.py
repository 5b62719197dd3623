"""Guard the text of the metrics address."""

import pytest

from wasabivalve.metrics import metrics_registry


def test_counters_and_histograms_are_rendered():
    """On-call engineers read rates and percentiles from this text."""
    metrics = metrics_registry.MetricsRegistry()
    metrics.count("request.done", "200")
    metrics.count("request.done", "200")
    for duration in range(1, 101):
        metrics.timing("request.duration", float(duration), "desk")
    metrics.gauge("request.in_work", 3)
    text = metrics.render()
    assert 'wasabivalve_request_done_total{kind="200"} 2' in text
    assert (
        'wasabivalve_request_duration_milliseconds{kind="desk",quantile="0.5"} 50'
        in text
    )
    assert 'wasabivalve_request_duration_milliseconds_count{kind="desk"} 100' in text
    assert "wasabivalve_request_in_work 3" in text


def test_unlisted_names_are_refused():
    """A metric outside the table would be undocumented."""
    with pytest.raises(KeyError):
        metrics_registry.MetricsRegistry().count("request.unknown_name")


def test_durations_beyond_the_range_are_kept():
    """A request that stalls for minutes must not raise when it is recorded."""
    metrics = metrics_registry.MetricsRegistry()
    metrics.timing("request.duration", 1e9)
    metrics.timing("request.duration", 0.0)
    assert "milliseconds_count 2" in metrics.render()

"""Define the table of metrics and send them to a StatsD server."""

from typing import NamedTuple

import statsd

ROWS = (
    ("request.done", "counter", "requests answered by an upstream"),
    ("request.not_run", "counter", "failed requests that certainly did not run"),
    ("request.unknown", "counter", "failed requests that may have run"),
    ("request.duration", "timing", "time from receipt to answer, ms"),
    ("request.retry", "counter", "requests with more than one step in their trail"),
    ("request.in_work", "gauge", "caller connections with a request in progress"),
    ("request.ineligible", "counter", "refusals, as no instance may serve a request"),
    ("request.caller_left", "counter", "requests cancelled with their connection"),
    ("request.pipelined", "counter", "requests read before earlier ones were answered"),
    ("request.response_waited", "counter", "responses that waited for earlier ones"),
    ("request.response_cut", "counter", "connections reset within a response"),
    ("request.behind_close", "counter", "connections that dropped further requests"),
    ("upstream.handshake", "gauge", "connections opened to instances since the start"),
    ("upstream.over_limit", "counter", "responses that exceeded a limit"),
    ("upstream.ended", "counter", "connections that ended under a request"),
    ("upstream.reset_survived", "counter", "resets by instances that did not end"),
    ("buffer.bytes", "gauge", "memory of what is held for callers and instances"),
    ("buffer.limit", "gauge", "memory that may be held for callers and instances"),
    ("connection.dropped", "counter", "caller connections closed to make room"),
    ("buffer.evicted", "gauge", "messages given up for lack of buffers since start"),
    ("buffer.unread_evicted", "gauge", "unread responses given up for lack of buffers"),
    ("store.call", "gauge", "calls to the platform's store since the start"),
    ("store.era", "gauge", "newest era of the store that this VM has seen"),
    ("instance.listed", "gauge", "registered instances"),
    ("instance.cold", "gauge", "instances that this VM knows to be cold"),
    (
        "instance.paced",
        "gauge",
        "instances whose pace this VM looks for as dispatcher",
    ),
    ("instance.evacuated_data_centres", "gauge", "evacuated data centres"),
    ("task.errors", "gauge", "unexpected errors of long-lived tasks since the start"),
    ("task.failing", "gauge", "long-lived tasks that fail again and again"),
    ("transfer.delayed", "counter", "requests that waited for room on the VM's link"),
    ("transfer.refused", "counter", "requests refused for lack of room on the link"),
    ("permit.wait", "timing", "time that a request waited for a slot, ms"),
    ("permit.refused", "counter", "requests that got no slot"),
    ("peer.message_dropped", "counter", "dropped messages: invalid, or unknown peer"),
    ("peer.bytes_sent", "counter", "control bytes sent to peers"),
    ("log.append", "counter", "appends to the log"),
    ("log.unavailable", "counter", "log calls that failed"),
    ("ownership.owners_changed", "counter", "changes of the owner of a key range"),
    ("quarantine.size", "gauge", "quarantined request fingerprints"),
)


class Metric(NamedTuple):
    """Describe one metric."""

    name: str
    kind: str
    text: str


METRIC_BY_NAME = {row[0]: Metric(*row) for row in ROWS}


class StatsdMetrics:
    """Send metrics to a StatsD server, or drop them when ``host`` is None."""

    def __init__(self, host: str | None, port: int = 8125, prefix: str = "wasabivalve"):
        self._client = statsd.StatsClient(host, port, prefix) if host else None

    def count(self, name: str, amount: int = 1) -> None:
        """Add an amount to a counter; raise KeyError for an unlisted name."""
        metric = METRIC_BY_NAME[name]
        if self._client:
            self._client.incr(metric.name, amount)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge; raise KeyError for an unlisted name."""
        metric = METRIC_BY_NAME[name]
        if self._client:
            self._client.gauge(metric.name, value)

    def timing(self, name: str, duration_ms: float) -> None:
        """Record a duration in milliseconds; raise KeyError for an unlisted name."""
        metric = METRIC_BY_NAME[name]
        if self._client:
            self._client.timing(metric.name, duration_ms)

    def close(self) -> None:
        """Close the socket."""
        if self._client:
            self._client.close()


def render_table() -> str:
    """Return the table of all metrics as a Markdown page."""
    lines = ["# Metrics", "", "| name | kind | meaning |", "|---|---|---|"]
    lines += [
        f"| `{metric.name}` | {metric.kind} | {metric.text} |"
        for metric in METRIC_BY_NAME.values()
    ]
    return "\n".join(lines) + "\n"

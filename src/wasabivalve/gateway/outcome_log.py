"""Log and count the outcomes of requests."""

from wasabivalve import events
from wasabivalve.metrics import metrics_registry

from . import messages, pending_request


def record_outcome(
    metrics: metrics_registry.MetricsRegistry,
    pending: pending_request.PendingRequest,
    response: messages.HttpResponse,
    local: bool,
    version: int,
    now: float,
) -> None:
    """Log and count the outcome of a request at a time in s.

    ``local`` responses come from the gateway; ``version`` is that of the desired state.
    """
    duration_ms = 1000.0 * (now - pending.request.received_at)
    refused = local and response.status == 503
    fields = {} if pending.key is None else {"key": pending.key}
    events.emit(
        420 if response.status < 500 else 413,
        request=pending.request_id,
        route=pending.route.name,
        service=pending.service.name,
        version=version,
        **fields,
        status=response.status,
        own=local,
        ms=round(duration_ms),
        trail=";".join(pending.steps),
    )
    outcome = "request.unknown" if local else "request.done"
    if refused:
        outcome = "request.not_run"
    metrics.count(outcome, str(response.status))
    metrics.timing("request.duration", duration_ms, pending.service.name)
    if len(pending.steps) > 1:
        metrics.count("request.retry", str(response.status))

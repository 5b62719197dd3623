"""Render the metrics of an entry VM, and log its control traffic."""

from wasabivalve import events, ramp_up
from wasabivalve.gateway import core as gateway
from wasabivalve.gateway import messages
from wasabivalve.vm_link import exchange

from . import store


def render(
    served_gateway: gateway.Gateway,
    store_client: store.StoreClient,
    listed_instances: int,
    limits: ramp_up.PacedLimits,
    now_ms: float,
) -> messages.HttpResponse:
    """Return the metrics page with the present values of all gauges."""
    metrics = served_gateway.metrics
    metrics.gauge("request.in_work", served_gateway.busy_connections)
    metrics.gauge("upstream.handshake", served_gateway.pool.handshakes)
    served_gateway.buffers.report(metrics.gauge)
    metrics.gauge("store.call", store_client.call_count)
    metrics.gauge("store.era", store_client.era.newest)
    metrics.gauge("instance.listed", listed_instances)
    metrics.gauge("instance.cold", limits.cold_count(now_ms))
    metrics.gauge("instance.paced", limits.paced_count(now_ms))
    response_headers = [(b"content-type", b"text/plain; charset=utf-8")]
    return messages.HttpResponse(
        200, b"OK", response_headers, metrics.render().encode()
    )


def log_control_traffic(
    store_client: store.StoreClient, link: exchange.MessageExchange
) -> None:
    """Log the store calls and the bytes sent to other VMs since the last time."""
    events.emit(204, **store_client.call_count_by_label)
    store_client.call_count_by_label.clear()
    events.emit(106, **link.sent_bytes_by_kind)
    link.sent_bytes_by_kind.clear()

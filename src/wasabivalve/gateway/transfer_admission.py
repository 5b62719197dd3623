"""Let large responses begin only when the link of this VM has room for them."""

import asyncio
from collections.abc import Callable

from wasabivalve.metrics import metrics_registry
from wasabivalve.placement import bandwidth

from . import pending_request

MAX_WAIT_SHARE = 0.5
"""Share of the time that a request may wait which it may spend on this.

The rest is left for a slot.
"""


class TransferAdmission:
    """Delay or refuse requests whose responses are large.

    ``exchange_kb`` returns the typical size of a route's request and response.
    """

    def __init__(
        self,
        link_mbps: float,
        exchange_kb: Callable[[str], float],
        metrics: metrics_registry.MetricsRegistry,
    ) -> None:
        self._schedule = bandwidth.BandwidthSchedule(link_mbps)
        self._exchange_kb = exchange_kb
        self._metrics = metrics

    async def wait_for_bandwidth(
        self,
        pending: pending_request.PendingRequest,
        wait_deadline_at: float,
        refuses: Callable[[pending_request.PendingRequest], bool] = lambda _: False,
    ) -> bool:
        """Wait until a response may begin; return False to refuse the request.

        ``refuses`` returns whether no instance may serve it, so that no wait helps.
        """
        if not pending.route.has_large_responses:
            return True
        if refuses(pending):
            return False
        now = asyncio.get_running_loop().time()
        kilobytes = self._exchange_kb(pending.route.name)
        wait_ms = self._schedule.reserve(
            kilobytes,
            MAX_WAIT_SHARE * 1000.0 * (wait_deadline_at - now),
            1000.0 * now,
        )
        if wait_ms is None:
            wait_ms = self._schedule.wait_ms(1000.0 * now)
            pending.steps.append(f"link-busy expected={wait_ms:.0f}ms")
            pending.retry_after_s = wait_ms / 1000.0
            self._metrics.count("transfer.refused")
            return False
        if wait_ms > 0.0:
            self._metrics.count("transfer.delayed")
            try:
                await asyncio.sleep(wait_ms / 1000.0)
            except asyncio.CancelledError:
                self._schedule.give_back(kilobytes, 1000.0 * now)
                raise
        return True

    def on_refused(self, pending: pending_request.PendingRequest) -> None:
        """Give back the room of a request that no instance got."""
        if pending.route.has_large_responses:
            now = asyncio.get_running_loop().time()
            kilobytes = self._exchange_kb(pending.route.name)
            self._schedule.give_back(kilobytes, 1000.0 * now)

"""Hold the windows that bound the retries of each service."""

from typing import NamedTuple

from wasabivalve import retries


class RetryLimits(NamedTuple):
    """Bound the retries of a service over all VMs together.

    They may reach ``retry_share`` of the requests of the last ``retry_window_ms`` plus
    ``retry_allowance``.
    """

    retry_share: float
    retry_window_ms: float
    retry_allowance: float


class RetryWindows:
    """Hold one window for each service; ``started_at`` in ms is the start of the VM."""

    def __init__(self, limits: RetryLimits) -> None:
        self.started_at = 0.0
        self._limits = limits
        self._window_by_service: dict[str, retries.RetryWindow] = {}

    def of_service(self, service: str) -> retries.RetryWindow:
        """Return the window of a service."""
        window = self._window_by_service.get(service)
        if window is None:
            window = self._window_by_service[service] = retries.RetryWindow(
                self._limits.retry_window_ms,
                self._limits.retry_share,
                self._limits.retry_allowance,
                self.started_at,
            )
        return window

"""Hold the state of one request on its way through the gateway."""

from wasabivalve.desired_state import core as desired_state
from wasabivalve.placement import core as placement

from . import messages

LEAST_ATTEMPT_S = 0.012
"""With less time left no instance can answer, a round trip included."""


class Work:
    """Hold a request, its limits and what became of it so far; times in s."""

    def __init__(
        self,
        request: messages.Request,
        route: desired_state.RouteConfig,
        service: desired_state.ServiceConfig,
        request_id: str,
        time_left_s: float,
        key: int | None,
    ) -> None:
        self.request = request
        self.route = route
        self.service = service
        self.request_id = request_id
        self.key = key
        self.end_at = request.received_at + min(time_left_s, route.timeout_ms / 1000.0)
        self.urgent = True
        self.admitted = False
        self.attempts = 0
        self.may_have_run = False
        self.excluded: set[str] = set()
        self.sends = 0
        self.moved_from: str | None = None
        self.not_before = 0.0
        self.latest: placement.InstanceLoad | None = None
        self.closed = False
        self.retry_after_s = 0.0
        self.last_failure: messages.Answer | None = None
        self.trail: list[str] = []

    @property
    def is_over(self) -> bool:
        """Return whether no further attempt may be made."""
        return self.closed or self.attempts >= self.route.max_attempts

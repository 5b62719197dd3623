"""Hold the state of one request while the gateway forwards it."""

import asyncio
import functools
from typing import NamedTuple

from wasabivalve.desired_state import core as desired_state
from wasabivalve.placement import core as placement

from . import messages

MIN_ATTEMPT_S = 0.012
"""With less time left no instance can respond, round trip included."""


class ClaimedTrial(NamedTuple):
    """Identify the trial that a refused request may make of itself.

    ``attempts`` is the number of attempts before it.
    """

    fingerprint: str
    member: str
    attempts: int


class PendingRequest:
    """Hold a request, its limits and the state of its attempts; times in s.

    ``admitted`` requests need no share of an overloaded holder's capacity any more;
    ``admitting_holder`` is the one whose share was taken for it.
    ``refusing_instance`` refused the request last; if it holds the request's key, it is
    not asked again before ``refusing_until``. ``trial`` is set if the request may run
    although it is quarantined. ``steps`` become the log field ``trail``.
    """

    def __init__(
        self,
        request: messages.HttpRequest,
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
        self.deadline_at = request.received_at + min(
            time_left_s, route.timeout_ms / 1000.0
        )
        self.urgent = True
        self.admitted = False
        self.admitting_holder: str | None = None
        self.attempts = 0
        self.may_have_run = False
        self.excluded_instances: set[str] = set()
        self.refused_sends = 0
        self.refusing_instance: str | None = None
        self.refusing_until = 0.0
        self.latest_load: placement.InstanceLoad | None = None
        self.attempts_forbidden = False
        self.trial: ClaimedTrial | None = None
        self.retry_after_s = 0.0
        self.last_error_response: messages.HttpResponse | None = None
        self.steps: list[str] = []

    @functools.cached_property
    def fingerprint(self) -> str:
        """Return the fingerprint of the request, as its caller sends it."""
        return self.request.fingerprint(self.request.caller)

    @functools.cached_property
    def content_fingerprint(self) -> str:
        """Return the fingerprint of the request, whoever sends it."""
        return self.request.fingerprint()

    @property
    def has_room(self) -> bool:
        """Return whether the response may begin."""
        may_begin = self.request.may_begin
        return may_begin is None or may_begin.is_set()

    async def wait_for_room(self, deadline_at: float) -> bool:
        """Wait until the response may begin; return whether it may by a deadline."""
        may_begin = self.request.may_begin
        if may_begin is None or may_begin.is_set():
            return True
        try:
            async with asyncio.timeout_at(deadline_at):
                await may_begin.wait()
        except TimeoutError:
            self.steps.append("response-waits")
            return False
        return True

    @property
    def no_more_attempts(self) -> bool:
        """Return whether no further attempt may be made."""
        return self.attempts_forbidden or self.attempts >= self.route.max_attempts

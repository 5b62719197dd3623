"""Carry a request from its caller to an instance and back."""

import collections
import random
import time
import uuid
from collections.abc import Callable, Mapping
from typing import NamedTuple

from wasabivalve import outcomes, resources, retries, routing, settings
from wasabivalve.schema import settings_generated

from . import (
    caller_request,
    clock,
    crash_guard,
    dispatch,
    load_counter,
    owner_tables,
    permits,
    upstream_client,
)

# Longest wait for another owner before the table is looked at again.
OWNER_WAIT_MS = 50.0
# The new owner is known but has not received its grant yet.
STALE_OWNER_WAIT_MS = 15.0
READ_TIMEOUT_OWNER_WAIT_MS = 400.0
MIN_ATTEMPT_TIMEOUT_MS = 500.0
# A suspected request asks again after this time; the rerun of another VM may have
# cleared it.
MIN_DEFERRAL_MS = 5.0
MAX_DEFERRAL_MS = 100.0


class InstanceChoice(NamedTuple):
    """Name the instance for an attempt and the token of its grant."""

    instance: resources.ConfiguredInstance
    token: str
    table: routing.OwnerIndex | None


class PreparedRequest(NamedTuple):
    """Carry a checked request with its service and rank."""

    request: caller_request.CallerRequest
    service: resources.ConfiguredService
    rank: resources.ConfiguredRank
    idempotent: bool
    deadline_at: float
    wait_deadline_at: float
    fingerprint: str


class PathDependencies(NamedTuple):
    """Gather what the request path uses."""

    settings: settings_generated.Settings
    view: Callable[[], resources.ConfigurationView | None]
    owner_tables: owner_tables.OwnerTables
    permits: permits.PermitClient
    client: upstream_client.UpstreamClient
    guard: crash_guard.CrashGuard
    random_generator: random.Random
    load_counter_by_shard: Mapping[str, load_counter.LoadCounter]


class RequestPath:
    """Serve requests; safe to use from threads."""

    def __init__(self, parts: PathDependencies):
        self._parts = parts
        self._observations = routing.InstanceStatistics()
        # One per rank, so that a flood cannot use up the retries of urgent work.
        self._budget_by_rank: dict[str, retries.RetryBudget] = collections.defaultdict(
            retries.RetryBudget
        )
        self._region_by_data_centre = settings.region_by_data_centre(parts.settings)
        self._origin = self.locality(parts.settings["data_centre"])

    def locality(self, data_centre: str) -> routing.Locality:
        """Return the place of a data centre."""
        region = self._region_by_data_centre.get(data_centre, "")
        return routing.Locality(data_centre, region)

    def prepare(
        self, request: caller_request.CallerRequest
    ) -> PreparedRequest | caller_request.ProblemResponse:
        """Check a request against the configuration."""
        view = self._parts.view()
        if view is None:
            return caller_request.ProblemResponse(
                503, "not-run", "no configuration is proved", 1_000.0
            )
        service = view.service_by_name.get(request.service)
        if service is None:
            reason = f"service {request.service!r} is not declared"
            return caller_request.ProblemResponse(404, "not-run", reason)
        rank = _find_rank(view, request.rank)
        if rank is None:
            reason = f"rank {request.rank!r} is not declared"
            return caller_request.ProblemResponse(400, "not-run", reason)
        idempotent = request.method in service.idempotent_methods
        if service.partitioned and not request.key:
            reason = f"service {service.name!r} needs a Wasabivalve-Key header"
            return caller_request.ProblemResponse(400, "not-run", reason)
        if not idempotent and not request.idempotency_key:
            reason = f"method {request.method} needs an Idempotency-Key header"
            return caller_request.ProblemResponse(400, "not-run", reason)
        now = clock.monotonic_ms()
        deadline_at = now + request.deadline_ms
        wait_deadline_at = min(deadline_at, now + rank.queue_age_ms)
        return PreparedRequest(
            request,
            service,
            rank,
            idempotent,
            deadline_at,
            wait_deadline_at,
            caller_request.digest_request(request),
        )

    def run(self, prepared: PreparedRequest) -> outcomes.Outcome:
        """Try a request until an outcome is final."""
        budget = self._budget_by_rank[prepared.rank.name]
        budget.on_request()
        counter = self._parts.load_counter_by_shard.get(shard_of(prepared.service.name))
        if counter is not None:
            counter.add(prepared.request.key)
        attempts = 0
        doubt: outcomes.Unknown | None = None
        while True:
            attempt = self._attempt(prepared)
            if isinstance(attempt.outcome, outcomes.Unknown):
                doubt = attempt.outcome
            if self._waits_for_owner(prepared, attempt):
                continue
            if attempt.deferral_ms and clock.monotonic_ms() < prepared.wait_deadline_at:
                time.sleep(min(attempt.deferral_ms, MAX_DEFERRAL_MS) / 1000)
                continue
            attempts += 1
            decision = retries.next_attempt(
                attempt.outcome,
                retries.AttemptedRequest(
                    prepared.idempotent, attempts, prepared.deadline_at
                ),
                clock.monotonic_ms(),
                budget,
                self._parts.random_generator,
            )
            if attempt.is_final or isinstance(decision, retries.Stop):
                return _combined(attempt.outcome, doubt)
            time.sleep(decision.delay_ms / 1000)

    def _waits_for_owner(
        self, prepared: PreparedRequest, attempt: upstream_client.AttemptResult
    ) -> bool:
        """Return whether to hold a request of a divided service for another owner.

        Nothing was run or it may run again, so the owner table decides about the
        next attempt and not the retry budget, which a lost server would use up.
        """
        if not prepared.service.partitioned:
            return False
        may_repeat = prepared.idempotent or isinstance(attempt.outcome, outcomes.NotRun)
        lost = attempt.crashed or attempt.read_timed_out
        moved = attempt.stale_owner or (may_repeat and lost)
        return moved and clock.monotonic_ms() < prepared.wait_deadline_at

    def _attempt(self, prepared: PreparedRequest) -> upstream_client.AttemptResult:
        route = self._route(prepared)
        if route is None:
            return _not_run("no instance owns the key or is available")
        name = dispatch.InstanceName(prepared.service.name, route.instance.name)
        alone = self._parts.guard.is_suspected(prepared.fingerprint)
        permit = self._parts.permits.acquire(
            name,
            self.locality(route.instance.data_centre),
            _demand(prepared, alone),
            lambda: self._is_current(prepared, route),
        )
        if isinstance(permit, permits.PermitUnavailable):
            if permit.owner_changed:
                return _deferred(permit.reason, 0.0)
            return _not_run(permit.reason, permit.retry_after_ms)
        attempt = self._send_if_admitted(prepared, route, str(name), alone)
        done = isinstance(attempt.outcome, outcomes.Done)
        self._parts.permits.release(permit, "done" if done else "failed")
        if self._waits_for_owner(prepared, attempt):
            self._wait_for_owner(prepared, route.table, _owner_wait_ms(attempt))
        return attempt

    def _is_current(self, prepared: PreparedRequest, route: InstanceChoice) -> bool:
        """Return whether the owner tables still name the instance of a route."""
        table = self._parts.owner_tables.find(shard_of(prepared.service.name))
        if route.table is None or table is route.table or table is None:
            return True
        owner = table.owner_of_key(prepared.request.key)
        return owner is not None and owner.server == route.instance.name

    def _send_if_admitted(
        self, prepared: PreparedRequest, route: InstanceChoice, name: str, alone: bool
    ) -> upstream_client.AttemptResult:
        """Send a request unless it is suspected of crashing instances."""
        guard, fingerprint = self._parts.guard, prepared.fingerprint
        admission = guard.start(fingerprint, name)
        if admission.action == "quarantined":
            return _not_run("request crashed instances and is quarantined", 0.0, True)
        if admission.action == "wait":
            return _deferred("request is suspected", admission.retry_after_ms)
        rerun = admission.action == "run_alone"
        if rerun and not alone:
            # It became suspected while it waited for a slot that it must not share.
            guard.finish(fingerprint, name, crashed=False, alone=True, done=False)
            return _deferred("request is suspected", 0.0)
        attempt = self._send(prepared, route, name)
        unknown = isinstance(attempt.outcome, outcomes.Unknown)
        guard.finish(
            fingerprint,
            name,
            crashed=attempt.crashed and unknown,
            alone=rerun,
            done=isinstance(attempt.outcome, outcomes.Done),
        )
        return attempt

    def _send(
        self, prepared: PreparedRequest, route: InstanceChoice, name: str
    ) -> upstream_client.AttemptResult:
        request = prepared.request
        self._observations.on_start(name, clock.monotonic_ms())
        attempt = self._parts.client.send(
            upstream_client.UpstreamRequest(
                upstream_client.UpstreamAddress(
                    route.instance.host, route.instance.port
                ),
                request.method,
                request.target,
                _upstream_headers(request),
                request.body,
                uuid.uuid4().hex,
                route.token,
                _attempt_limit_ms(prepared),
            )
        )
        self._observations.on_finish(
            name,
            attempt.duration_ms,
            not isinstance(attempt.outcome, outcomes.Done),
            clock.monotonic_ms(),
        )
        return attempt

    def _route(self, prepared: PreparedRequest) -> InstanceChoice | None:
        if prepared.service.partitioned:
            return self._route_to_owner(prepared)
        return self._route_to_any(prepared)

    def _route_to_owner(self, prepared: PreparedRequest) -> InstanceChoice | None:
        shard = shard_of(prepared.service.name)
        while True:
            table = self._parts.owner_tables.find(shard)
            owner = table.owner_of_key(prepared.request.key) if table else None
            if owner is not None:
                for instance in prepared.service.instances:
                    if instance.name == owner.server:
                        token = "/".join(str(part) for part in owner.token)
                        return InstanceChoice(instance, token, table)
            if clock.monotonic_ms() >= prepared.wait_deadline_at:
                return None
            self._wait_for_owner(prepared, table, OWNER_WAIT_MS)

    def _wait_for_owner(
        self,
        prepared: PreparedRequest,
        seen: routing.OwnerIndex | None,
        longest_ms: float,
    ) -> None:
        left_ms = prepared.deadline_at - clock.monotonic_ms()
        self._parts.owner_tables.wait_for_change(
            shard_of(prepared.service.name), seen, min(longest_ms, max(0.0, left_ms))
        )

    def _route_to_any(self, prepared: PreparedRequest) -> InstanceChoice | None:
        view = self._parts.view()
        drained = view.drained_instances if view else frozenset()
        service = prepared.service
        instance_by_name = {
            str(dispatch.InstanceName(service.name, instance.name)): instance
            for instance in service.instances
            if (service.name, instance.name) not in drained
        }
        chosen = routing.choose_instance(
            self._origin,
            {
                name: self.locality(instance.data_centre)
                for name, instance in instance_by_name.items()
            },
            self._observations,
            self._parts.random_generator,
            clock.monotonic_ms(),
            max_in_flight=service.slots,
            # Limits what identical writes can crash before they are known; reads
            # may be hot and need every instance.
            affinity=prepared.fingerprint if prepared.request.body else None,
        )
        return InstanceChoice(instance_by_name[chosen], "", None) if chosen else None


def _combined(
    last: outcomes.Outcome, doubt: outcomes.Unknown | None
) -> outcomes.Outcome:
    """Return the outcome of all attempts: a refusal does not undo an earlier run."""
    return doubt if doubt and isinstance(last, outcomes.NotRun) else last


def shard_of(service: str) -> str:
    """Return the shard of a service; each service has one today."""
    return f"{service}/0"


def _owner_wait_ms(attempt: upstream_client.AttemptResult) -> float:
    """Return how long to wait for another owner before the next attempt, in ms."""
    if attempt.stale_owner:
        return STALE_OWNER_WAIT_MS
    # Silence tells less than a refusal: the server may only be slow.
    return READ_TIMEOUT_OWNER_WAIT_MS if attempt.read_timed_out else OWNER_WAIT_MS


def _attempt_limit_ms(prepared: PreparedRequest) -> float:
    """Return the time for one attempt in ms.

    An idempotent request does not wait for its deadline on a connection or a
    server that went silent; it has time for another attempt.
    """
    left_ms = max(1.0, prepared.deadline_at - clock.monotonic_ms())
    if not prepared.idempotent:
        return left_ms
    usual_ms = max(MIN_ATTEMPT_TIMEOUT_MS, 2.0 * prepared.rank.target_ms)
    return min(left_ms, usual_ms)


def _find_rank(
    view: resources.ConfigurationView, name: str
) -> resources.ConfiguredRank | None:
    if name:
        return view.rank_by_name.get(name)
    # A request without a rank is the least urgent.
    ranks = sorted(view.rank_by_name.values(), key=lambda rank: rank.order)
    return ranks[-1] if ranks else None


def _demand(prepared: PreparedRequest, alone: bool) -> permits.SlotDemand:
    return permits.SlotDemand(
        prepared.rank.name,
        prepared.deadline_at,
        len(prepared.request.body),
        float(prepared.rank.queue_age_ms),
        alone,
    )


def _upstream_headers(
    request: caller_request.CallerRequest,
) -> tuple[tuple[str, str], ...]:
    if not request.key:
        return request.headers
    return (*request.headers, ("Wasabivalve-Key", request.key))


def _not_run(
    reason: str, retry_after_ms: float = 0.0, is_final: bool = False
) -> upstream_client.AttemptResult:
    outcome = outcomes.NotRun(reason, retry_after_ms)
    return upstream_client.AttemptResult(outcome, 0.0, is_final=is_final)


def _deferred(reason: str, wait_ms: float) -> upstream_client.AttemptResult:
    """Return an attempt that was not made and needs no retry budget."""
    outcome = outcomes.NotRun(reason, wait_ms)
    deferral_ms = max(wait_ms, MIN_DEFERRAL_MS)
    return upstream_client.AttemptResult(outcome, 0.0, deferral_ms=deferral_ms)

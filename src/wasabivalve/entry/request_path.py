"""Choose an instance for each request, send it there, and retry.

A request needs a permit, which stands for a free slot of the instance. Requests
of a service that is partitioned by key go to the owner of their key; others go to
the instance that load balancing chooses.
"""

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

# Maximum wait for a changed owner table before it is checked again.
OWNER_WAIT_MS = 50.0
# Used when a server refuses a key; the table may name a new owner that has not
# received its grant yet.
STALE_OWNER_WAIT_MS = 15.0
READ_TIMEOUT_OWNER_WAIT_MS = 400.0
MIN_ATTEMPT_TIMEOUT_MS = 500.0
# A request that is suspected of crashing instances is deferred for at least this long
# before it is checked again; a rerun on another VM may have cleared it.
MIN_DEFERRAL_MS = 5.0
MAX_DEFERRAL_MS = 100.0


class InstanceChoice(NamedTuple):
    """Name the instance for an attempt and the fencing token of its grant.

    ``token`` is empty and ``owner_index`` is None when the service is not
    partitioned by key.
    """

    instance: resources.ConfiguredInstance
    token: str
    owner_index: routing.OwnerIndex | None


class PreparedRequest(NamedTuple):
    """Hold a validated request with its service and rank; times in monotonic ms.

    ``wait_deadline_at`` limits the time spent on waiting for another owner or for
    the end of a suspicion.
    """

    request: caller_request.CallerRequest
    service: resources.ConfiguredService
    rank: resources.ConfiguredRank
    idempotent: bool
    deadline_at: float
    wait_deadline_at: float
    fingerprint: str


class PathDependencies(NamedTuple):
    """Hold the objects that the request path uses."""

    settings: settings_generated.Settings
    current_view: Callable[[], resources.ConfigurationView | None]
    owner_tables: owner_tables.OwnerTables
    permits: permits.PermitClient
    upstream_client: upstream_client.UpstreamClient
    crash_guard: crash_guard.CrashGuard
    random_generator: random.Random
    load_counter_by_shard: Mapping[str, load_counter.LoadCounter]


class RequestPath:
    """Send requests to instances; thread-safe."""

    def __init__(self, dependencies: PathDependencies):
        self._dependencies = dependencies
        self._statistics = routing.InstanceStatistics()
        # One budget per rank, so that a flood of requests of one rank cannot
        # exhaust the retries of a more urgent rank.
        self._budget_by_rank: dict[str, retries.RetryBudget] = collections.defaultdict(
            retries.RetryBudget
        )
        self._region_by_data_centre = settings.region_by_data_centre(
            dependencies.settings
        )
        self._own_locality = self.locality(dependencies.settings["data_centre"])

    def locality(self, data_centre: str) -> routing.Locality:
        """Return the locality of a data centre."""
        region = self._region_by_data_centre.get(data_centre, "")
        return routing.Locality(data_centre, region)

    def prepare(
        self, request: caller_request.CallerRequest
    ) -> PreparedRequest | caller_request.ProblemResponse:
        """Validate a request against the active configuration.

        Return a problem response if the request must not be sent.
        """
        view = self._dependencies.current_view()
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
        """Attempt a request until an outcome is final and return it."""
        budget = self._budget_by_rank[prepared.rank.name]
        budget.on_request()
        counter = self._dependencies.load_counter_by_shard.get(
            shard_of(prepared.service.name)
        )
        if counter is not None:
            counter.add(prepared.request.key)
        attempt_count = 0
        unknown_outcome: outcomes.Unknown | None = None
        while True:
            attempt = self._attempt(prepared)
            if isinstance(attempt.outcome, outcomes.Unknown):
                unknown_outcome = attempt.outcome
            if self._should_wait_for_owner(prepared, attempt):
                continue
            if attempt.deferral_ms and clock.monotonic_ms() < prepared.wait_deadline_at:
                time.sleep(min(attempt.deferral_ms, MAX_DEFERRAL_MS) / 1000)
                continue
            attempt_count += 1
            decision = retries.next_attempt(
                attempt.outcome,
                retries.AttemptedRequest(
                    prepared.idempotent, attempt_count, prepared.deadline_at
                ),
                clock.monotonic_ms(),
                budget,
                self._dependencies.random_generator,
            )
            if attempt.is_final or isinstance(decision, retries.Stop):
                return _final_outcome(attempt.outcome, unknown_outcome)
            time.sleep(decision.delay_ms / 1000)

    def _should_wait_for_owner(
        self, prepared: PreparedRequest, attempt: upstream_client.AttemptResult
    ) -> bool:
        """Return whether a request of a partitioned service waits for another owner.

        Nothing was run or it may run again, so the owner table decides about the
        next attempt and not the retry budget, which a lost server would exhaust.
        """
        if not prepared.service.partitioned:
            return False
        may_repeat = prepared.idempotent or isinstance(attempt.outcome, outcomes.NotRun)
        instance_lost = attempt.crashed or attempt.read_timed_out
        owner_may_change = attempt.stale_owner or (may_repeat and instance_lost)
        return owner_may_change and clock.monotonic_ms() < prepared.wait_deadline_at

    def _attempt(self, prepared: PreparedRequest) -> upstream_client.AttemptResult:
        choice = self._choose_instance(prepared)
        if choice is None:
            return _not_run("no instance owns the key or is available")
        name = dispatch.InstanceName(prepared.service.name, choice.instance.name)
        alone = self._dependencies.crash_guard.is_suspected(prepared.fingerprint)
        permit = self._dependencies.permits.acquire(
            name,
            self.locality(choice.instance.data_centre),
            _slot_demand(prepared, alone),
            lambda: self._is_current(prepared, choice),
        )
        if isinstance(permit, permits.PermitUnavailable):
            if permit.owner_changed:
                return _deferred(permit.reason, 0.0)
            return _not_run(permit.reason, permit.retry_after_ms)
        attempt = self._send_if_allowed(prepared, choice, str(name), alone)
        done = isinstance(attempt.outcome, outcomes.Done)
        self._dependencies.permits.release(permit, "done" if done else "failed")
        if self._should_wait_for_owner(prepared, attempt):
            self._wait_for_owner(prepared, choice.owner_index, _owner_wait_ms(attempt))
        return attempt

    def _is_current(self, prepared: PreparedRequest, choice: InstanceChoice) -> bool:
        """Return whether the newest owner table still names the chosen instance."""
        owner_index = self._dependencies.owner_tables.find(
            shard_of(prepared.service.name)
        )
        if (
            choice.owner_index is None
            or owner_index is choice.owner_index
            or owner_index is None
        ):
            return True
        owner = owner_index.owner_of_key(prepared.request.key)
        return owner is not None and owner.server == choice.instance.name

    def _send_if_allowed(
        self, prepared: PreparedRequest, choice: InstanceChoice, name: str, alone: bool
    ) -> upstream_client.AttemptResult:
        """Send a request unless the crash guard quarantines or defers it."""
        guard, fingerprint = self._dependencies.crash_guard, prepared.fingerprint
        run_decision = guard.start(fingerprint, name)
        if run_decision.action == "quarantined":
            return _not_run("request crashed instances and is quarantined", 0.0, True)
        if run_decision.action == "wait":
            return _deferred("request is suspected", run_decision.retry_after_ms)
        is_rerun = run_decision.action == "run_alone"
        if is_rerun and not alone:
            # The request became suspected while it waited for a permit, which was not
            # requested for exclusive use of the instance.
            guard.finish(fingerprint, name, crashed=False, alone=True, done=False)
            return _deferred("request is suspected", 0.0)
        attempt = self._send(prepared, choice, name)
        unknown = isinstance(attempt.outcome, outcomes.Unknown)
        guard.finish(
            fingerprint,
            name,
            crashed=attempt.crashed and unknown,
            alone=is_rerun,
            done=isinstance(attempt.outcome, outcomes.Done),
        )
        return attempt

    def _send(
        self, prepared: PreparedRequest, choice: InstanceChoice, name: str
    ) -> upstream_client.AttemptResult:
        request = prepared.request
        self._statistics.on_start(name, clock.monotonic_ms())
        attempt = self._dependencies.upstream_client.send(
            upstream_client.UpstreamRequest(
                upstream_client.UpstreamAddress(
                    choice.instance.host, choice.instance.port
                ),
                request.method,
                request.target,
                _upstream_headers(request),
                request.body,
                uuid.uuid4().hex,
                choice.token,
                _attempt_limit_ms(prepared),
            )
        )
        self._statistics.on_finish(
            name,
            attempt.duration_ms,
            not isinstance(attempt.outcome, outcomes.Done),
            clock.monotonic_ms(),
        )
        return attempt

    def _choose_instance(self, prepared: PreparedRequest) -> InstanceChoice | None:
        if prepared.service.partitioned:
            return self._choose_owner(prepared)
        return self._choose_by_load(prepared)

    def _choose_owner(self, prepared: PreparedRequest) -> InstanceChoice | None:
        shard = shard_of(prepared.service.name)
        while True:
            owner_index = self._dependencies.owner_tables.find(shard)
            owner = (
                owner_index.owner_of_key(prepared.request.key) if owner_index else None
            )
            if owner is not None:
                for instance in prepared.service.instances:
                    if instance.name == owner.server:
                        token = "/".join(str(part) for part in owner.token)
                        return InstanceChoice(instance, token, owner_index)
            if clock.monotonic_ms() >= prepared.wait_deadline_at:
                return None
            self._wait_for_owner(prepared, owner_index, OWNER_WAIT_MS)

    def _wait_for_owner(
        self,
        prepared: PreparedRequest,
        known_index: routing.OwnerIndex | None,
        max_wait_ms: float,
    ) -> None:
        remaining_ms = prepared.deadline_at - clock.monotonic_ms()
        self._dependencies.owner_tables.wait_for_change(
            shard_of(prepared.service.name),
            known_index,
            min(max_wait_ms, max(0.0, remaining_ms)),
        )

    def _choose_by_load(self, prepared: PreparedRequest) -> InstanceChoice | None:
        view = self._dependencies.current_view()
        drained = view.drained_instances if view else frozenset()
        service = prepared.service
        instance_by_name = {
            str(dispatch.InstanceName(service.name, instance.name)): instance
            for instance in service.instances
            if (service.name, instance.name) not in drained
        }
        chosen_name = routing.choose_instance(
            self._own_locality,
            {
                name: self.locality(instance.data_centre)
                for name, instance in instance_by_name.items()
            },
            self._statistics,
            self._dependencies.random_generator,
            clock.monotonic_ms(),
            max_in_flight=service.slots,
            # Affinity limits how many instances identical writes can crash before
            # they are suspected. Reads have none: many identical reads may need
            # every instance.
            affinity=prepared.fingerprint if prepared.request.body else None,
        )
        return (
            InstanceChoice(instance_by_name[chosen_name], "", None)
            if chosen_name
            else None
        )


def _final_outcome(
    last: outcomes.Outcome, unknown_outcome: outcomes.Unknown | None
) -> outcomes.Outcome:
    """Return the outcome of all attempts.

    A last attempt that was not run does not disprove that an earlier one was.
    """
    return (
        unknown_outcome
        if unknown_outcome and isinstance(last, outcomes.NotRun)
        else last
    )


def shard_of(service: str) -> str:
    """Return the shard of a service; each service has exactly one."""
    return f"{service}/0"


def _owner_wait_ms(attempt: upstream_client.AttemptResult) -> float:
    """Return the maximum wait for another owner before the next attempt, in ms."""
    if attempt.stale_owner:
        return STALE_OWNER_WAIT_MS
    # A read timeout proves less than a refusal: the server may only be slow.
    return READ_TIMEOUT_OWNER_WAIT_MS if attempt.read_timed_out else OWNER_WAIT_MS


def _attempt_limit_ms(prepared: PreparedRequest) -> float:
    """Return the timeout of one attempt in ms.

    An idempotent request does not spend all time until its deadline on a connection
    or a server that stopped responding, so that time for another attempt is left.
    """
    remaining_ms = max(1.0, prepared.deadline_at - clock.monotonic_ms())
    if not prepared.idempotent:
        return remaining_ms
    default_limit_ms = max(MIN_ATTEMPT_TIMEOUT_MS, 2.0 * prepared.rank.target_ms)
    return min(remaining_ms, default_limit_ms)


def _find_rank(
    view: resources.ConfigurationView, name: str
) -> resources.ConfiguredRank | None:
    if name:
        return view.rank_by_name.get(name)
    # A request without a rank gets the least urgent one.
    ranks = sorted(view.rank_by_name.values(), key=lambda rank: rank.order)
    return ranks[-1] if ranks else None


def _slot_demand(prepared: PreparedRequest, alone: bool) -> permits.SlotDemand:
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
    """Return the result of an attempt that was not made.

    Until ``wait_deadline_at`` it is repeated without use of the retry budget, after
    ``wait_ms`` within ``MIN_DEFERRAL_MS`` and ``MAX_DEFERRAL_MS``.
    """
    outcome = outcomes.NotRun(reason, wait_ms)
    deferral_ms = max(wait_ms, MIN_DEFERRAL_MS)
    return upstream_client.AttemptResult(outcome, 0.0, deferral_ms=deferral_ms)

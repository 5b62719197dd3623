"""Implement the dispatch policies that benchmarks/dispatch.py compares."""

import collections
import itertools
import math
from collections.abc import Callable, Iterable, Mapping

import simulation

from wasabivalve import admission, outcomes, retries, routing

REPORT_INTERVAL_MS = 100.0
"""Interval of load reports and so their maximum age."""

Route = Callable[[simulation.SimulatedRequest], None]


def round_robin(
    fleet: simulation.SimulatedFleet, policy_by_rank: Mapping[str, admission.RankPolicy]
) -> Route:
    """Send to the instances in rotation, with up to three unconditional retries.

    An attempt times out after half the target; the request is then sent to the next
    instance in rotation. Requests are served in the order of arrival.
    """
    rotation_by_router = {
        router: itertools.cycle(fleet.locality_by_instance)
        for router in fleet.locality_by_router
    }

    def send(request: simulation.SimulatedRequest) -> None:
        if request.finished or request.attempts > 3:
            return
        request.attempts += 1
        instance = next(rotation_by_router[request.router])
        latency_ms = fleet.latency_ms(request.router, instance)
        timeout_ms = request.rank.target_ms / 2

        def on_upstream_result(ran: bool) -> None:
            action = fleet.finish if ran else send
            fleet.clock.after(latency_ms, action, request)

        upstream = fleet.upstream_by_instance[instance]
        fleet.clock.after(latency_ms, upstream.send, request, on_upstream_result)
        fleet.clock.after(timeout_ms, send, request)

    return send


def independent_routers(
    fleet: simulation.SimulatedFleet, policy_by_rank: Mapping[str, admission.RankPolicy]
) -> Route:
    """Queue at each router, with a limit of 1.5 times its share of all slots."""
    instances = list(fleet.locality_by_instance)
    slots = len(instances) * fleet.slots
    limit = math.ceil(1.5 * slots / len(fleet.locality_by_router))
    statistics_by_router = {
        router: routing.InstanceStatistics() for router in fleet.locality_by_router
    }

    def report() -> None:
        for statistics in statistics_by_router.values():
            for name, upstream in fleet.upstream_by_instance.items():
                statistics.on_report(name, upstream.load / fleet.slots, fleet.clock.now)
        fleet.clock.after(REPORT_INTERVAL_MS, report)

    def choose(request: simulation.SimulatedRequest) -> str | None:
        return routing.choose_instance(
            fleet.locality_by_router[request.router],
            fleet.locality_by_instance,
            statistics_by_router[request.router],
            fleet.generator,
            fleet.clock.now,
            max_in_flight=fleet.slots,
        )

    report()
    limit_by_router = dict.fromkeys(fleet.locality_by_router, limit)
    return _queue_at_routers(
        fleet, policy_by_rank, limit_by_router, choose, statistics_by_router
    )


def preallocated_slots(
    fleet: simulation.SimulatedFleet, policy_by_rank: Mapping[str, admission.RankPolicy]
) -> Route:
    """Queue at each router for the slots that are assigned to it in advance."""
    free_slots_by_router: dict[str, collections.deque[str]] = {
        router: collections.deque() for router in fleet.locality_by_router
    }
    for locality in dict.fromkeys(fleet.locality_by_instance.values()):
        local_routers = [
            router
            for router, other in fleet.locality_by_router.items()
            if other == locality
        ]
        local_instances = [
            name
            for name, other in fleet.locality_by_instance.items()
            if other == locality
        ]
        rotation = itertools.cycle(local_routers)
        for name in local_instances * fleet.slots:
            free_slots_by_router[next(rotation)].append(name)
    limit_by_router = {
        router: len(free_slots) for router, free_slots in free_slots_by_router.items()
    }
    statistics_by_router = {
        router: routing.InstanceStatistics() for router in fleet.locality_by_router
    }

    def choose(request: simulation.SimulatedRequest) -> str | None:
        return free_slots_by_router[request.router].popleft()

    def return_slot(request: simulation.SimulatedRequest, instance: str) -> None:
        free_slots_by_router[request.router].append(instance)

    return _queue_at_routers(
        fleet,
        policy_by_rank,
        limit_by_router,
        choose,
        statistics_by_router,
        return_slot,
    )


def _queue_at_routers(
    fleet: simulation.SimulatedFleet,
    policy_by_rank: Mapping[str, admission.RankPolicy],
    limit_by_router: Mapping[str, int],
    choose: Callable[[simulation.SimulatedRequest], str | None],
    statistics_by_router: Mapping[str, routing.InstanceStatistics],
    return_slot: Callable[
        [simulation.SimulatedRequest, str], None
    ] = lambda request, name: None,
) -> Route:
    queue_by_router = {
        router: _TimedQueue(fleet, admission.InstanceQueue(limit, policy_by_rank))
        for router, limit in limit_by_router.items()
    }

    def send(request: simulation.SimulatedRequest, queue: "_TimedQueue") -> None:
        instance = choose(request)
        if instance is None:
            queue.release(request)
            return
        started_at_ms = fleet.clock.now
        statistics = statistics_by_router[request.router]
        statistics.on_start(instance, started_at_ms)
        latency_ms = fleet.latency_ms(request.router, instance)

        def on_response(ran: bool) -> None:
            now = fleet.clock.now
            statistics.on_finish(instance, now - started_at_ms, not ran, now)
            return_slot(request, instance)
            queue.release(request)
            if ran:
                fleet.finish(request)

        def on_upstream_result(ran: bool) -> None:
            fleet.clock.after(latency_ms, on_response, ran)

        upstream = fleet.upstream_by_instance[instance]
        fleet.clock.after(latency_ms, upstream.send, request, on_upstream_result)

    def route(request: simulation.SimulatedRequest) -> None:
        queue = queue_by_router[request.router]
        queue.offer(request, lambda: send(request, queue), lambda decision: None)

    return route


def instance_permits(
    fleet: simulation.SimulatedFleet,
    policy_by_rank: Mapping[str, admission.RankPolicy],
    extra_permits: int = 1,
) -> Route:
    """Request a permit for each attempt from the dispatcher of the instance."""
    routers = fleet.locality_by_router
    statistics_by_router = {router: routing.InstanceStatistics() for router in routers}
    retry_budgets = {
        (router, rank): retries.RetryBudget()
        for router in routers
        for rank in policy_by_rank
    }
    dispatcher_by_instance: dict[str, str] = {}
    queue_by_instance = {}
    for name, locality in fleet.locality_by_instance.items():
        dispatcher = routing.choose_dispatcher(name, locality, routers)
        assert dispatcher is not None
        dispatcher_by_instance[name] = dispatcher
        queue = admission.InstanceQueue(fleet.slots, policy_by_rank, extra_permits)
        queue_by_instance[name] = _TimedQueue(fleet, queue)

    def request_permit(request: simulation.SimulatedRequest) -> None:
        instance = routing.choose_instance(
            routers[request.router],
            fleet.locality_by_instance,
            statistics_by_router[request.router],
            fleet.generator,
            fleet.clock.now,
            excluded=request.excluded,
            max_in_flight=MAX_IN_FLIGHT_PER_INSTANCE,
        )
        if instance is None:
            return
        statistics_by_router[request.router].on_start(instance, fleet.clock.now)
        latency_ms = fleet.peer_latency_ms(
            request.router, dispatcher_by_instance[instance]
        )

        def on_granted() -> None:
            fleet.clock.after(latency_ms, send, request, instance, latency_ms)

        def on_refused(decision: admission.PermitRefused) -> None:
            fleet.clock.after(latency_ms, retry_elsewhere, request, instance, decision)

        fleet.clock.after(
            latency_ms,
            queue_by_instance[instance].offer,
            request,
            on_granted,
            on_refused,
        )

    def send(
        request: simulation.SimulatedRequest,
        instance: str,
        dispatcher_latency_ms: float,
    ) -> None:
        started_at_ms = fleet.clock.now
        latency_ms = fleet.latency_ms(request.router, instance)

        def on_response(ran: bool) -> None:
            now = fleet.clock.now
            statistics = statistics_by_router[request.router]
            statistics.on_finish(instance, now - started_at_ms, not ran, now)
            fleet.clock.after(
                dispatcher_latency_ms, queue_by_instance[instance].release, request
            )
            if ran:
                fleet.finish(request)

        def on_upstream_result(ran: bool) -> None:
            fleet.clock.after(latency_ms, on_response, ran)

        upstream = fleet.upstream_by_instance[instance]
        fleet.clock.after(latency_ms, upstream.send, request, on_upstream_result)

    def retry_elsewhere(
        request: simulation.SimulatedRequest,
        instance: str,
        decision: admission.PermitRefused,
    ) -> None:
        now = fleet.clock.now
        statistics_by_router[request.router].on_cancel(instance, now)
        request.attempts += 1
        request.excluded = (*request.excluded, instance)
        retry_decision = retries.next_attempt(
            outcomes.NotRun(decision.reason),
            retries.AttemptedRequest(True, request.attempts, request.deadline_at),
            now,
            retry_budgets[request.router, request.rank.name],
            fleet.generator,
        )
        if isinstance(retry_decision, retries.Retry):
            fleet.clock.after(retry_decision.delay_ms, request_permit, request)

    def route(request: simulation.SimulatedRequest) -> None:
        retry_budgets[request.router, request.rank.name].on_request()
        request_permit(request)

    return route


MAX_IN_FLIGHT_PER_INSTANCE = 16
"""Requests of one router at one instance, waiting ones included, before spill-over."""


class _TimedQueue:
    """Drive an instance queue and its expiry by the clock of the simulated fleet."""

    def __init__(
        self, fleet: simulation.SimulatedFleet, queue: admission.InstanceQueue
    ) -> None:
        self._clock = fleet.clock
        self._queue = queue
        self._timer_at = math.inf
        self._callbacks: dict[
            str, tuple[Callable[[], None], Callable[[admission.PermitRefused], None]]
        ] = {}

    def offer(
        self,
        request: simulation.SimulatedRequest,
        on_granted: Callable[[], None],
        on_refused: Callable[[admission.PermitRefused], None],
    ) -> None:
        """Queue a request; call one of the functions when it is granted or refused."""
        permit_id = f"{request.name}/{request.attempts}"
        self._callbacks[permit_id] = (on_granted, on_refused)
        slot_request = admission.SlotRequest(
            permit_id, request.rank.name, request.deadline_at
        )
        self._apply(self._queue.offer(slot_request, self._clock.now))

    def release(self, request: simulation.SimulatedRequest) -> None:
        """Release the permit of a request."""
        permit_id = f"{request.name}/{request.attempts}"
        self._apply(self._queue.release(permit_id, self._clock.now))

    def _apply(self, decisions: Iterable[admission.PermitDecision]) -> None:
        for decision in decisions:
            on_granted, on_refused = self._callbacks.pop(decision.permit_id)
            if isinstance(decision, admission.PermitGranted):
                on_granted()
            else:
                on_refused(decision)
        next_expiry_at = self._queue.next_expiry_at()
        if next_expiry_at is not None and next_expiry_at < self._timer_at:
            self._timer_at = next_expiry_at
            self._clock.after(max(0.0, next_expiry_at - self._clock.now), self._expire)

    def _expire(self) -> None:
        self._timer_at = math.inf
        self._apply(self._queue.expire(self._clock.now))

"""Route requests by each of the policies that the benchmark compares."""

import collections
import itertools
import math
from collections.abc import Callable, Iterable, Mapping

import simulation

from wasabivalve import admission, outcomes, retries, routing

REPORT_MS = 100.0
"""Interval and age of load reports."""

Route = Callable[[simulation.Request], None]


def round_robin(
    fleet: simulation.Fleet, policies: Mapping[str, admission.RankPolicy]
) -> Route:
    """Send in turn, first come, first served, with three blind retries.

    An attempt is given up after half the target and sent again elsewhere.
    """
    turn_by_router = {
        router: itertools.cycle(fleet.place_by_instance)
        for router in fleet.place_by_router
    }

    def send(request: simulation.Request) -> None:
        if request.finished or request.attempts > 3:
            return
        request.attempts += 1
        instance = next(turn_by_router[request.router])
        travel = fleet.latency_ms(request.router, instance)
        timeout = request.rank.target_ms / 2

        def result(ran: bool) -> None:
            action = fleet.finish if ran else send
            fleet.clock.after(travel, action, request)

        upstream = fleet.upstream_by_instance[instance]
        fleet.clock.after(travel, upstream.send, request, result)
        fleet.clock.after(timeout, send, request)

    return send


def independent(
    fleet: simulation.Fleet, policies: Mapping[str, admission.RankPolicy]
) -> Route:
    """Queue at each router, with a limit of 1.5 times its share of the slots."""
    instances = list(fleet.place_by_instance)
    slots = len(instances) * fleet.slots
    limit = math.ceil(1.5 * slots / len(fleet.place_by_router))
    seen_by_router = {
        router: routing.InstanceStatistics() for router in fleet.place_by_router
    }

    def report() -> None:
        for seen in seen_by_router.values():
            for name, upstream in fleet.upstream_by_instance.items():
                seen.on_report(name, upstream.load / fleet.slots, fleet.clock.now)
        fleet.clock.after(REPORT_MS, report)

    def choose(request: simulation.Request) -> str | None:
        return routing.choose_instance(
            fleet.place_by_router[request.router],
            fleet.place_by_instance,
            seen_by_router[request.router],
            fleet.generator,
            fleet.clock.now,
            max_in_flight=fleet.slots,
        )

    report()
    limit_by_router = dict.fromkeys(fleet.place_by_router, limit)
    return _queue_at_routers(fleet, policies, limit_by_router, choose, seen_by_router)


def credits_ahead(
    fleet: simulation.Fleet, policies: Mapping[str, admission.RankPolicy]
) -> Route:
    """Queue at each router for the slots that were dealt to it in advance."""
    free_by_router: dict[str, collections.deque[str]] = {
        router: collections.deque() for router in fleet.place_by_router
    }
    for place in dict.fromkeys(fleet.place_by_instance.values()):
        near = [vm for vm, at in fleet.place_by_router.items() if at == place]
        names = [name for name, at in fleet.place_by_instance.items() if at == place]
        turn = itertools.cycle(near)
        for name in names * fleet.slots:
            free_by_router[next(turn)].append(name)
    limit_by_router = {router: len(free) for router, free in free_by_router.items()}
    seen_by_router = {
        router: routing.InstanceStatistics() for router in fleet.place_by_router
    }

    def choose(request: simulation.Request) -> str | None:
        return free_by_router[request.router].popleft()

    def give_back(request: simulation.Request, instance: str) -> None:
        free_by_router[request.router].append(instance)

    return _queue_at_routers(
        fleet, policies, limit_by_router, choose, seen_by_router, give_back
    )


def _queue_at_routers(
    fleet: simulation.Fleet,
    policies: Mapping[str, admission.RankPolicy],
    limit_by_router: Mapping[str, int],
    choose: Callable[[simulation.Request], str | None],
    seen_by_router: Mapping[str, routing.InstanceStatistics],
    give_back: Callable[[simulation.Request, str], None] = lambda request, name: None,
) -> Route:
    queues = {
        router: _TimedQueue(fleet, admission.InstanceQueue(limit, policies))
        for router, limit in limit_by_router.items()
    }

    def send(request: simulation.Request, queue: "_TimedQueue") -> None:
        instance = choose(request)
        if instance is None:
            queue.release(request)
            return
        started = fleet.clock.now
        seen = seen_by_router[request.router]
        seen.on_start(instance, started)
        travel = fleet.latency_ms(request.router, instance)

        def back(ran: bool) -> None:
            now = fleet.clock.now
            seen.on_finish(instance, now - started, not ran, now)
            give_back(request, instance)
            queue.release(request)
            if ran:
                fleet.finish(request)

        def result(ran: bool) -> None:
            fleet.clock.after(travel, back, ran)

        upstream = fleet.upstream_by_instance[instance]
        fleet.clock.after(travel, upstream.send, request, result)

    def route(request: simulation.Request) -> None:
        queue = queues[request.router]
        queue.offer(request, lambda: send(request, queue), lambda refused: None)

    return route


def permits(
    fleet: simulation.Fleet,
    policies: Mapping[str, admission.RankPolicy],
    ahead: int = 1,
) -> Route:
    """Ask one dispatcher per instance for a permit."""
    routers = fleet.place_by_router
    seen_by_router = {router: routing.InstanceStatistics() for router in routers}
    budgets = {
        (router, rank): retries.RetryBudget() for router in routers for rank in policies
    }
    dispatcher_by_instance: dict[str, str] = {}
    queues = {}
    for name, place in fleet.place_by_instance.items():
        dispatcher = routing.choose_dispatcher(name, place, routers)
        assert dispatcher is not None
        dispatcher_by_instance[name] = dispatcher
        queue = admission.InstanceQueue(fleet.slots, policies, ahead)
        queues[name] = _TimedQueue(fleet, queue)

    def ask(request: simulation.Request) -> None:
        instance = routing.choose_instance(
            routers[request.router],
            fleet.place_by_instance,
            seen_by_router[request.router],
            fleet.generator,
            fleet.clock.now,
            excluded=request.excluded,
            max_in_flight=MOST_IN_FLIGHT,
        )
        if instance is None:
            return
        seen_by_router[request.router].on_start(instance, fleet.clock.now)
        travel = fleet.peer_latency_ms(request.router, dispatcher_by_instance[instance])

        def granted() -> None:
            fleet.clock.after(travel, send, request, instance, travel)

        def refused(decision: admission.PermitRefused) -> None:
            fleet.clock.after(travel, back_off, request, instance, decision)

        fleet.clock.after(travel, queues[instance].offer, request, granted, refused)

    def send(request: simulation.Request, instance: str, to_dispatcher: float) -> None:
        started = fleet.clock.now
        travel = fleet.latency_ms(request.router, instance)

        def back(ran: bool) -> None:
            now = fleet.clock.now
            seen = seen_by_router[request.router]
            seen.on_finish(instance, now - started, not ran, now)
            fleet.clock.after(to_dispatcher, queues[instance].release, request)
            if ran:
                fleet.finish(request)

        def result(ran: bool) -> None:
            fleet.clock.after(travel, back, ran)

        upstream = fleet.upstream_by_instance[instance]
        fleet.clock.after(travel, upstream.send, request, result)

    def back_off(
        request: simulation.Request, instance: str, decision: admission.PermitRefused
    ) -> None:
        now = fleet.clock.now
        seen_by_router[request.router].on_cancel(instance, now)
        request.attempts += 1
        request.excluded = (*request.excluded, instance)
        next_step = retries.next_attempt(
            outcomes.NotRun(decision.reason),
            retries.AttemptedRequest(True, request.attempts, request.deadline_at),
            now,
            budgets[request.router, request.rank.name],
            fleet.generator,
        )
        if isinstance(next_step, retries.Retry):
            fleet.clock.after(next_step.delay_ms, ask, request)

    def route(request: simulation.Request) -> None:
        budgets[request.router, request.rank.name].on_request()
        ask(request)

    return route


MOST_IN_FLIGHT = 16
"""Requests of one router at one instance, waiting ones included, before spill-over."""


class _TimedQueue:
    """Run an instance queue on the clock of the fleet."""

    def __init__(self, fleet: simulation.Fleet, queue: admission.InstanceQueue) -> None:
        self._clock = fleet.clock
        self._queue = queue
        self._wake_at = math.inf
        self._callbacks: dict[
            str, tuple[Callable[[], None], Callable[[admission.PermitRefused], None]]
        ] = {}

    def offer(
        self,
        request: simulation.Request,
        granted: Callable[[], None],
        refused: Callable[[admission.PermitRefused], None],
    ) -> None:
        """Offer a request with what to do on a grant or refusal."""
        name = f"{request.name}/{request.attempts}"
        self._callbacks[name] = (granted, refused)
        asked = admission.SlotRequest(name, request.rank.name, request.deadline_at)
        self._apply(self._queue.offer(asked, self._clock.now))

    def release(self, request: simulation.Request) -> None:
        """Return the permit of a request."""
        name = f"{request.name}/{request.attempts}"
        self._apply(self._queue.release(name, self._clock.now))

    def _apply(self, decisions: Iterable[admission.PermitDecision]) -> None:
        for decision in decisions:
            granted, refused = self._callbacks.pop(decision.permit_id)
            if isinstance(decision, admission.PermitGranted):
                granted()
            else:
                refused(decision)
        wake = self._queue.next_expiry_at()
        if wake is not None and wake < self._wake_at:
            self._wake_at = wake
            self._clock.after(max(0.0, wake - self._clock.now), self._wake)

    def _wake(self) -> None:
        self._wake_at = math.inf
        self._apply(self._queue.expire(self._clock.now))

"""Simulate clock, upstream instances, routers and load for benchmarks/dispatch.py."""

import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any, NamedTuple

from wasabivalve import routing

INTER_DATA_CENTRE_LATENCY_MS = 1.5
"""One-way latency."""

MAX_CONNECTIONS = 110
WARM_UP_MS = 1_000.0
SERVICE_TIME_SIGMA = 0.5
"""Shape of the log-normal service time, whose 99th percentile is 2.8 means."""


class SimulatedClock:
    """Run scheduled actions in the order of their time."""

    def __init__(self) -> None:
        self.now = 0.0
        self._event_numbers = itertools.count()
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []

    def after(
        self, delay_ms: float, action: Callable[..., None], *arguments: Any
    ) -> None:
        """Schedule an action after a delay in ms."""
        event = (self.now + delay_ms, next(self._event_numbers), action, arguments)
        heapq.heappush(self._events, event)

    def run(self, end_ms: float) -> None:
        """Run all actions that are due up to a time in ms."""
        while self._events and self._events[0][0] <= end_ms:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)


class RankLoad(NamedTuple):
    """Set the load of one rank as a share of capacity and its target in ms."""

    name: str
    load: float
    target_ms: float


class SimulatedRequest:
    """Hold the state of one request."""

    __slots__ = (
        "arrived_at",
        "attempts",
        "deadline_at",
        "excluded",
        "finished",
        "name",
        "rank",
        "router",
        "service_time_ms",
    )

    def __init__(
        self, name: str, rank: RankLoad, router: str, service_time_ms: float, now: float
    ) -> None:
        self.name = name
        self.rank = rank
        self.router = router
        self.service_time_ms = service_time_ms
        self.arrived_at = now
        self.deadline_at = now + rank.target_ms
        self.attempts = 0
        self.excluded: tuple[str, ...] = ()
        self.finished = False


class SimulatedUpstream:
    """Run requests in a fixed number of slots behind a FIFO queue."""

    def __init__(
        self, clock: SimulatedClock, slots: int, *, checks_deadline: bool
    ) -> None:
        self._clock = clock
        self._slots = slots
        self._checks_deadline = checks_deadline
        self._queue: list[tuple[SimulatedRequest, Callable[[bool], None]]] = []
        self.running_count = 0
        self.shed_count = 0

    @property
    def load(self) -> int:
        """Return the number of queued and running requests, as a load report does."""
        return self.running_count + len(self._queue)

    def send(
        self, request: SimulatedRequest, on_result: Callable[[bool], None]
    ) -> None:
        """Queue a request; ``on_result`` receives whether the request ran."""
        if self.load >= MAX_CONNECTIONS:
            self.shed_count += 1
            on_result(False)
            return
        self._queue.append((request, on_result))
        self._start()

    def _start(self) -> None:
        while self._queue and self.running_count < self._slots:
            request, on_result = self._queue.pop(0)
            if self._checks_deadline and self._clock.now >= request.deadline_at:
                self.shed_count += 1
                on_result(False)
                continue
            self.running_count += 1
            self._clock.after(request.service_time_ms, self._finish_request, on_result)

    def _finish_request(self, on_result: Callable[[bool], None]) -> None:
        self.running_count -= 1
        on_result(True)
        self._start()


class SimulatedFleet:
    """Hold the routers, instances and results of one run."""

    def __init__(
        self,
        seed: int,
        slots: int,
        intra_data_centre_latency_ms: float,
        *,
        checks_deadline: bool,
    ) -> None:
        self.clock = SimulatedClock()
        self._intra_data_centre_latency_ms = intra_data_centre_latency_ms
        self.generator = random.Random(seed)
        localities = [routing.Locality(f"khomas-{name}", "khomas") for name in "ab"]
        self.locality_by_router = {
            f"entry-{index}": localities[index % 2] for index in range(9)
        }
        self.locality_by_instance = {
            f"vanlog-{index}": localities[index % 2] for index in range(8)
        }
        self.upstream_by_instance = {
            name: SimulatedUpstream(self.clock, slots, checks_deadline=checks_deadline)
            for name in self.locality_by_instance
        }
        self.slots = slots
        self.offered_by_rank: dict[str, int] = {}
        self.on_time_by_rank: dict[str, int] = {}
        self.on_time_service_ms_by_rank: dict[str, float] = {}

    def latency_ms(self, router: str, instance: str) -> float:
        """Return the one-way latency between a router and an instance."""
        return self._locality_latency_ms(
            self.locality_by_router[router], self.locality_by_instance[instance]
        )

    def peer_latency_ms(self, router: str, other: str) -> float:
        """Return the one-way latency between two routers."""
        if router == other:
            return 0.0
        return self._locality_latency_ms(
            self.locality_by_router[router], self.locality_by_router[other]
        )

    def _locality_latency_ms(
        self, locality: routing.Locality, other: routing.Locality
    ) -> float:
        if locality.data_centre == other.data_centre:
            return self._intra_data_centre_latency_ms
        return INTER_DATA_CENTRE_LATENCY_MS

    def finish(self, request: SimulatedRequest) -> None:
        """Count a response that reached its router, once per request."""
        now = self.clock.now
        if request.finished:
            return
        request.finished = True
        if now > request.deadline_at:
            return
        name = request.rank.name
        if request.arrived_at >= WARM_UP_MS:
            self.on_time_by_rank[name] = self.on_time_by_rank.get(name, 0) + 1
        if now >= WARM_UP_MS:
            self.on_time_service_ms_by_rank[name] = (
                self.on_time_service_ms_by_rank.get(name, 0.0) + request.service_time_ms
            )

    def offer_load(
        self,
        ranks: tuple[RankLoad, ...],
        service_time_ms: float,
        end_ms: float,
        route: Callable[[SimulatedRequest], None],
    ) -> None:
        """Simulate Poisson arrivals of all ranks until ``end_ms``."""
        capacity_per_ms = len(self.locality_by_instance) * self.slots / service_time_ms
        # Each rank has its own generator, so that a flood of one rank does not change
        # the arrivals of the others.
        for rank in ranks:
            generator = random.Random(f"{rank.name} {self.generator.random()}")
            arrivals_per_ms = rank.load * capacity_per_ms
            self._arrive(
                rank, arrivals_per_ms, service_time_ms, end_ms, generator, route, 0
            )
        self.clock.run(end_ms)

    def _arrive(
        self,
        rank: RankLoad,
        arrivals_per_ms: float,
        service_time_ms: float,
        end_ms: float,
        generator: random.Random,
        route: Callable[[SimulatedRequest], None],
        arrival_number: int,
    ) -> None:
        now = self.clock.now
        if arrival_number:
            router = generator.choice(list(self.locality_by_router))
            service_time_factor = generator.lognormvariate(
                -(SERVICE_TIME_SIGMA**2) / 2, SERVICE_TIME_SIGMA
            )
            name = f"{rank.name}-{arrival_number}"
            request = SimulatedRequest(
                name, rank, router, service_time_ms * service_time_factor, now
            )
            # A request whose target ends after the run has no known result and is not
            # counted.
            if WARM_UP_MS <= now <= end_ms - rank.target_ms:
                self.offered_by_rank[rank.name] = (
                    self.offered_by_rank.get(rank.name, 0) + 1
                )
            elif now > end_ms - rank.target_ms:
                request.arrived_at = -1.0
            route(request)
        arguments = (
            rank,
            arrivals_per_ms,
            service_time_ms,
            end_ms,
            generator,
            route,
            arrival_number + 1,
        )
        self.clock.after(
            generator.expovariate(arrivals_per_ms), self._arrive, *arguments
        )

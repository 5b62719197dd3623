"""Provide fakes for the benchmarks: event queue, upstream instances and load."""

import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any, NamedTuple

from wasabivalve import routing

BETWEEN_DATA_CENTRES_MS = 1.5
"""One-way latency."""

CONNECTIONS = 110
WARM_UP_MS = 1_000.0
SERVICE_SIGMA = 0.5
"""Shape of the log-normal service time, whose 99th percentile is 2.8 means."""


class Clock:
    """Run events in the order of their time."""

    def __init__(self) -> None:
        self.now = 0.0
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []

    def after(
        self, delay_ms: float, action: Callable[..., None], *arguments: Any
    ) -> None:
        """Run an action after a delay in ms."""
        entry = (self.now + delay_ms, next(self._order), action, arguments)
        heapq.heappush(self._events, entry)

    def run(self, end_ms: float) -> None:
        """Run all events up to a time."""
        while self._events and self._events[0][0] <= end_ms:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)


class Rank(NamedTuple):
    """Describe the load of one rank: share of capacity and target in ms."""

    name: str
    load: float
    target_ms: float


class Request:
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
        "service_ms",
    )

    def __init__(
        self, name: str, rank: Rank, router: str, service_ms: float, now: float
    ) -> None:
        self.name = name
        self.rank = rank
        self.router = router
        self.service_ms = service_ms
        self.arrived_at = now
        self.deadline_at = now + rank.target_ms
        self.attempts = 0
        self.excluded: tuple[str, ...] = ()
        self.finished = False


class Upstream:
    """Run requests in slots with a first-come, first-served queue before them."""

    def __init__(self, clock: Clock, slots: int, *, checks_deadline: bool) -> None:
        self._clock = clock
        self._slots = slots
        self._checks_deadline = checks_deadline
        self._queue: list[tuple[Request, Callable[[bool], None]]] = []
        self.running = 0
        self.shed = 0

    @property
    def load(self) -> int:
        """Return the number of requests here, as the load endpoint reports it."""
        return self.running + len(self._queue)

    def send(self, request: Request, on_result: Callable[[bool], None]) -> None:
        """Queue a request; the result is whether it ran."""
        if self.load >= CONNECTIONS:
            self.shed += 1
            on_result(False)
            return
        self._queue.append((request, on_result))
        self._start()

    def _start(self) -> None:
        while self._queue and self.running < self._slots:
            request, on_result = self._queue.pop(0)
            if self._checks_deadline and self._clock.now >= request.deadline_at:
                self.shed += 1
                on_result(False)
                continue
            self.running += 1
            self._clock.after(request.service_ms, self._end, on_result)

    def _end(self, on_result: Callable[[bool], None]) -> None:
        self.running -= 1
        on_result(True)
        self._start()


class Fleet:
    """Hold the routers, instances and measurements of one run."""

    def __init__(
        self, seed: int, slots: int, within_ms: float, *, checks_deadline: bool
    ) -> None:
        self.clock = Clock()
        self._within_ms = within_ms
        self.generator = random.Random(seed)
        places = [routing.Locality(f"khomas-{name}", "khomas") for name in "ab"]
        self.place_by_router = {f"entry-{n}": places[n % 2] for n in range(9)}
        self.place_by_instance = {f"vanlog-{n}": places[n % 2] for n in range(8)}
        self.upstream_by_instance = {
            name: Upstream(self.clock, slots, checks_deadline=checks_deadline)
            for name in self.place_by_instance
        }
        self.slots = slots
        self.offered: dict[str, int] = {}
        self.on_time: dict[str, int] = {}
        self.good_ms: dict[str, float] = {}

    def latency_ms(self, router: str, instance: str) -> float:
        """Return the one-way latency between a router and an instance."""
        return self._latency(
            self.place_by_router[router], self.place_by_instance[instance]
        )

    def peer_latency_ms(self, one: str, other: str) -> float:
        """Return the one-way latency between two routers."""
        if one == other:
            return 0.0
        return self._latency(self.place_by_router[one], self.place_by_router[other])

    def _latency(self, one: routing.Locality, other: routing.Locality) -> float:
        if one.data_centre == other.data_centre:
            return self._within_ms
        return BETWEEN_DATA_CENTRES_MS

    def finish(self, request: Request) -> None:
        """Count a response that reached its router, once per request."""
        now = self.clock.now
        if request.finished:
            return
        request.finished = True
        if now > request.deadline_at:
            return
        name = request.rank.name
        if request.arrived_at >= WARM_UP_MS:
            self.on_time[name] = self.on_time.get(name, 0) + 1
        if now >= WARM_UP_MS:
            self.good_ms[name] = self.good_ms.get(name, 0.0) + request.service_ms

    def offer_load(
        self,
        ranks: tuple[Rank, ...],
        service_ms: float,
        end_ms: float,
        route: Callable[[Request], None],
    ) -> None:
        """Run Poisson arrivals of all ranks until the end."""
        capacity_per_ms = len(self.place_by_instance) * self.slots / service_ms
        # Each rank has its own random numbers, so a flood of one rank leaves the
        # arrivals of the others as they are without it.
        for rank in ranks:
            generator = random.Random(f"{rank.name} {self.generator.random()}")
            rate = rank.load * capacity_per_ms
            self._arrive(rank, rate, service_ms, end_ms, generator, route, 0)
        self.clock.run(end_ms)

    def _arrive(
        self,
        rank: Rank,
        rate: float,
        service_ms: float,
        end_ms: float,
        generator: random.Random,
        route: Callable[[Request], None],
        number: int,
    ) -> None:
        now = self.clock.now
        if number:
            router = generator.choice(list(self.place_by_router))
            factor = generator.lognormvariate(-(SERVICE_SIGMA**2) / 2, SERVICE_SIGMA)
            name = f"{rank.name}-{number}"
            request = Request(name, rank, router, service_ms * factor, now)
            # A request whose target ends after the run has no known result.
            if WARM_UP_MS <= now <= end_ms - rank.target_ms:
                self.offered[rank.name] = self.offered.get(rank.name, 0) + 1
            elif now > end_ms - rank.target_ms:
                request.arrived_at = -1.0
            route(request)
        arguments = (rank, rate, service_ms, end_ms, generator, route, number + 1)
        self.clock.after(generator.expovariate(rate), self._arrive, *arguments)

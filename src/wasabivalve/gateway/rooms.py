"""Find room for requests at instances, and remember what their answers showed."""

import asyncio
import random
from collections.abc import Callable
from typing import NamedTuple

from wasabivalve.desired_state import core as desired_state
from wasabivalve.key_leases import view as key_view
from wasabivalve.placement import core as placement
from wasabivalve.placement import peer_loads, service_times

from . import messages, pool, waiting
from . import work as works

HOPELESS_SHARE = 0.6
"""A request is given up when it has less than this share of a service time left."""

LONGEST_MOVE_S = 0.5
"""Part of the announced time of a move that is usually not needed."""

LONGEST_SLEEP_S = 0.05
"""A waiting request looks for room at least this often, as estimates age by time."""

OVER_SHARE_RETRY_S = 1.0
"""A key stays in demand for seconds; callers that return at once are refused again."""

WAIT_SHARE = 0.6
"""Share of the time of a request that it may wait for room."""

AVERAGE_WEIGHT = 0.1
"""Weight of the newest sample in the averages of a route or service."""

INITIAL_KILOBYTES = 2.0
"""Size of an exchange assumed until one was observed for the route."""

LARGEST_RATIO = 3.0
"""One request in a hundred takes several times as long; it must not count for more."""


class Surroundings(NamedTuple):
    """Give the gateway what other parts know.

    ``owner`` names the instance that holds a key of a divided service; ``admits``
    takes one request from the share that an overloaded holder can serve;
    ``live_vms`` is the number of entry VMs; ``on_key`` counts requests by key.
    """

    instances: Callable[[str], list[placement.RegisteredInstance]]
    owner: Callable[[str, int], key_view.KeyHolder]
    admits: Callable[[str | None], bool]
    live_vms: Callable[[], int]
    on_key: Callable[[str, int], None]


class Rooms:
    """Hold what is known of instances and the requests that wait for them."""

    def __init__(
        self,
        dialect: messages.Dialect,
        places: placement.Topology,
        surroundings: Surroundings,
        instance_speeds: service_times.ServiceTimeRatios,
    ) -> None:
        self._dialect = dialect
        self._places = places
        self._surroundings = surroundings
        self._speeds = instance_speeds
        self.peers = peer_loads.PeerLoads()
        self._loop = asyncio.get_running_loop()
        self._load_by_life: dict[pool.Life, placement.InstanceLoad] = {}
        self._line_by_name: dict[str, waiting.WaitingLine] = {}
        self._service_time_by_route: dict[str, float] = {}
        self._service_time_by_service: dict[str, float] = {}
        self._kilobytes_by_route: dict[str, float] = {}
        self._generator = random.Random()
        self._owners_changed = asyncio.Event()

    def forget(self, instance: placement.RegisteredInstance) -> None:
        """Forget a life of an instance that has ended."""
        self._load_by_life.pop(pool.Life(instance.id, instance.born), None)
        self._speeds.remove(instance.id)

    def in_flight(self) -> dict[str, int]:
        """Return the number of requests at each instance that has any."""
        return {
            life.id: load.in_flight
            for life, load in self._load_by_life.items()
            if load.in_flight
        }

    def wake(self) -> None:
        """Let waiting requests look again, as instances or holders have changed."""
        self._owners_changed.set()
        for line in self._line_by_name.values():
            line.wake_first(self._loop.time())

    def on_attempt_end(self, work: works.Work) -> None:
        """Let the next request go where this one had its place."""
        line = self._line(self._line_name(work))
        line.on_answer(self._loop.time())
        line.wake_first(self._loop.time())

    def expected_wait_s(self, work: works.Work) -> float:
        """Return how long a request like this one would wait now."""
        line = self._line(self._line_name(work))
        return line.expected_wait_s(
            work.route.rank, self._start_by(work), self._loop.time()
        )

    async def find(self, work: works.Work) -> placement.Choice | None:
        """Wait for an instance with room; None when the request is hopeless."""
        give_up_at = self._give_up_at(work)
        while True:
            if work.end_at - self._loop.time() < works.LEAST_ATTEMPT_S:
                work.trail.append("no-time")
                return None
            if not await self._wait_for_owner(work, give_up_at):
                return None
            name = self._line_name(work)
            line = self._line(name)
            if not len(line):
                choice = self.choose(work)
                if choice is not None:
                    return choice
            now = self._loop.time()
            service_time_s = self._service_time_ms(work.route) / 1000.0
            start_by = self._start_by(work)
            expected = line.expected_wait_s(work.route.rank, start_by, now)
            if expected + HOPELESS_SHARE * service_time_s > work.end_at - now:
                work.trail.append(f"hopeless expected={expected:.2f}s")
                return None
            waiter = line.join(work.route.rank, start_by, now)
            try:
                while self._line_name(work) == name:
                    if line.is_first(waiter, self._loop.time()):
                        choice = self.choose(work)
                        if choice is not None:
                            return choice
                    if not await self._pause(waiter.wake, give_up_at):
                        work.trail.append("no-room")
                        return None
            finally:
                line.leave(waiter, self._loop.time())
                line.wake_first(self._loop.time())

    def _start_by(self, work: works.Work) -> float:
        """Return the time by which a request must start to meet its target."""
        spare = work.route.target_latency_ms - self._service_time_ms(work.route)
        return work.request.received_at + spare / 1000.0

    def _give_up_at(self, work: works.Work) -> float:
        service_time_s = self._service_time_ms(work.route) / 1000.0
        last_start = work.end_at - max(
            works.LEAST_ATTEMPT_S, HOPELESS_SHARE * service_time_s
        )
        total = work.end_at - work.request.received_at
        return min(last_start, work.request.received_at + WAIT_SHARE * total)

    async def _wait_for_owner(self, work: works.Work, give_up_at: float) -> bool:
        """Wait while the key of a request moves; return False when it is hopeless."""
        if work.key is None:
            return True
        while True:
            holder = self._surroundings.owner(work.service.name, work.key)
            now = self._loop.time()
            moved = holder.instance == work.moved_from and now < work.not_before
            if holder.instance is not None and not moved:
                if work.admitted or self._surroundings.admits(holder.instance):
                    work.admitted = True
                    return True
                work.trail.append("over-share")
                work.retry_after_s = OVER_SHARE_RETRY_S
                return False
            until = holder.moving_until_ms
            if until is not None and until / 1000.0 - LONGEST_MOVE_S > give_up_at:
                work.trail.append("key-lost")
                work.retry_after_s = until / 1000.0 - now
                return False
            if not await self._pause(self._owners_changed, give_up_at):
                work.trail.append("key-moving")
                return False

    async def _pause(self, wake: asyncio.Event, give_up_at: float) -> bool:
        """Wait for a short time or until woken; return False once time is up."""
        left = give_up_at - self._loop.time()
        if left <= 0.0:
            return False
        wake.clear()
        try:
            await asyncio.wait_for(wake.wait(), min(LONGEST_SLEEP_S, left))
        except TimeoutError:
            # The pause is over; estimates age with time and may have room now.
            pass
        return True

    def choose(self, work: works.Work) -> placement.Choice | None:
        """Return an instance that has room now, or None."""
        now = 1000.0 * self._loop.time()
        instances = self._surroundings.instances(work.service.name)
        if work.key is not None:
            holder = self._surroundings.owner(work.service.name, work.key)
            instances = [one for one in instances if one.id == holder.instance]
        loads = [self._load(instance, now) for instance in instances]
        return placement.choose(
            loads,
            self._places,
            self._service_time_ms(work.route),
            work.route.target_latency_ms,
            self._kilobytes_by_route.get(work.route.name, INITIAL_KILOBYTES),
            work.excluded if work.key is None else (),
            work.urgent,
            self._generator,
            now,
        )

    def record_answer(
        self,
        work: works.Work,
        load: placement.InstanceLoad,
        outcome: messages.Answer,
        started: float,
        load_at_start: float,
    ) -> None:
        """Take in what an answer shows of its instance and its route."""
        now = self._loop.time()
        value = outcome.header(self._dialect.report)
        report = self._dialect.decode_report(value) if value else None
        if report is not None:
            load.on_report(report.running, report.waiting, 1000.0 * now)
        if outcome.status >= 500 or outcome.header(self._dialect.not_run):
            return
        typical = self._service_time_ms(work.route)
        sample = load.on_response(
            1000.0 * (now - started), load_at_start, typical, 1000.0 * now
        )
        route, service = work.route.name, work.service.name
        self._speeds.on_response(load.instance.id, min(LARGEST_RATIO, sample / typical))
        normal = sample / load.service_time_ratio
        _average(self._service_time_by_route, route, normal)
        _average(self._service_time_by_service, service, normal)
        size = (len(outcome.body) + len(work.request.body)) / 1000.0
        _average(self._kilobytes_by_route, route, size)

    def _load(
        self, instance: placement.RegisteredInstance, now: float
    ) -> placement.InstanceLoad:
        life = pool.Life(instance.id, instance.born)
        load = self._load_by_life.get(life)
        if load is None:
            load = self._load_by_life[life] = placement.InstanceLoad(instance, now)
        load.instance = instance
        load.peer_in_flight = self.peers.total_in_flight(instance.id)
        return load

    def _line_name(self, work: works.Work) -> str:
        if work.key is None:
            return work.service.name
        holder = self._surroundings.owner(work.service.name, work.key)
        return f"{work.service.name}/{holder.instance}"

    def _line(self, name: str) -> waiting.WaitingLine:
        line = self._line_by_name.get(name)
        if line is None:
            line = self._line_by_name[name] = waiting.WaitingLine()
        return line

    def _service_time_ms(self, route: desired_state.RouteConfig) -> float:
        return self._service_time_by_route.get(
            route.name, placement.INITIAL_SERVICE_TIME_MS
        )

    def capacity(self, instance: placement.RegisteredInstance) -> float:
        """Return the requests per second that an instance can serve."""
        typical = self._service_time_by_service.get(
            instance.service, placement.INITIAL_SERVICE_TIME_MS
        )
        slowness = self._speeds.ratio(instance.id)
        return max(1, instance.slots) * 1000.0 / (typical * slowness)


def _average(known_by_name: dict[str, float], name: str, sample: float) -> None:
    known = known_by_name.get(name, sample)
    known_by_name[name] = known + AVERAGE_WEIGHT * (sample - known)

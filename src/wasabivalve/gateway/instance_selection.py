"""Select an instance with free capacity for each request, and record responses."""

import asyncio
import random
from collections.abc import Callable
from typing import NamedTuple

from wasabivalve import ramp_up, shared_facts
from wasabivalve.desired_state import core as desired_state
from wasabivalve.key_leases import view as key_view
from wasabivalve.metrics import metrics_registry
from wasabivalve.placement import core as placement
from wasabivalve.placement import peer_loads, service_times, wait_queue
from wasabivalve.slot_dispatch import client as slot_client
from wasabivalve.slot_dispatch import messages as slot_messages

from . import (
    eligible_instances,
    instance_notices,
    messages,
    pending_request,
    pool,
    waiting,
)

MIN_SERVICE_TIME_SHARE = 0.6
"""A request is abandoned when less than this share of a service time is left."""

MOVE_TIME_MARGIN_S = 0.5
"""Part of the announced time of a key's move that is usually not needed."""

OVER_SHARE_RETRY_AFTER_S = 1.0
"""Retry-After of requests beyond the share that an overloaded holder can serve.

Demand for a key lasts for seconds, so a caller that retries at once is refused again.
"""

MAX_WAIT_SHARE = 0.6
"""Share of a request's time limit that it may wait for capacity."""

AVERAGE_WEIGHT = 0.1
"""Weight of the newest sample in the moving averages of a route or service."""

INITIAL_EXCHANGE_KB = 2.0
"""Size of a request and its response until one was observed for the route."""

RETRY_WAIT_SHARE = 0.5
"""Share of the expected wait after which a refused caller is asked to return."""


class GatewayCallbacks(NamedTuple):
    """Connect the gateway to the registry, the key leases and the membership.

    ``list_instances`` returns the instances of a service; ``find_holder`` returns the
    holder of a key of a partitioned service; ``try_admit`` takes one request from the
    share that an overloaded holder can serve, and returns whether one was left;
    ``try_admit_key`` does so for a hot key, and returns None for other keys;
    ``count_live_vms`` returns the number of entry VMs, 0 if it is not known yet;
    ``record_key_request`` counts requests by key; ``is_evacuated`` returns whether a
    data centre is evacuated, so that its instances count as draining.
    """

    list_instances: Callable[[str], list[placement.RegisteredInstance]]
    find_holder: Callable[[str, int], key_view.KeyHolder]
    try_admit: Callable[[str | None], bool]
    try_admit_key: Callable[[str, int], bool | None]
    count_live_vms: Callable[[], int]
    record_key_request: Callable[[str, int], None]
    is_evacuated: Callable[[str], bool] = lambda data_centre: False


MAX_UNUSABLE_SLOTS = 3
"""Slots at instances unknown here after which this VM chooses by itself."""


class Selection(NamedTuple):
    """Hold the chosen instance and the estimated time until its response in ms.

    ``permit`` identifies the slot that a dispatcher granted.
    """

    load: placement.InstanceLoad
    estimate_ms: float
    permit: slot_client.SlotPermit | None = None


class SlotUse(NamedTuple):
    """Say how the use of a slot ended; ``reported_requests`` is -1 without a report."""

    result: slot_messages.SlotResult
    service_time_ms: float = 0.0
    reported_requests: int = -1
    kilobytes: float = 0.0
    slowness: float = 0.0


UNUSED_SLOT = SlotUse(slot_messages.SlotResult.UNUSED)


class InstanceSelector:
    """Hold the observed load of instances and the requests that wait for them."""

    def __init__(
        self,
        header_format: messages.HeaderFormat,
        topology: placement.Topology,
        callbacks: GatewayCallbacks,
        shared_service_times: service_times.ServiceTimes,
        metrics: metrics_registry.MetricsRegistry,
        slots: slot_client.SlotClient | None = None,
        limits: ramp_up.PacedLimits | None = None,
    ) -> None:
        self._notices = instance_notices.InstanceNotices(
            header_format, limits or ramp_up.PacedLimits(shared_facts.FactBoard())
        )
        self._header_format = header_format
        self._topology = topology
        self.eligible = eligible_instances.EligibleInstances(
            topology,
            callbacks.list_instances,
            callbacks.find_holder,
            callbacks.is_evacuated,
            metrics,
        )
        self._slots = slots
        self._callbacks = callbacks
        self._shared_service_times = shared_service_times
        self.peer_loads = peer_loads.PeerLoads()
        self._loop = asyncio.get_running_loop()
        self._load_by_incarnation: dict[
            pool.InstanceIncarnation, placement.InstanceLoad
        ] = {}
        self._queue_by_name: dict[str, wait_queue.WaitQueue] = {}
        self._service_time_ms_by_route: dict[str, float] = {}
        self._exchange_kb_by_route: dict[str, float] = {}
        self._generator = random.Random()
        self._holders_changed = asyncio.Event()

    def remove_instance(self, instance: placement.RegisteredInstance) -> None:
        """Discard what was observed of an ended incarnation."""
        self._load_by_incarnation.pop(
            pool.InstanceIncarnation(instance.id, instance.born), None
        )
        self._shared_service_times.remove(instance.id)

    def in_flight_by_instance(self) -> dict[str, int]:
        """Return the number of requests in flight at each instance that has any."""
        return {
            incarnation.id: load.in_flight
            for incarnation, load in self._load_by_incarnation.items()
            if load.in_flight
        }

    def wake_waiting_requests(self) -> None:
        """Wake waiting requests, as instances or holders of keys have changed."""
        self._holders_changed.set()
        for queue in self._queue_by_name.values():
            queue.wake_first(self._loop.time())

    def on_attempt_end(self, pending: pending_request.PendingRequest) -> None:
        """Wake the next request that waits for the capacity that an attempt used."""
        queue = self._queue(self._queue_name(pending))
        queue.on_attempt_end(self._loop.time())
        queue.wake_first(self._loop.time())

    def expected_wait_s(self, pending: pending_request.PendingRequest) -> float:
        """Return the time in s that a request like this one would wait now."""
        queue = self._queue(self._queue_name(pending))
        return queue.expected_wait_s(
            pending.route.rank, self._start_by(pending), self._loop.time()
        )

    async def wait_for_instance(
        self, pending: pending_request.PendingRequest
    ) -> Selection | None:
        """Wait for an instance with free capacity; return None to refuse a request."""
        wait_deadline_at = self.wait_deadline_at(pending)
        if self.eligible.refuses(pending):
            return None
        if pending.key is None and self._slots is not None:
            answer = await self._acquire_slot(self._slots, pending, wait_deadline_at)
            if isinstance(answer, Selection):
                return answer
            if isinstance(answer, slot_client.SlotRefused):
                pending.steps.append(f"no-slot expected={answer.wait_ms:.0f}ms")
                pending.retry_after_s = RETRY_WAIT_SHARE * answer.wait_ms / 1000.0
                return None
            pending.steps.append(answer.reason)
        while True:
            if pending.deadline_at - self._loop.time() < pending_request.MIN_ATTEMPT_S:
                pending.steps.append("no-time")
                return None
            if not await self._wait_for_holder(pending, wait_deadline_at):
                return None
            if self._refuse_at_silent_holder(pending, wait_deadline_at):
                return None
            may_be_limited = pending.key is not None and self._notices.has_limits
            if may_be_limited and self._slots is not None:
                at_holder = await self._acquire_at_holder(
                    self._slots, pending, wait_deadline_at
                )
                if isinstance(at_holder, Selection):
                    return at_holder
                if isinstance(at_holder, slot_client.SlotRefused):
                    wait_ms = at_holder.wait_ms
                    pending.steps.append(f"over-limit expected={wait_ms:.0f}ms")
                    pending.retry_after_s = wait_ms / 1000.0
                    return None
            queue_name = self._queue_name(pending)
            queue = self._queue(queue_name)
            if not len(queue):
                choice = self.choose_instance(pending)
                if choice is not None:
                    return choice
            if self._refuse_over_limit(pending, len(queue), wait_deadline_at):
                return None
            now = self._loop.time()
            service_time_s = self._service_time_ms(pending.route) / 1000.0
            start_by = self._start_by(pending)
            expected_s = queue.expected_wait_s(pending.route.rank, start_by, now)
            if (
                expected_s + MIN_SERVICE_TIME_SHARE * service_time_s
                > pending.deadline_at - now
            ):
                pending.steps.append(f"hopeless expected={expected_s:.2f}s")
                return None
            waiter = queue.add(pending.route.rank, start_by, now)
            try:
                while self._queue_name(pending) == queue_name:
                    if self._refuse_at_silent_holder(pending, wait_deadline_at):
                        return None
                    if queue.is_first(waiter, self._loop.time()):
                        choice = self.choose_instance(pending)
                        if choice is not None:
                            return choice
                    if not await waiting.wait_for_event(waiter.wake, wait_deadline_at):
                        pending.steps.append("no-room")
                        return None
            finally:
                queue.remove(waiter, self._loop.time())
                queue.wake_first(self._loop.time())

    async def _acquire_at_holder(
        self,
        slots: slot_client.SlotClient,
        pending: pending_request.PendingRequest,
        wait_deadline_at: float,
    ) -> Selection | slot_client.SlotRefused | None:
        """Ask for a slot at the holder of a key if it names a limit of requests.

        Only one VM can keep the requests of all to a limit of a few per second. None
        leaves the request to the share of the limit of this VM.
        """
        assert pending.key is not None
        holder = self._callbacks.find_holder(pending.service.name, pending.key)
        for instance in self._callbacks.list_instances(pending.service.name):
            if instance.id != holder.instance:
                continue
            if not self._is_limited(pending.service.name, instance.id):
                return None
            now_ms = 1000.0 * self._loop.time()
            if now_ms < self._instance_load(instance, now_ms).unavailable_until:
                return None
            answer = await self._acquire_slot(
                slots, pending, wait_deadline_at, instance
            )
            if isinstance(answer, slot_client.NoDispatcher):
                pending.steps.append(answer.reason)
                return None
            now_holder = self._callbacks.find_holder(pending.service.name, pending.key)
            if isinstance(answer, Selection) and now_holder != holder:
                self.release_slot(answer, UNUSED_SLOT)
                return None
            return answer
        return None

    async def _acquire_slot(
        self,
        slots: slot_client.SlotClient,
        pending: pending_request.PendingRequest,
        wait_deadline_at: float,
        holder: placement.RegisteredInstance | None = None,
    ) -> Selection | slot_client.SlotRefused | slot_client.NoDispatcher:
        """Ask the dispatcher of the service for a slot at an instance known here.

        ``holder`` is the one instance that can serve a request for a key.
        """
        route, received_at = pending.route, pending.request.received_at
        unusable: set[str] = set()
        for _ in range(MAX_UNUSABLE_SLOTS):
            now = self._loop.time()
            instances = self._callbacks.list_instances(pending.service.name)
            ejected = {
                instance.id
                for instance in instances
                if self._instance_load(instance, 1000.0 * now).unavailable_until
                > 1000.0 * now
            }
            answer = await slots.acquire(
                slot_client.SlotDemand(
                    pending.service.name,
                    route.name,
                    route.rank,
                    route.target_latency_ms,
                    1000.0 * (received_at - now) + route.target_latency_ms,
                    1000.0 * (wait_deadline_at - now),
                    1000.0 * (pending.deadline_at - now),
                    []
                    if holder is not None
                    else sorted(pending.excluded_instances | ejected | unusable),
                    "" if holder is None else holder.id,
                    ""
                    if holder is None
                    else placement.region_of(
                        holder.data_centre, self._topology.region_by_data_centre
                    ),
                    self.eligible.allowed_regions(pending),
                    route.has_large_responses,
                )
            )
            if not isinstance(answer, slot_client.SlotGranted):
                return answer
            for instance in self.eligible.candidates(pending):
                if (instance.id, instance.born) == (answer.instance, answer.born):
                    now_ms = 1000.0 * self._loop.time()
                    load = self._instance_load(instance, now_ms)
                    if now_ms < load.refuses_until:
                        break
                    return Selection(load, answer.estimate_ms, answer.permit)
            unusable.add(answer.instance)
            slots.release(answer.permit, UNUSED_SLOT.result)
        return slot_client.NoDispatcher("granted slots are unusable")

    def release_slot(self, selection: Selection, use: SlotUse) -> None:
        """Give back the slot of an attempt, if a dispatcher granted it."""
        if selection.permit is not None and self._slots is not None:
            self._slots.release(selection.permit, *use)

    def _start_by(self, pending: pending_request.PendingRequest) -> float:
        """Return the latest start of a request that meets its target latency."""
        spare_ms = pending.route.target_latency_ms - self._service_time_ms(
            pending.route
        )
        return pending.request.received_at + spare_ms / 1000.0

    def wait_deadline_at(self, pending: pending_request.PendingRequest) -> float:
        """Return the time in s until which a request may wait for an attempt."""
        service_time_s = self._service_time_ms(pending.route) / 1000.0
        last_start_at = pending.deadline_at - max(
            pending_request.MIN_ATTEMPT_S, MIN_SERVICE_TIME_SHARE * service_time_s
        )
        total_s = pending.deadline_at - pending.request.received_at
        return min(
            last_start_at, pending.request.received_at + MAX_WAIT_SHARE * total_s
        )

    async def _wait_for_holder(
        self, pending: pending_request.PendingRequest, wait_deadline_at: float
    ) -> bool:
        """Wait while the key of a request moves; return False to refuse it."""
        if pending.key is None:
            return True
        if not pending.admitted:
            admitted = self._callbacks.try_admit_key(pending.service.name, pending.key)
            if admitted is False:
                return self._refuse_over_share(pending)
            # The share of a hot key leaves capacity for the other keys of its holder.
            pending.admitted = bool(admitted)
        while True:
            if self.eligible.refuses(pending):
                return False
            holder = self._callbacks.find_holder(pending.service.name, pending.key)
            now = self._loop.time()
            is_refusing = (
                holder.instance == pending.refusing_instance
                and now < pending.refusing_until
            )
            if holder.instance is not None and not is_refusing:
                if self._is_admitted(pending, holder.instance):
                    pending.admitted = True
                    return True
                return self._refuse_over_share(pending)
            moving_until_ms = holder.moving_until_ms
            if (
                moving_until_ms is not None
                and moving_until_ms / 1000.0 - MOVE_TIME_MARGIN_S > wait_deadline_at
            ):
                pending.steps.append("key-lost")
                pending.retry_after_s = moving_until_ms / 1000.0 - now
                return False
            if not await waiting.wait_for_event(
                self._holders_changed, wait_deadline_at
            ):
                pending.steps.append("key-moving")
                return False

    def _is_admitted(
        self, pending: pending_request.PendingRequest, holder: str
    ) -> bool:
        """Return whether a request is within the share of its holder.

        A limit that an instance names also binds the most urgent requests.
        """
        if pending.admitted and pending.admitting_holder == holder:
            return True
        if pending.admitted and not self._is_limited(pending.service.name, holder):
            return True
        if not self._callbacks.try_admit(holder):
            return False
        pending.admitting_holder = holder
        return True

    def _is_limited(self, service: str, instance_id: str) -> bool:
        """Return whether an instance names a limit of requests."""
        now_ms = 1000.0 * self._loop.time()
        return self._notices.has_limits and any(
            self._notices.limit_per_s(instance, now_ms) is not None
            for instance in self._callbacks.list_instances(service)
            if instance.id == instance_id
        )

    def _refuse_at_silent_holder(
        self, pending: pending_request.PendingRequest, wait_deadline_at: float
    ) -> bool:
        """Return whether the holder of a key is ejected until it is too late."""
        if self.eligible.refuses(pending):
            return True
        if pending.key is None:
            return False
        holder = self._callbacks.find_holder(pending.service.name, pending.key)
        for incarnation, load in self._load_by_incarnation.items():
            if incarnation.id == holder.instance:
                silent_until = load.unavailable_until / 1000.0
                if silent_until > wait_deadline_at:
                    pending.steps.append("holder-silent")
                    pending.retry_after_s = silent_until - self._loop.time()
                    return True
        return False

    def _refuse_over_limit(
        self,
        pending: pending_request.PendingRequest,
        queue_length: int,
        wait_deadline_at: float,
    ) -> bool:
        """Return whether the limits of all instances keep a request for too long."""
        now_ms = 1000.0 * self._loop.time()
        waits_ms = [
            max(load.limit_wait_ms(queue_length, now_ms), load.refuses_until - now_ms)
            for load in self._candidate_loads(pending, now_ms)
            if now_ms >= load.ejected_until
        ]
        wait_ms = min(waits_ms, default=0.0)
        if now_ms + wait_ms <= 1000.0 * wait_deadline_at:
            return False
        pending.steps.append(f"over-limit expected={wait_ms:.0f}ms")
        pending.retry_after_s = wait_ms / 1000.0
        return True

    def _refuse_over_share(self, pending: pending_request.PendingRequest) -> bool:
        pending.steps.append("over-share")
        pending.retry_after_s = OVER_SHARE_RETRY_AFTER_S
        return False

    def choose_instance(
        self, pending: pending_request.PendingRequest
    ) -> Selection | None:
        """Return an instance with free capacity, or None."""
        now_ms = 1000.0 * self._loop.time()
        choice = placement.choose(
            self._candidate_loads(pending, now_ms),
            self._topology,
            self._service_time_ms(pending.route),
            pending.route.target_latency_ms,
            self.typical_exchange_kb(pending.route.name),
            pending.excluded_instances if pending.key is None else (),
            pending.urgent,
            self._generator,
            now_ms,
        )
        if choice is None:
            return None
        if choice.load.limiter is not None:
            choice.load.limiter.take(now_ms)
        return Selection(choice.load, choice.estimate_ms)

    def _candidate_loads(
        self, pending: pending_request.PendingRequest, now_ms: float
    ) -> list[placement.InstanceLoad]:
        """Return the loads of the instances that may serve a request."""
        return [
            self._instance_load(instance, now_ms)
            for instance in self.eligible.candidates(pending)
        ]

    def record_response(
        self,
        pending: pending_request.PendingRequest,
        load: placement.InstanceLoad,
        response: messages.HttpResponse,
        started_at: float,
        requests_at_start: float,
    ) -> SlotUse:
        """Update the load and averages of an instance and a route from a response."""
        now = self._loop.time()
        self._notices.record(load, response, 1000.0 * now)
        encoded_report = response.header(self._header_format.load_report)
        report = (
            self._header_format.decode_load_report(encoded_report)
            if encoded_report
            else None
        )
        if report is not None:
            load.on_report(
                report.running, report.waiting, 1000.0 * now, report.slowness
            )
        reported_requests = -1 if report is None else report.running + report.waiting
        if response.header(self._header_format.not_run):
            return SlotUse(
                slot_messages.SlotResult.REFUSED, reported_requests=reported_requests
            )
        if response.status >= 500:
            return SlotUse(
                slot_messages.SlotResult.ERROR, reported_requests=reported_requests
            )
        # The first response of a route is all that is known of its service time.
        typical_service_time_ms = self._service_time_ms_by_route.get(
            pending.route.name, 1000.0 * (now - started_at)
        )
        sample_ms = load.on_response(
            1000.0 * (now - started_at),
            requests_at_start,
            typical_service_time_ms,
            1000.0 * now,
            max(0.0, reported_requests),
        )
        route_name, service_name = pending.route.name, pending.service.name
        if pending.key is not None:
            self._notices.record_recovery(load, 1000.0 * now)
            # Only the shares of keys depend on it; dispatchers see all other responses.
            self._shared_service_times.on_response(
                service_name, route_name, load.instance.id, sample_ms
            )
        _update_average(
            self._service_time_ms_by_route,
            route_name,
            sample_ms / load.service_time_ratio,
        )
        exchange_kb = (response.body_bytes + len(pending.request.body)) / 1000.0
        _update_average(self._exchange_kb_by_route, route_name, exchange_kb)
        return SlotUse(
            slot_messages.SlotResult.DONE,
            max(1.0, 1000.0 * (now - started_at) - load.round_trip_ms),
            reported_requests,
            exchange_kb,
            0.0 if report is None else report.slowness or 0.0,
        )

    def _instance_load(
        self, instance: placement.RegisteredInstance, now_ms: float
    ) -> placement.InstanceLoad:
        incarnation = pool.InstanceIncarnation(instance.id, instance.born)
        load = self._load_by_incarnation.get(incarnation)
        if load is None:
            load = self._load_by_incarnation[incarnation] = placement.InstanceLoad(
                instance, now_ms
            )
        load.instance = instance
        load.peer_in_flight = self.peer_loads.total_in_flight(instance.id)
        vm_count = self._callbacks.count_live_vms()
        self._notices.limit_locally(load, vm_count, self._generator, now_ms)
        return load

    def _queue_name(self, pending: pending_request.PendingRequest) -> str:
        if pending.key is None:
            return pending.service.name
        holder = self._callbacks.find_holder(pending.service.name, pending.key)
        return f"{pending.service.name}/{holder.instance}"

    def _queue(self, queue_name: str) -> wait_queue.WaitQueue:
        queue = self._queue_by_name.get(queue_name)
        if queue is None:
            queue = self._queue_by_name[queue_name] = wait_queue.WaitQueue()
        return queue

    def _service_time_ms(self, route: desired_state.RouteConfig) -> float:
        return self._service_time_ms_by_route.get(
            route.name, placement.INITIAL_SERVICE_TIME_MS
        )

    def typical_exchange_kb(self, route: str) -> float:
        """Return the typical size of a request and its response in KB."""
        return self._exchange_kb_by_route.get(route, INITIAL_EXCHANGE_KB)

    def capacity_per_s(self, instance: placement.RegisteredInstance) -> float:
        """Return the number of requests per second that an instance can serve."""
        typical_ms = self._shared_service_times.typical_ms(instance.service)
        if typical_ms is None:
            typical_ms = placement.INITIAL_SERVICE_TIME_MS
        ratio = self._shared_service_times.ratio(instance.id)
        capacity_per_s = (
            max(1, instance.slots) * 1000.0 / (max(1.0, typical_ms) * ratio)
        )
        now_ms = 1000.0 * self._loop.time()
        return self._notices.limited_capacity_per_s(instance, capacity_per_s, now_ms)


def _update_average(
    average_by_name: dict[str, float], name: str, sample: float
) -> None:
    average = average_by_name.get(name, sample)
    average_by_name[name] = average + AVERAGE_WEIGHT * (sample - average)

"""Assign the slots of the instances of a region to the requests of its VMs.

Dozens of VMs that each choose an instance by what they know fill some instances while
others are idle, and a full instance may never answer. One VM of each region therefore
assigns the slots of a service: it knows all requests at its instances, and requests
beyond the slots wait here, in one order, until a slot is free.

Assignments are advice: a VM that reaches no dispatcher chooses by itself.
"""

import math
import random
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from wasabivalve import ramp_up, shared_facts
from wasabivalve.placement import bandwidth, eligibility
from wasabivalve.placement import core as placement

from . import messages, pacing, slot_queue

SECOND_MS = 1000.0

ON_TIME_FACTOR = 1.5
"""Multiple of the expected service time that a request needs to be on time.

Nine in ten requests take less.
"""

MAX_WAIT_HINT_MS = 2_000.0
"""Longest wait that a refusal reports."""

AVERAGE_WEIGHT = 0.1
"""Weight of the newest sample in the moving averages of a route."""

INITIAL_EXCHANGE_KB = 2.0
"""Size of a request and its response until one was observed for the route."""

MAX_SAMPLE_RATIO = 3.0
"""Bound of one sample, as a multiple of the route's average service time.

One request in a hundred takes several times as long and must not count for more.
"""

JITTER_SHARE = 0.02
"""Largest random share added to an estimate, to spread requests over equal ones."""

LOADS_TTL_MS = 20.0
"""Time for which the instances of a service, their limits and capacity are kept.

Reading them takes as long as several messages, of which hundreds come in a second.
"""

GRANT_TTL_MS = 1_500.0
"""Time after which a slot is free again if its VM no longer lists it."""

HELD_DELAY_MS = 150.0
"""Age below which a slot may be missing in the list of a VM that was just sent."""

FREE_SLOTS_TTL_MS = 400.0
"""Age of a report of free slots after which it says nothing."""

OTHER_REGION_DISTANCE = 2
"""Distance of a data centre in another region, see ``placement.Topology``."""

MIN_SPARE_SLOTS = 2
"""Free slots that another region keeps for requests of its own."""

GRANTED_LIMIT_SHARE = 0.9
"""Share of an instance's limit that is granted as slots.

While the dispatcher changes, the next one and VMs that reach none send as well.
"""

MAX_QUEUED_REQUESTS = 2_000
"""Requests that wait at one dispatcher; more are refused at once."""


class AddressedReply(NamedTuple):
    """Hold a reply and the VM that it is for."""

    vm: str
    reply: messages.SlotReply


class _FreeSlotsReport(NamedTuple):
    """Hold the free slots of another region, as reported at a time in ms."""

    region: str
    free_by_service: dict[str, int]
    reported_at: float


class _Grant:
    """Hold a granted slot; times are in ms."""

    def __init__(
        self,
        request: messages.SlotRequest,
        load: placement.InstanceLoad,
        reply: messages.SlotReply,
        requests_at_start: float,
        now: float,
    ) -> None:
        self.request = request
        self.load = load
        self.reply = reply
        self.requests_at_start = requests_at_start
        self.granted_at = now
        self.listed_at = now


class _ServiceLoads(NamedTuple):
    """Hold the loads of a service's instances and their capacity, read at a time."""

    loads: list[placement.InstanceLoad]
    capacity: float
    read_at: float


class SlotDispatcher:
    """Assign slots; all times are in ms of one steady clock.

    ``list_instances`` returns the registered instances of a service.
    """

    def __init__(
        self,
        vm: str,
        region: str,
        region_by_data_centre: Mapping[str, str],
        list_instances: Callable[[str], Iterable[placement.RegisteredInstance]],
        generator: random.Random,
        limits: ramp_up.PacedLimits | None = None,
    ) -> None:
        self._limits = limits or ramp_up.PacedLimits(shared_facts.FactBoard())
        self._vm = vm
        self._region = region
        self._region_by_data_centre = region_by_data_centre
        self._list_instances = list_instances
        self._generator = generator
        self._grant_by_permit: dict[slot_queue.Permit, _Grant] = {}
        self._queue_by_service: dict[str, slot_queue.SlotQueue] = {}
        self._load_by_instance: dict[str, placement.InstanceLoad] = {}
        self._service_time_ms_by_route: dict[str, float] = {}
        self._exchange_kb_by_route: dict[str, float] = {}
        self._report_by_vm: dict[str, _FreeSlotsReport] = {}
        self._used_at_by_service: dict[str, float] = {}
        self._failing_vms: set[str] = set()
        self._loads_by_service: dict[str, _ServiceLoads] = {}

    def on_request(
        self, request: messages.SlotRequest, now: float
    ) -> list[AddressedReply]:
        """Grant a slot, queue the request, or refuse it at once if it has no chance."""
        permit = request.vm, request.number
        grant = self._grant_by_permit.get(permit)
        if grant is not None:
            grant.listed_at = now
            return [AddressedReply(request.vm, grant.reply)]
        self._used_at_by_service[request.service] = now
        queue = self._queue(request.service)
        if permit in queue:
            return [self._reply(request, messages.ReplyState.QUEUED)]
        if not self._has_usable_instance(request, now):
            # Any region that works is better than none, even if it is busy.
            elsewhere = self._find_free_region(request, now, min_spare_slots=-1)
            return [elsewhere or self._reply(request, messages.ReplyState.NO_INSTANCE)]
        work_ms = self._service_time_ms(request.route)
        queue.on_arrival(request.rank, work_ms, now)
        target_at = now + request.target_left_ms
        queued = slot_queue.QueuedRequest(
            request,
            work_ms,
            target_at - ON_TIME_FACTOR * work_ms,
            target_at,
            now + min(request.max_wait_ms, request.time_left_ms),
        )
        queue.add(queued)
        replies = self._serve(request.service, now)
        if permit not in queue:
            return replies
        wait_ms = self._expected_wait_ms(queued, now)
        reply = None
        if not self._stays_in_region(queued, wait_ms, now):
            reply = self._find_free_region(request, now)
        if reply is None and (
            not self._has_chance(queued, wait_ms, now)
            or len(queue) > MAX_QUEUED_REQUESTS
        ):
            reply = self._refuse(request, wait_ms)
        if reply is None:
            reply = self._reply(request, messages.ReplyState.QUEUED)
        else:
            queue.remove(permit)
        return [*replies, reply]

    def on_release(
        self, release: messages.SlotRelease, now: float
    ) -> list[AddressedReply]:
        """Record how the use of a slot ended, and grant it to the next request."""
        permit = release.vm, release.number
        grant = self._grant_by_permit.pop(permit, None)
        if grant is None:
            for queue in self._queue_by_service.values():
                queue.remove(permit)
            return []
        if release.reported_requests >= 0:
            # The report counts the request that has just ended, as ``in_flight`` does.
            grant.load.on_report(
                release.reported_requests, 0, now, release.slowness or None
            )
        grant.load.in_flight -= 1
        self._record_result(grant, release, now)
        return self._serve(grant.request.service, now)

    def on_held(self, held: messages.SlotsHeld, now: float) -> list[AddressedReply]:
        """Free the slots that a VM does not list; their releases were lost."""
        numbers = set(held.numbers)
        ended = []
        for permit, grant in self._grant_by_permit.items():
            if permit[0] != held.vm:
                continue
            if permit[1] in numbers:
                grant.listed_at = now
            elif now >= grant.granted_at + HELD_DELAY_MS:
                ended.append(permit)
        return self._free(ended, now)

    def on_free_slots(self, report: messages.FreeSlots, now: float) -> None:
        """Record the free slots of another region."""
        if report.region != self._region:
            self._report_by_vm[report.vm] = _FreeSlotsReport(
                report.region, dict(report.free_by_service), now
            )

    def free_by_service(self, now: float) -> dict[str, int]:
        """Return the free slots of services that were asked for a short time ago."""
        free_by_service: dict[str, int] = {}
        for service, used_at in list(self._used_at_by_service.items()):
            if now > used_at + SECOND_MS:
                del self._used_at_by_service[service]
                continue
            free = 0.0
            if not len(self._queue(service)):
                for load in self._own_loads(service, now):
                    if now >= load.ejected_until and not load.limit_wait_ms(0, now):
                        slots = load.instance.slots
                        free += max(0.0, slots - load.estimated_requests(now))
            free_by_service[service] = int(free)
        return free_by_service

    def tick(self, now: float) -> list[AddressedReply]:
        """Refuse requests without a chance, and free the slots of silent VMs."""
        replies = []
        for service, queue in self._queue_by_service.items():
            if not self._is_any_usable(self._own_loads(service, now), now):
                state = messages.ReplyState.NO_INSTANCE
                replies.extend(self._send_away(queue, state))
            for queued in queue.requests():
                if now < queued.start_by:
                    continue
                wait_ms = self._expected_wait_ms(queued, now)
                if not self._has_chance(queued, wait_ms, now):
                    queue.remove(queued.permit)
                    replies.append(self._refuse(queued.request, wait_ms))
        silent = [
            permit
            for permit, grant in self._grant_by_permit.items()
            if now >= grant.listed_at + GRANT_TTL_MS
        ]
        replies.extend(self._free(silent, now))
        for service in self._queue_by_service:
            replies.extend(self._serve(service, now))
        return replies

    def leave(self) -> list[AddressedReply]:
        """Send all queued requests away, as this VM assigns no slots any more."""
        replies: list[AddressedReply] = []
        for queue in self._queue_by_service.values():
            state = messages.ReplyState.UNAVAILABLE
            replies.extend(self._send_away(queue, state))
        return replies

    def remove_instance(self, instance: str) -> None:
        """Discard what was observed of an ended incarnation."""
        self._limits.remove(instance)
        self._load_by_instance.pop(instance, None)
        self._loads_by_service.clear()

    def _serve(self, service: str, now: float) -> list[AddressedReply]:
        """Grant free slots to queued requests, in their order."""
        queue = self._queue(service)
        replies: list[AddressedReply] = []
        if not len(queue) or not self._has_free_slot(service, now):
            return replies
        for queued in queue.in_order(now):
            granted = self._try_grant(queued.request, now, queued.target_at)
            if granted is None:
                continue
            queue.remove(queued.permit)
            replies.append(granted)
            if not self._has_free_slot(service, now):
                break
        return replies

    def _try_grant(
        self, request: messages.SlotRequest, now: float, target_at: float
    ) -> AddressedReply | None:
        load = self._choose(request, now, target_at)
        if load is not None and not self._is_current(load.instance):
            self._loads_by_service.clear()
            load = self._choose(request, now, target_at)
        if load is None:
            return None
        instance = load.instance
        estimate_ms = placement.estimate_response_time_ms(
            load, self._service_time_ms(request.route), now
        )
        reply = messages.SlotReply(
            self._vm,
            request.number,
            messages.ReplyState.GRANTED,
            instance.id,
            instance.born,
            round(estimate_ms),
        )
        self._grant_by_permit[request.vm, request.number] = _Grant(
            request, load, reply, load.estimated_requests(now), now
        )
        load.in_flight += 1
        if load.limiter is not None:
            load.limiter.take(now)
            self._limits.named.on_grant(self._vm, instance.id, instance.born, now)
        self._limits.on_sent(instance, now)
        return AddressedReply(request.vm, reply)

    def _choose(
        self, request: messages.SlotRequest, now: float, target_at: float
    ) -> placement.InstanceLoad | None:
        """Return the free instance of the lowest cost, or None.

        A request that can still be on time does not go to an instance that would make
        it late: another one will be free before.
        """
        topology = placement.Topology(request.data_centre, self._region_by_data_centre)
        service_time_ms = self._service_time_ms(request.route)
        kilobytes = self._exchange_kb_by_route.get(request.route, INITIAL_EXCHANGE_KB)
        may_be_on_time = now + ON_TIME_FACTOR * service_time_ms <= target_at
        may_probe = self._limits.is_paced_service(request.service)
        best: placement.InstanceLoad | None = None
        best_cost = math.inf
        for load in self._free_loads(request.service, now):
            if load.instance.id in request.excluded:
                continue
            if request.only:
                if load.instance.id == request.only:
                    return load
                continue
            if may_probe and self._limits.is_probe_due(load.instance, now):
                return load
            estimate = placement.estimate_response_time_ms(load, service_time_ms, now)
            is_late = now + ON_TIME_FACTOR * estimate > target_at
            if may_be_on_time and is_late and load.sample_count:
                continue
            jittered = estimate * (1.0 + self._generator.uniform(0.0, JITTER_SHARE))
            cost = placement.placement_cost_ms(
                load, jittered, topology, request.target_latency_ms, kilobytes
            )
            if cost < best_cost:
                best, best_cost = load, cost
        return best

    def _send_away(
        self, queue: slot_queue.SlotQueue, state: messages.ReplyState
    ) -> list[AddressedReply]:
        replies = [self._reply(queued.request, state) for queued in queue.requests()]
        queue.clear()
        return replies

    def _has_usable_instance(self, request: messages.SlotRequest, now: float) -> bool:
        """Return whether an instance of this region may get a request, if not now."""
        if not eligibility.allows_region(request.allowed_regions, self._region):
            return False
        loads = (
            load
            for load in self._own_loads(request.service, now)
            if load.instance.id not in request.excluded
            and request.only in ("", load.instance.id)
        )
        return self._is_any_usable(loads, now)

    def _is_any_usable(
        self, loads: Iterable[placement.InstanceLoad], now: float
    ) -> bool:
        return any(now >= load.ejected_until for load in loads)

    def _has_free_slot(self, service: str, now: float) -> bool:
        return any(True for _ in self._free_loads(service, now))

    def _free_loads(self, service: str, now: float) -> Iterable[placement.InstanceLoad]:
        for load in self._own_loads(service, now):
            if now < load.ejected_until or load.limit_wait_ms(0, now) > 0.0:
                continue
            if load.estimated_requests(now) + 0.5 <= max(1, load.instance.slots):
                yield load

    def _is_current(self, instance: placement.RegisteredInstance) -> bool:
        """Return whether an instance may still get requests."""
        current = (instance.id, instance.born, False)
        return any(
            (known.id, known.born, known.draining) == current
            for known in self._list_instances(instance.service)
        )

    def _own_loads(self, service: str, now: float) -> list[placement.InstanceLoad]:
        """Return the loads of the instances of this region that may get requests."""
        return self._read_loads(service, now).loads

    def _capacity(self, service: str, now: float) -> float:
        """Return the slots of a service, each weighed by the speed of its instance."""
        return self._read_loads(service, now).capacity

    def _read_loads(self, service: str, now: float) -> _ServiceLoads:
        known = self._loads_by_service.get(service)
        if known is not None and known.read_at <= now < known.read_at + LOADS_TTL_MS:
            return known
        loads = [self._load(instance, now) for instance in self._own_instances(service)]
        capacity = sum(
            load.instance.slots / max(0.1, load.service_time_ratio)
            for load in loads
            if now >= load.ejected_until
        )
        known = self._loads_by_service[service] = _ServiceLoads(loads, capacity, now)
        return known

    def _own_instances(self, service: str) -> Iterable[placement.RegisteredInstance]:
        for instance in self._list_instances(service):
            if eligibility.may_serve(
                instance, (self._region,), self._region_by_data_centre
            ):
                yield instance

    def _stays_in_region(
        self, queued: slot_queue.QueuedRequest, wait_ms: float, now: float
    ) -> bool:
        """Return whether a large response is better late here than in another region.

        The link between regions is narrow, and all kinds of requests share it.
        """
        request = queued.request
        kilobytes = self._exchange_kb_by_route.get(request.route, INITIAL_EXCHANGE_KB)
        if not request.has_large_response or kilobytes < bandwidth.LARGE_TRANSFER_KB:
            return False
        transfer_ms = placement.transfer_cost_ms(
            OTHER_REGION_DISTANCE, request.target_latency_ms, kilobytes
        )
        return wait_ms <= transfer_ms and now + wait_ms <= queued.start_by

    def _find_free_region(
        self,
        request: messages.SlotRequest,
        now: float,
        min_spare_slots: int = MIN_SPARE_SLOTS,
    ) -> AddressedReply | None:
        """Return a reply that names a region with free slots, if there is one."""
        if not request.may_go_elsewhere:
            return None
        best_vm, best_free = "", min_spare_slots
        for vm, report in self._report_by_vm.items():
            if not eligibility.allows_region(request.allowed_regions, report.region):
                continue
            free = report.free_by_service.get(request.service, -1)
            if now < report.reported_at + FREE_SLOTS_TTL_MS and free > best_free:
                best_vm, best_free = vm, free
        if not best_vm:
            return None
        self._report_by_vm[best_vm].free_by_service[request.service] = best_free - 1
        reply = messages.SlotReply(
            self._vm, request.number, messages.ReplyState.ELSEWHERE, best_vm
        )
        return AddressedReply(request.vm, reply)

    def _record_result(
        self, grant: _Grant, release: messages.SlotRelease, now: float
    ) -> None:
        load, result = grant.load, release.result
        if result in (messages.SlotResult.FAILED, messages.SlotResult.NOT_CONNECTED):
            # A VM that fails everywhere is cut off itself and says nothing about
            # instances.
            if release.vm not in self._failing_vms:
                self._failing_vms.add(release.vm)
                load.on_failure(now, connected=True)
                pacing.record_failure(self._limits, load, now)
            return
        if result == messages.SlotResult.UNUSED:
            return
        if result == messages.SlotResult.FULL:
            load.on_full(now)
            return
        self._failing_vms.discard(release.vm)
        route = grant.request.route
        typical_ms = self._service_time_ms_by_route.get(route, release.service_time_ms)
        pacing.record_result(self._limits, load, release, typical_ms, now)
        if result != messages.SlotResult.DONE:
            load.on_error_response()
            return
        round_trip_ms, load.round_trip_ms = load.round_trip_ms, 0.0
        sample_ms = load.on_response(
            release.service_time_ms,
            grant.requests_at_start,
            max(1.0, typical_ms),
            now,
            max(0.0, release.reported_requests),
        )
        load.round_trip_ms = round_trip_ms
        _update_average(
            self._service_time_ms_by_route,
            route,
            min(sample_ms, MAX_SAMPLE_RATIO * max(1.0, typical_ms)),
        )
        _update_average(self._exchange_kb_by_route, route, release.kilobytes)

    def _free(
        self, permits: list[slot_queue.Permit], now: float
    ) -> list[AddressedReply]:
        services = set()
        for permit in permits:
            grant = self._grant_by_permit.pop(permit)
            grant.load.in_flight -= 1
            services.add(grant.request.service)
        return [
            reply for service in sorted(services) for reply in self._serve(service, now)
        ]

    def _expected_wait_ms(self, queued: slot_queue.QueuedRequest, now: float) -> float:
        service = queued.request.service
        if queued.request.only:
            return self._expected_wait_at_ms(queued.request.only, service, now)
        capacity = self._capacity(service, now)
        return max(
            self._queue(service).expected_wait_ms(queued, capacity, now),
            self._limit_wait_ms(service, now),
        )

    def _expected_wait_at_ms(self, only: str, service: str, now: float) -> float:
        """Return the time until the queued requests of one instance may go."""
        load = self._load_by_instance.get(only)
        ahead = sum(
            queued.request.only == only for queued in self._queue(service).requests()
        )
        return 0.0 if load is None else load.limit_wait_ms(max(0, ahead - 1), now)

    def _limit_wait_ms(self, service: str, now: float) -> float:
        """Return the time in which the limits of all instances let the queue go."""
        if not self._limits.has_any:
            return 0.0
        rate_per_ms = 0.0
        for load in self._own_loads(service, now):
            instance = load.instance
            if now < load.ejected_until:
                continue
            limit_per_s = self._limits.limit_per_s(instance, now)
            if limit_per_s is None:
                return 0.0
            rate_per_ms += GRANTED_LIMIT_SHARE * limit_per_s / SECOND_MS
        queue_length = len(self._queue(service))
        return queue_length / rate_per_ms if rate_per_ms > 0.0 else math.inf

    def _has_chance(
        self, queued: slot_queue.QueuedRequest, wait_ms: float, now: float
    ) -> bool:
        """Return whether a request will get a slot while it may wait."""
        return now + wait_ms < queued.give_up_at

    def _refuse(self, request: messages.SlotRequest, wait_ms: float) -> AddressedReply:
        return self._reply(
            request, messages.ReplyState.REFUSED, min(wait_ms, MAX_WAIT_HINT_MS)
        )

    def _load(
        self, instance: placement.RegisteredInstance, now: float
    ) -> placement.InstanceLoad:
        load = self._load_by_instance.get(instance.id)
        if load is None or load.instance.born != instance.born:
            load = self._load_by_instance[instance.id] = placement.InstanceLoad(
                instance, now
            )
        load.instance = instance
        limit_per_s = self._limits.limit_per_s(instance, now)
        if limit_per_s is not None:
            limit_per_s *= GRANTED_LIMIT_SHARE / self._limits.named.granting_vm_count(
                self._vm, instance.id, instance.born, now
            )
        load.set_rate_limit(limit_per_s, now)
        return load

    def _queue(self, service: str) -> slot_queue.SlotQueue:
        return self._queue_by_service.setdefault(service, slot_queue.SlotQueue())

    def _service_time_ms(self, route: str) -> float:
        return self._service_time_ms_by_route.get(
            route, placement.INITIAL_SERVICE_TIME_MS
        )

    def _reply(
        self,
        request: messages.SlotRequest,
        state: messages.ReplyState,
        wait_ms: float = 0.0,
    ) -> AddressedReply:
        reply = messages.SlotReply(
            self._vm, request.number, state, wait_ms=round(wait_ms)
        )
        return AddressedReply(request.vm, reply)


def _update_average(
    average_by_name: dict[str, float], name: str, sample: float
) -> None:
    average = average_by_name.get(name, sample)
    average_by_name[name] = average + AVERAGE_WEIGHT * (sample - average)

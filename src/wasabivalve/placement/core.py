"""Choose the instance of a service that gets a request.

The load that this answers: instances with 2 or 3 slots and a short queue, shared by
several VMs that each see only their own requests and the load that answers report.
"""

import math
import random
from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

SAMPLE_WEIGHT = 0.15
"""Weight of the newest sample in the moving average of an instance's slowness."""

FIRST_SAMPLE_WEIGHT = 0.5
MAX_SAMPLE_RATIO = 20.0
"""One request in a hundred takes several times as long; it must not count for more."""

REPORT_HALF_LIFE_MS = 300.0
"""Half-time of the load that an answer reported; a few service times."""

INITIAL_SERVICE_TIME_MS = 100.0
"""Service time assumed until one was observed for the route."""

COLD_START_FACTOR = 2.0
"""An instance that has just started takes about twice as long."""

TRANSFER_COST_SHARE_PER_KB = 0.045
"""Share of the target latency that keeping one KB inside the data centre is worth."""

MAX_TRANSFER_COST_SHARE = 0.4
CROSS_REGION_COST_FACTOR = 1.25
"""Bytes between regions cost a quarter more than between data centres."""

FAST_RESPONSE_SHARE = 0.4
"""Share of the target latency below which an answer is soon enough."""

FAST_RESPONSE_WEIGHT = 0.3
"""Weight of differences between estimates that are all soon enough.

Callers gain little from them, and bytes between data centres are paid for.
"""

IDENTITY_MISMATCH_EJECTION_MS = 3_000.0
"""By then the registry, or what a VM hears of it, shows that the instance is gone."""

ESTIMATE_JITTER = 0.3
"""Costs within this share count as the same; estimates are no better than that."""

BASE_EJECTION_MS = 500.0
MAX_EJECTION_MS = 8_000.0
"""A failing instance is left out for a time that doubles with each failure in a row."""

MAX_QUEUED_PER_INSTANCE = 2
"""Requests beyond its slots that an instance is trusted to queue."""

MAX_QUEUED_PER_VM = 2
"""Requests beyond the slots that one VM sends to an instance at once."""

LONG_REQUEST_MS = 100.0
"""Waiting behind one request of at least this length makes an urgent one late."""

ERROR_SAMPLE_WEIGHT = 0.2
ERROR_PENALTY = 4.0
"""An instance that fails every request looks this many times slower."""


class RegisteredInstance(NamedTuple):
    """Describe a registered instance; ``born`` is in ms of Unix time."""

    id: str
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    draining: bool
    warmup_left_ms: float
    born: int
    sequence: int


class Topology(NamedTuple):
    """Tell where this VM stands and which region each data centre is in."""

    data_centre: str
    region_by_data_centre: Mapping[str, str]

    def distance(self, data_centre: str) -> int:
        """Return 0 inside the data centre, 1 inside the region, else 2."""
        if data_centre == self.data_centre:
            return 0
        regions = self.region_by_data_centre
        own = regions.get(self.data_centre)
        return 1 if own is not None and regions.get(data_centre) == own else 2


class InstanceLoad:
    """Hold what this VM observed of one life of an instance; times in ms."""

    def __init__(self, instance: RegisteredInstance, now: float) -> None:
        self.instance = instance
        self.in_flight = 0
        self.sample_count = 0
        self.service_time_ratio = 1.0
        self.error_share = 0.0
        self.round_trip_ms = 0.0
        self.warm_at = now + instance.warmup_left_ms
        self.ejected_until = -math.inf
        self._failures_in_a_row = 0
        self.peer_in_flight = 0
        self._others = 0.0
        self._reported_at = now

    def on_report(self, running: int, waiting: int, now: float) -> None:
        """Take in the load that an answer reported."""
        self._others = max(0.0, running + waiting - self.in_flight)
        self._reported_at = now

    def estimated_requests(self, now: float) -> float:
        """Return the estimated number of requests at the instance.

        Requests of other VMs are known from what peers tell, and from what answers
        report, which includes VMs elsewhere but ages.
        """
        age = now - self._reported_at
        reported = self._others * 0.5 ** (age / REPORT_HALF_LIFE_MS)
        return self.in_flight + max(reported, self.peer_in_flight)

    def on_response(
        self, duration_ms: float, load_at_start: float, typical_ms: float, now: float
    ) -> float:
        """Record an answer and return its service time without the time queued.

        ``typical_ms`` is the usual service time of such requests: an instance serves
        several kinds, so that only the ratio tells how slow it is.
        """
        slots = max(1, self.instance.slots)
        turns = max(1.0, (load_at_start + 1.0) / slots)
        sample = max(1.0, duration_ms - self.round_trip_ms) / turns
        ratio = min(MAX_SAMPLE_RATIO, sample / typical_ms)
        weight = SAMPLE_WEIGHT if self.sample_count else FIRST_SAMPLE_WEIGHT
        self.service_time_ratio += weight * (ratio - self.service_time_ratio)
        self.sample_count += 1
        self._failures_in_a_row = 0
        self.ejected_until = -math.inf
        self.error_share *= 1.0 - ERROR_SAMPLE_WEIGHT
        return sample

    def on_error_response(self) -> None:
        """Record an answer that reports a failure of the instance."""
        self.error_share += ERROR_SAMPLE_WEIGHT * (1.0 - self.error_share)

    def on_identity_mismatch(self, now: float) -> None:
        """Record that another instance answers at the address of this one."""
        self.ejected_until = now + IDENTITY_MISMATCH_EJECTION_MS

    def on_failure(self, now: float, connected: bool) -> None:
        """Record a refused connection, or one that broke or went silent.

        One broken connection says little of its instance; two in a row do.
        """
        self.on_error_response()
        if now < self.ejected_until:
            return
        if connected and self._failures_in_a_row == 0:
            self._failures_in_a_row = 1
            return
        pause = min(MAX_EJECTION_MS, BASE_EJECTION_MS * 2.0**self._failures_in_a_row)
        self._failures_in_a_row += 1
        self.ejected_until = now + pause


def estimate_ms(load: InstanceLoad, typical_ms: float, now: float) -> float:
    """Return the estimated time until an answer if a request is sent now."""
    slots = max(1, load.instance.slots)
    own = typical_ms * load.service_time_ratio
    if now < load.warm_at and not load.sample_count:
        own *= COLD_START_FACTOR
    turns = max(1.0, (load.estimated_requests(now) + 1.0) / slots)
    return load.round_trip_ms + own * turns * (1.0 + ERROR_PENALTY * load.error_share)


def has_free_capacity(
    load: InstanceLoad, urgent: bool, typical_ms: float, now: float
) -> bool:
    """Return whether one more request may go to the instance.

    Long work queues at an instance only if nothing more urgent goes there: it waits
    here, where an urgent request still goes first.
    """
    slots = load.instance.slots
    if not urgent and typical_ms >= LONG_REQUEST_MS:
        return load.estimated_requests(now) < slots
    if load.in_flight >= slots + MAX_QUEUED_PER_VM:
        return False
    return load.estimated_requests(now) < slots + MAX_QUEUED_PER_INSTANCE


def transfer_cost_ms(
    distance: int, target_latency_ms: float, kilobytes: float
) -> float:
    """Return the waiting time that staying inside the data centre is worth."""
    if distance == 0:
        return 0.0
    share = min(MAX_TRANSFER_COST_SHARE, TRANSFER_COST_SHARE_PER_KB * kilobytes)
    factor = CROSS_REGION_COST_FACTOR if distance == 2 else 1.0
    return share * factor * target_latency_ms


def latency_cost_ms(estimate: float, target_latency_ms: float) -> float:
    """Return what an estimated time is worth avoiding, compared with a crossing."""
    soon = FAST_RESPONSE_SHARE * target_latency_ms
    if estimate >= soon:
        return estimate
    return soon - FAST_RESPONSE_WEIGHT * (soon - estimate)


class Choice(NamedTuple):
    """Name the chosen instance and the time until its answer in ms."""

    load: InstanceLoad
    estimate_ms: float


def choose(
    loads: Iterable[InstanceLoad],
    topology: Topology,
    typical_ms: float,
    target_latency_ms: float,
    kilobytes: float,
    excluded: Collection[str],
    urgent: bool,
    generator: random.Random,
    now: float,
) -> Choice | None:
    """Return about the cheapest instance with room, or None.

    Chance decides among those that answer about as soon: VMs that see only their own
    requests would otherwise all choose the same one.
    """
    best: Choice | None = None
    best_cost = math.inf
    for load in loads:
        instance = load.instance
        if instance.draining or instance.id in excluded:
            continue
        if now < load.ejected_until or not has_free_capacity(
            load, urgent, typical_ms, now
        ):
            continue
        estimate = estimate_ms(load, typical_ms, now)
        distance = topology.distance(instance.data_centre)
        # An instance that joined gets a first request from every VM, wherever it is.
        crossing = transfer_cost_ms(distance, target_latency_ms, kilobytes)
        varied = estimate * (1.0 + generator.uniform(0.0, ESTIMATE_JITTER))
        if load.sample_count:
            cost = latency_cost_ms(varied, target_latency_ms) + crossing
        else:
            cost = varied + 0.5 * crossing
        if cost < best_cost:
            best, best_cost = Choice(load, estimate), cost
    return best

"""Choose the instance of a service that handles a request.

Instances have 2 or 3 slots and a short queue, and several VMs share them. Each VM sees
only its own requests and the load that responses and other VMs report.
"""

import math
import random
from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

from . import rate_limit

SAMPLE_WEIGHT = 0.15
"""Weight of the newest sample in the moving average of the service time ratio."""

FIRST_SAMPLE_WEIGHT = 0.5
MAX_SAMPLE_RATIO = 20.0
"""Bound of the service time ratio of one response.

One request in a hundred takes several times as long and must not count for more.
"""

REPORT_HALF_LIFE_MS = 300.0
"""Half-life of the load that a response reported; a few service times."""

SLOWNESS_WEIGHT = 0.3
SLOWNESS_HALF_LIFE_MS = 100.0
"""Weight and half-life of the momentary slowness that a response reports.

For a machine that changes 5 to 20 times per second, the mean squared error of an
estimate is 0.77 to 1.11 of that without reports; with full weight that stays valid it
is up to 5.6 (``benchmarks/reported_slowness.py``, seed 1).
"""

INITIAL_SERVICE_TIME_MS = 100.0
"""Service time assumed until one is observed for the route."""

COLD_START_FACTOR = 2.0
"""An instance that has just started takes about twice as long."""

TRANSFER_COST_SHARE_PER_KB = 0.045
"""Cost of sending one KB to another data centre, as a share of the target latency."""

MAX_TRANSFER_COST_SHARE = 0.4
CROSS_REGION_COST_FACTOR = 1.25
"""Bytes between regions cost a quarter more than between data centres."""

FAST_RESPONSE_SHARE = 0.4
"""Share of the target latency below which a response counts as fast enough."""

FAST_RESPONSE_WEIGHT = 0.3
"""Weight of differences between estimates that are all fast enough.

Callers gain little from them, and bytes between data centres are paid for.
"""

IDENTITY_MISMATCH_EJECTION_MS = 3_000.0
"""Ejection time after a different instance answered at the address of this one.

By then the removal of the instance is known from the registry or relayed by a VM.
"""

ESTIMATE_JITTER = 0.3
"""Largest random share added to an estimate.

Estimates are no more accurate than this, so costs within this share count as equal.
"""

BASE_EJECTION_MS = 500.0
MAX_EJECTION_MS = 8_000.0
"""Bounds of the ejection time, which doubles with each consecutive failure."""

MAX_QUEUED_PER_INSTANCE = 2
"""Requests beyond its slots that an instance is expected to queue."""

MAX_QUEUED_PER_VM = 2
"""Requests beyond the slots that one VM has in flight at an instance."""

LONG_REQUEST_MS = 100.0
"""Waiting behind one request of at least this length makes an urgent one late."""

ERROR_SAMPLE_WEIGHT = 0.2
ERROR_PENALTY = 4.0
"""Multiple of the service time added for an instance that fails every request."""


class RegisteredInstance(NamedTuple):
    """Describe a registered instance; ``born`` is in ms of Unix time.

    ``born`` identifies the incarnation, and ``sequence`` orders the entries of one.
    """

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
    """Hold the data centre of this VM and the region of each data centre."""

    data_centre: str
    region_by_data_centre: Mapping[str, str]

    def distance(self, data_centre: str) -> int:
        """Return 0 inside the data centre, 1 inside the region, else 2."""
        if data_centre == self.data_centre:
            return 0
        regions = self.region_by_data_centre
        own = regions.get(self.data_centre)
        return 1 if own is not None and regions.get(data_centre) == own else 2


def region_of(data_centre: str, region_by_data_centre: Mapping[str, str]) -> str:
    """Return the region of a data centre; one of no known region is its own."""
    return region_by_data_centre.get(data_centre, data_centre)


class InstanceLoad:
    """Hold the observed load of one incarnation of an instance; times are in ms.

    ``service_time_ratio`` is the moving average of observed service times relative to
    the typical ones of such requests: 1 is typical, 2 takes twice as long. An answer
    ends the ejection of an instance (``ejected_until``), but not the time for which it
    has turned this VM away (``refuses_until``).
    """

    def __init__(self, instance: RegisteredInstance, now: float) -> None:
        self.instance = instance
        self.in_flight = 0
        self.sample_count = 0
        self.service_time_ratio = 1.0
        self.error_share = 0.0
        self.round_trip_ms = 0.0
        self.warmup_ends_at = now + instance.warmup_left_ms
        self.ejected_until = -math.inf
        self.refuses_until = -math.inf
        self._consecutive_failures = 0
        self.peer_in_flight = 0
        self.limiter: rate_limit.RateLimiter | None = None
        self.cold_since: float | None = None
        self._reported_by_others = 0.0
        self._reported_at = now
        self._slowness = 1.0
        self._slowness_at = now

    def set_rate_limit(
        self, rate_per_s: float | None, now: float, saved: float = 0.0
    ) -> None:
        """Limit the requests to the instance; None ends that.

        ``saved`` is the part of one permission that the limit begins with.
        """
        if rate_per_s is None:
            self.limiter = None
        elif self.limiter is None:
            self.limiter = rate_limit.RateLimiter(rate_per_s, now, saved)
        else:
            self.limiter.set_rate(rate_per_s, now)
        if self.limiter is not None:
            self.limiter.lapses = self.cold_since is not None

    def set_cold_since(self, cold_since: float | None, now: float) -> None:
        """Record when the instance became cold; nothing saved before that counts."""
        if cold_since is not None and cold_since != self.cold_since:
            self.set_rate_limit(None, now)
        self.cold_since = cold_since

    @property
    def was_ejected_twice(self) -> bool:
        """Return whether at least two attempts in a row have failed."""
        return self._consecutive_failures >= 2

    def limit_wait_ms(self, requests_ahead: int, now: float) -> float:
        """Return the time until the rate limit lets a request behind others go."""
        if self.limiter is None:
            return 0.0
        return self.limiter.wait_ms(requests_ahead, now)

    @property
    def unavailable_until(self) -> float:
        """Return the time before which the instance gets no requests of this VM."""
        return max(self.ejected_until, self.refuses_until)

    def on_turned_away(self, retry_after_ms: float, now: float) -> None:
        """Record that the instance wants nothing from this VM for a time."""
        self.refuses_until = max(self.refuses_until, now + retry_after_ms)

    def on_report(
        self, running: int, waiting: int, now: float, slowness: float | None = None
    ) -> None:
        """Record the load, and the momentary slowness, that a response reported."""
        if slowness is not None:
            self._slowness, self._slowness_at = slowness, now
        self._reported_by_others = max(0.0, running + waiting - self.in_flight)
        self._reported_at = now

    def momentary_slowness(self, now: float) -> float:
        """Return how long work is expected to take now, relative to usual times."""
        if self._slowness == 1.0:
            return 1.0
        fade = 0.5 ** ((now - self._slowness_at) / SLOWNESS_HALF_LIFE_MS)
        return 1.0 + SLOWNESS_WEIGHT * fade * (self._slowness - 1.0)

    def on_full(self, now: float) -> None:
        """Record that the instance reset a connection because it was full."""
        queue_length = MAX_QUEUED_PER_INSTANCE
        self.on_report(self.instance.slots + self.in_flight, queue_length, now)

    def estimated_requests(self, now: float) -> float:
        """Return the estimated number of requests at the instance.

        Requests of other VMs are known from their own reports, which cover the peers
        of this VM, and from responses, which cover all VMs but become outdated.
        """
        age = now - self._reported_at
        reported = self._reported_by_others * 0.5 ** (age / REPORT_HALF_LIFE_MS)
        return self.in_flight + max(reported, self.peer_in_flight)

    def on_response(
        self,
        duration_ms: float,
        requests_at_start: float,
        typical_service_time_ms: float,
        now: float,
        reported_requests: float = 0.0,
    ) -> float:
        """Record a response and return its service time without the time queued.

        ``requests_at_start`` is the estimated number of requests at the instance when
        this one was sent, and ``reported_requests`` the number that the response
        reports. At an instance that many VMs use, the estimate misses most of the
        queue, and the time in it must not count as slowness.
        ``typical_service_time_ms`` is that of requests of this kind. An instance serves
        several kinds, so only the ratio shows whether it is slow.
        """
        slots = max(1, self.instance.slots)
        queue_factor = max(
            1.0, (requests_at_start + 1.0) / slots, reported_requests / slots
        )
        service_time_ms = max(1.0, duration_ms - self.round_trip_ms) / queue_factor
        ratio = min(MAX_SAMPLE_RATIO, service_time_ms / typical_service_time_ms)
        weight = SAMPLE_WEIGHT if self.sample_count else FIRST_SAMPLE_WEIGHT
        self.service_time_ratio += weight * (ratio - self.service_time_ratio)
        self.sample_count += 1
        self._consecutive_failures = 0
        self.ejected_until = -math.inf
        self.error_share *= 1.0 - ERROR_SAMPLE_WEIGHT
        return service_time_ms

    def on_error_response(self) -> None:
        """Record a response that reports a failure of the instance."""
        self.error_share += ERROR_SAMPLE_WEIGHT * (1.0 - self.error_share)

    def on_identity_mismatch(self, now: float) -> None:
        """Eject the instance, as a different one answered at its address."""
        self.ejected_until = now + IDENTITY_MISMATCH_EJECTION_MS

    def on_failure(self, now: float, connected: bool) -> None:
        """Record a refused connection, or one that broke or went silent.

        A refused connection ejects the instance at once. A single broken connection
        is weak evidence, so only the second consecutive one does.
        """
        self.on_error_response()
        if now < self.ejected_until:
            return
        if connected and self._consecutive_failures == 0:
            self._consecutive_failures = 1
            return
        ejection_ms = min(
            MAX_EJECTION_MS, BASE_EJECTION_MS * 2.0**self._consecutive_failures
        )
        self._consecutive_failures += 1
        self.ejected_until = now + ejection_ms


def estimate_response_time_ms(
    load: InstanceLoad, typical_service_time_ms: float, now: float
) -> float:
    """Return the estimated time until the response if a request is sent now."""
    slots = max(1, load.instance.slots)
    service_time_ms = typical_service_time_ms * load.service_time_ratio
    service_time_ms *= load.momentary_slowness(now)
    if now < load.warmup_ends_at and not load.sample_count:
        service_time_ms *= COLD_START_FACTOR
    queue_factor = max(1.0, (load.estimated_requests(now) + 1.0) / slots)
    return load.round_trip_ms + service_time_ms * queue_factor * (
        1.0 + ERROR_PENALTY * load.error_share
    )


def has_free_capacity(
    load: InstanceLoad, urgent: bool, typical_service_time_ms: float, now: float
) -> bool:
    """Return whether one more request may be sent to the instance.

    A long request queues at an instance only if it is ``urgent``, that is, no route
    to the service is more urgent. Otherwise it waits at this VM, where a more urgent
    request still overtakes it.
    """
    slots = load.instance.slots
    if not urgent and typical_service_time_ms >= LONG_REQUEST_MS:
        return load.estimated_requests(now) < slots
    if load.in_flight >= slots + MAX_QUEUED_PER_VM:
        return False
    return load.estimated_requests(now) < slots + MAX_QUEUED_PER_INSTANCE


def transfer_cost_ms(
    distance: int, target_latency_ms: float, kilobytes: float
) -> float:
    """Return the latency that avoiding a transfer between data centres is worth."""
    if distance == 0:
        return 0.0
    share = min(MAX_TRANSFER_COST_SHARE, TRANSFER_COST_SHARE_PER_KB * kilobytes)
    factor = CROSS_REGION_COST_FACTOR if distance == 2 else 1.0
    return share * factor * target_latency_ms


def latency_cost_ms(estimate_ms: float, target_latency_ms: float) -> float:
    """Return the cost of an estimated latency, on the scale of transfer costs."""
    fast_ms = FAST_RESPONSE_SHARE * target_latency_ms
    if estimate_ms >= fast_ms:
        return estimate_ms
    return fast_ms - FAST_RESPONSE_WEIGHT * (fast_ms - estimate_ms)


def placement_cost_ms(
    load: InstanceLoad,
    estimate_ms: float,
    topology: Topology,
    target_latency_ms: float,
    kilobytes: float,
) -> float:
    """Return the cost of an estimated latency and of the bytes transferred.

    A new instance costs less, so that every VM sends it a first request, also from
    other data centres.
    """
    distance = topology.distance(load.instance.data_centre)
    transfer_cost = transfer_cost_ms(distance, target_latency_ms, kilobytes)
    if load.sample_count:
        return latency_cost_ms(estimate_ms, target_latency_ms) + transfer_cost
    return estimate_ms + 0.5 * transfer_cost


class Choice(NamedTuple):
    """Hold the chosen instance and the estimated time until its response in ms."""

    load: InstanceLoad
    estimate_ms: float


def choose(
    loads: Iterable[InstanceLoad],
    topology: Topology,
    typical_service_time_ms: float,
    target_latency_ms: float,
    kilobytes: float,
    excluded_ids: Collection[str],
    urgent: bool,
    generator: random.Random,
    now: float,
) -> Choice | None:
    """Return an instance with free capacity and about the lowest cost, or None.

    ``kilobytes`` is the size of request and response. Jitter decides between similar
    estimates: VMs that see only their own requests would otherwise all choose the
    same instance.
    """
    best: Choice | None = None
    best_cost = math.inf
    for load in loads:
        instance = load.instance
        if instance.draining or instance.id in excluded_ids:
            continue
        if now < load.unavailable_until or load.limit_wait_ms(0, now) > 0.0:
            continue
        if not has_free_capacity(load, urgent, typical_service_time_ms, now):
            continue
        estimate = estimate_response_time_ms(load, typical_service_time_ms, now)
        jittered = estimate * (1.0 + generator.uniform(0.0, ESTIMATE_JITTER))
        cost = placement_cost_ms(load, jittered, topology, target_latency_ms, kilobytes)
        if cost < best_cost:
            best, best_cost = Choice(load, estimate), cost
    return best

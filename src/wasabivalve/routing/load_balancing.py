"""Choose the instance of a service that gets a request."""

import random
import statistics
from collections.abc import Callable, Collection, Mapping
from typing import NamedTuple

from wasabivalve import rendezvous

from . import localities

EWMA_WEIGHT = 0.2
"""Weight of the newest sample in a moving average."""

INITIAL_LATENCY_MS = 10.0
"""Latency assumed while no instance has been measured."""

SLOW_START_MS = 10_000.0
SLOW_START_LEAST_SHARE = 0.1
"""An instance starts at this share of its load and ramps up to its full load."""

OUTLIER_LATENCY_RATIO = 3.0
OUTLIER_FAILURE_MARGIN = 0.3
OUTLIER_LEAST_SAMPLES = 5
"""Limits against the median of the candidates, which a fleet-wide fault moves."""

LARGEST_EJECTED_SHARE = 1 / 3
EJECTION_MS = 5_000.0
"""Observations older than this no longer eject, so the instance is tried again."""

REPORT_MAX_AGE_MS = 2_000.0
TIE_RATIO = 1.1
"""Costs within this ratio count as equal; only then the reported load decides."""


class _Observation:
    def __init__(self, now: float) -> None:
        self.ready_since = now
        self.in_flight = 0
        self.samples = 0
        self.latency_ms = 0.0
        self.failure_share = 0.0
        self.observed_at = now
        self.reported_load: float | None = None
        self.reported_at = now


class StatisticsSnapshot(NamedTuple):
    """Summarize what this VM observed of one instance."""

    in_flight: int
    samples: int
    latency_ms: float
    failure_share: float


class InstanceStatistics:
    """Hold what this VM itself observed of instances, by name."""

    def __init__(self) -> None:
        self._by_instance: dict[str, _Observation] = {}

    def on_ready(self, instance: str, now: float) -> None:
        """Begin the slow start of an instance that joined or restarted."""
        self._by_instance[instance] = _Observation(now)

    def on_start(self, instance: str, now: float) -> None:
        """Count a request that was sent to an instance."""
        self._get(instance, now).in_flight += 1

    def on_finish(
        self, instance: str, latency_ms: float, failed: bool, now: float
    ) -> None:
        """Record the end of a request that ``on_start`` counted."""
        seen = self._get(instance, now)
        seen.in_flight = max(0, seen.in_flight - 1)
        weight = EWMA_WEIGHT if seen.samples else 1.0
        seen.failure_share += weight * (float(failed) - seen.failure_share)
        # A quick failure would otherwise make the instance look fast.
        if not failed or latency_ms > seen.latency_ms:
            seen.latency_ms += weight * (latency_ms - seen.latency_ms)
        seen.samples += 1
        seen.observed_at = now

    def on_cancel(self, instance: str, now: float) -> None:
        """Take back ``on_start`` for a request that the instance did not get."""
        seen = self._get(instance, now)
        seen.in_flight = max(0, seen.in_flight - 1)

    def on_report(self, instance: str, load: float, now: float) -> None:
        """Record the load that an instance reports of itself."""
        seen = self._get(instance, now)
        seen.reported_load = load
        seen.reported_at = now

    def forget(self, names: Collection[str]) -> None:
        """Drop the observations of instances that left."""
        for name in names:
            self._by_instance.pop(name, None)

    def snapshot(self, instance: str, now: float) -> StatisticsSnapshot:
        """Return the observations of an instance."""
        seen = self._get(instance, now)
        return StatisticsSnapshot(
            seen.in_flight, seen.samples, seen.latency_ms, seen.failure_share
        )

    def cost_ms(self, instance: str, usual_latency_ms: float, now: float) -> float:
        """Return the expected time to serve one more request, in ms."""
        seen = self._get(instance, now)
        latency = seen.latency_ms if seen.samples else usual_latency_ms
        penalty = 1.0 + 4.0 * seen.failure_share
        share = min(1.0, (now - seen.ready_since) / SLOW_START_MS)
        share = max(SLOW_START_LEAST_SHARE, share)
        return latency * (seen.in_flight + 1) * penalty / share

    def usual_latency_ms(self, names: Collection[str], now: float) -> float:
        """Return the median latency of the measured instances, in ms."""
        measured = [
            seen.latency_ms
            for name in names
            if (seen := self._get(name, now)).samples and seen.latency_ms > 0
        ]
        return statistics.median(measured) if measured else INITIAL_LATENCY_MS

    def reported_load(self, instance: str, now: float) -> float | None:
        """Return the reported load, or None when there is no recent report."""
        seen = self._get(instance, now)
        if now - seen.reported_at > REPORT_MAX_AGE_MS:
            return None
        return seen.reported_load

    def ejected(self, names: Collection[str], now: float) -> frozenset[str]:
        """Return the outliers among the names, at most a third of them.

        An outlier is compared with the median, so a slowdown or failure of the
        whole fleet ejects none.
        """
        recent = {
            name: seen
            for name in names
            if (seen := self._get(name, now)).samples >= OUTLIER_LEAST_SAMPLES
            and now - seen.observed_at <= EJECTION_MS
        }
        if len(recent) < 3:
            return frozenset()
        latency = statistics.median(seen.latency_ms for seen in recent.values())
        failures = statistics.median(seen.failure_share for seen in recent.values())
        badness = {
            name: max(
                seen.latency_ms / max(latency * OUTLIER_LATENCY_RATIO, 0.001),
                (seen.failure_share - failures) / OUTLIER_FAILURE_MARGIN,
            )
            for name, seen in recent.items()
        }
        outliers = [name for name, value in badness.items() if value > 1.0]
        outliers.sort(key=lambda name: (-badness[name], name))
        return frozenset(outliers[: int(len(names) * LARGEST_EJECTED_SHARE)])

    def _get(self, instance: str, now: float) -> _Observation:
        if instance not in self._by_instance:
            seen = _Observation(now)
            # An instance that was there before this VM needs no slow start.
            seen.ready_since = now - SLOW_START_MS
            self._by_instance[instance] = seen
        return self._by_instance[instance]


def choose_instance(
    origin: localities.Locality,
    place_by_instance: Mapping[str, localities.Locality],
    observations: InstanceStatistics,
    generator: random.Random,
    now: float,
    *,
    excluded: Collection[str] = (),
    max_in_flight: int | None = None,
    affinity: str | None = None,
) -> str | None:
    """Return the instance for a request, or None when all are excluded.

    The nearest tier (data centre, region, elsewhere) with an instance that is
    neither ejected nor at ``max_in_flight`` requests of this VM is used. Two
    instances of that tier are compared by their expected time: random ones, or
    the same two for all requests with the same ``affinity``. With a digest of the
    request as affinity, identical requests that are sent at the same time reach
    two instances per data centre and not all of them, which limits what a request
    can crash before it is known.
    """
    names = [name for name in place_by_instance if name not in excluded]
    if not names:
        return None
    ejected = observations.ejected(names, now)

    def is_free(name: str) -> bool:
        in_flight = observations.snapshot(name, now).in_flight
        return max_in_flight is None or in_flight < max_in_flight

    tests: tuple[Callable[[str], bool], ...] = (
        lambda name: name not in ejected and is_free(name),
        lambda name: name not in ejected,
        lambda name: True,
    )
    tiers = localities.proximity_tiers(
        origin, {name: place_by_instance[name] for name in names}
    )
    for test in tests:
        for tier in tiers:
            usable = [name for name in tier if test(name)]
            if usable:
                two = _two_of(usable, generator, affinity)
                return _better_of_two(two, observations, generator, now)
    return None


def _two_of(
    names: list[str], generator: random.Random, affinity: str | None
) -> list[str]:
    if len(names) <= 2:
        return names
    if affinity is not None:
        return list(rendezvous.rank_names(affinity, names)[:2])
    return generator.sample(names, 2)


def _better_of_two(
    names: list[str],
    observations: InstanceStatistics,
    generator: random.Random,
    now: float,
) -> str:
    if len(names) == 1:
        return names[0]
    # A random order decides between equals, such as two idle instances.
    first, second = generator.sample(names, 2)
    usual = observations.usual_latency_ms(names, now)
    first_cost = observations.cost_ms(first, usual, now)
    second_cost = observations.cost_ms(second, usual, now)
    if max(first_cost, second_cost) > TIE_RATIO * min(first_cost, second_cost):
        return first if first_cost < second_cost else second
    first_load = observations.reported_load(first, now)
    second_load = observations.reported_load(second, now)
    if first_load is None or second_load is None:
        return first if first_cost <= second_cost else second
    return first if first_load <= second_load else second

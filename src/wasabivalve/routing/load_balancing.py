"""Choose the instance of a service for a request by measured latency and load."""

import random
import statistics
from collections.abc import Callable, Collection, Mapping
from typing import NamedTuple

from wasabivalve import rendezvous

from . import localities

SAMPLE_WEIGHT = 0.2
"""Weight of the newest sample in the moving averages of latency and failures."""

INITIAL_LATENCY_MS = 10.0
"""Latency assumed while no instance has a measurement."""

SLOW_START_MS = 10_000.0
SLOW_START_MIN_SHARE = 0.1
"""Share of the full load that a new instance gets first; it grows linearly to 1."""

OUTLIER_LATENCY_RATIO = 3.0
OUTLIER_FAILURE_MARGIN = 0.3
OUTLIER_MIN_SAMPLES = 5
"""Limits relative to the median of the candidates.

A slowdown or failure of the whole fleet moves the median and so ejects no instance.
"""

MAX_EJECTED_SHARE = 1 / 3
EJECTION_MS = 5_000.0
"""Age above which measurements no longer eject an instance, so it gets requests."""

LOAD_REPORT_MAX_AGE_MS = 2_000.0
COST_TIE_RATIO = 1.1
"""Costs within this ratio count as equal; only then does the reported load decide."""


class _InstanceRecord:
    def __init__(self, now: float) -> None:
        self.ready_since = now
        self.in_flight = 0
        self.sample_count = 0
        self.latency_ms = 0.0
        self.failure_share = 0.0
        self.last_finish_at = now
        self.reported_load: float | None = None
        self.reported_at = now


class StatisticsSnapshot(NamedTuple):
    """Summarize what this VM measured at one instance; latency in ms."""

    in_flight: int
    sample_count: int
    latency_ms: float
    failure_share: float


class InstanceStatistics:
    """Hold what this VM measured at instances, by name.

    All times are in ms of one monotonic clock.
    """

    def __init__(self) -> None:
        self._record_by_instance: dict[str, _InstanceRecord] = {}

    def on_ready(self, instance: str, now: float) -> None:
        """Begin the slow start of an instance that joined or restarted."""
        self._record_by_instance[instance] = _InstanceRecord(now)

    def on_start(self, instance: str, now: float) -> None:
        """Count a request as in flight at an instance."""
        self._get_record(instance, now).in_flight += 1

    def on_finish(
        self, instance: str, latency_ms: float, failed: bool, now: float
    ) -> None:
        """Record the latency in ms and the result of a request that was started."""
        record = self._get_record(instance, now)
        record.in_flight = max(0, record.in_flight - 1)
        weight = SAMPLE_WEIGHT if record.sample_count else 1.0
        record.failure_share += weight * (float(failed) - record.failure_share)
        # Otherwise fast failures would lower the latency of the instance.
        if not failed or latency_ms > record.latency_ms:
            record.latency_ms += weight * (latency_ms - record.latency_ms)
        record.sample_count += 1
        record.last_finish_at = now

    def on_cancel(self, instance: str, now: float) -> None:
        """Undo ``on_start`` for a request that was not sent to the instance."""
        record = self._get_record(instance, now)
        record.in_flight = max(0, record.in_flight - 1)

    def on_report(self, instance: str, load: float, now: float) -> None:
        """Record the load that an instance reports about itself."""
        record = self._get_record(instance, now)
        record.reported_load = load
        record.reported_at = now

    def remove(self, names: Collection[str]) -> None:
        """Remove the measurements of instances that left."""
        for name in names:
            self._record_by_instance.pop(name, None)

    def snapshot(self, instance: str, now: float) -> StatisticsSnapshot:
        """Return the measurements of an instance."""
        record = self._get_record(instance, now)
        return StatisticsSnapshot(
            record.in_flight,
            record.sample_count,
            record.latency_ms,
            record.failure_share,
        )

    def cost_ms(self, instance: str, median_latency_ms: float, now: float) -> float:
        """Return the expected time in ms to serve one more request.

        ``median_latency_ms`` stands in for the latency of an unmeasured instance.
        """
        record = self._get_record(instance, now)
        latency_ms = record.latency_ms if record.sample_count else median_latency_ms
        failure_factor = 1.0 + 4.0 * record.failure_share
        slow_start_share = min(1.0, (now - record.ready_since) / SLOW_START_MS)
        slow_start_share = max(SLOW_START_MIN_SHARE, slow_start_share)
        return latency_ms * (record.in_flight + 1) * failure_factor / slow_start_share

    def median_latency_ms(self, names: Collection[str], now: float) -> float:
        """Return the median latency of the measured instances, in ms."""
        measured = [
            record.latency_ms
            for name in names
            if (record := self._get_record(name, now)).sample_count
            and record.latency_ms > 0
        ]
        return statistics.median(measured) if measured else INITIAL_LATENCY_MS

    def reported_load(self, instance: str, now: float) -> float | None:
        """Return the load of the last report, or None when it is too old."""
        record = self._get_record(instance, now)
        if now - record.reported_at > LOAD_REPORT_MAX_AGE_MS:
            return None
        return record.reported_load

    def ejected(self, names: Collection[str], now: float) -> frozenset[str]:
        """Return the outliers among the names, at most a third of them.

        Instances are compared with the median, so a slowdown or failure of the
        whole fleet ejects none.
        """
        recent_by_name = {
            name: record
            for name in names
            if (record := self._get_record(name, now)).sample_count
            >= OUTLIER_MIN_SAMPLES
            and now - record.last_finish_at <= EJECTION_MS
        }
        if len(recent_by_name) < 3:
            return frozenset()
        median_latency_ms = statistics.median(
            record.latency_ms for record in recent_by_name.values()
        )
        median_failure_share = statistics.median(
            record.failure_share for record in recent_by_name.values()
        )
        outlier_score_by_name = {
            name: max(
                record.latency_ms
                / max(median_latency_ms * OUTLIER_LATENCY_RATIO, 0.001),
                (record.failure_share - median_failure_share) / OUTLIER_FAILURE_MARGIN,
            )
            for name, record in recent_by_name.items()
        }
        outliers = [
            name for name, score in outlier_score_by_name.items() if score > 1.0
        ]
        outliers.sort(key=lambda name: (-outlier_score_by_name[name], name))
        return frozenset(outliers[: int(len(names) * MAX_EJECTED_SHARE)])

    def _get_record(self, instance: str, now: float) -> _InstanceRecord:
        if instance not in self._record_by_instance:
            record = _InstanceRecord(now)
            # Without ``on_ready`` the instance existed before this VM started.
            record.ready_since = now - SLOW_START_MS
            self._record_by_instance[instance] = record
        return self._record_by_instance[instance]


def choose_instance(
    origin: localities.Locality,
    locality_by_instance: Mapping[str, localities.Locality],
    instance_statistics: InstanceStatistics,
    generator: random.Random,
    now: float,
    *,
    excluded: Collection[str] = (),
    max_in_flight: int | None = None,
    affinity: str | None = None,
) -> str | None:
    """Return the instance for a request, or None when all are excluded.

    The nearest tier (data centre, region, elsewhere) with an instance that is
    neither ejected nor at ``max_in_flight`` requests of this VM is used. The
    expected times of two instances of that tier are compared: two random ones, or
    the same two for all requests with the same ``affinity``. With a digest of the
    request as affinity, identical requests that are sent at the same time reach two
    instances per data centre instead of all, which limits how many instances a
    request can crash before it is suspected.
    """
    names = [name for name in locality_by_instance if name not in excluded]
    if not names:
        return None
    ejected = instance_statistics.ejected(names, now)

    def has_capacity(name: str) -> bool:
        in_flight = instance_statistics.snapshot(name, now).in_flight
        return max_in_flight is None or in_flight < max_in_flight

    filters: tuple[Callable[[str], bool], ...] = (
        lambda name: name not in ejected and has_capacity(name),
        lambda name: name not in ejected,
        lambda name: True,
    )
    tiers = localities.proximity_tiers(
        origin, {name: locality_by_instance[name] for name in names}
    )
    for accepts in filters:
        for tier in tiers:
            candidates = [name for name in tier if accepts(name)]
            if candidates:
                pair = _sample_two(candidates, generator, affinity)
                return _choose_less_loaded(pair, instance_statistics, generator, now)
    return None


def _sample_two(
    names: list[str], generator: random.Random, affinity: str | None
) -> list[str]:
    if len(names) <= 2:
        return names
    if affinity is not None:
        return list(rendezvous.rank_names(affinity, names)[:2])
    return generator.sample(names, 2)


def _choose_less_loaded(
    names: list[str],
    instance_statistics: InstanceStatistics,
    generator: random.Random,
    now: float,
) -> str:
    if len(names) == 1:
        return names[0]
    # The random order decides between equal costs, such as two idle instances.
    first, second = generator.sample(names, 2)
    median_latency_ms = instance_statistics.median_latency_ms(names, now)
    first_cost = instance_statistics.cost_ms(first, median_latency_ms, now)
    second_cost = instance_statistics.cost_ms(second, median_latency_ms, now)
    if max(first_cost, second_cost) > COST_TIE_RATIO * min(first_cost, second_cost):
        return first if first_cost < second_cost else second
    first_load = instance_statistics.reported_load(first, now)
    second_load = instance_statistics.reported_load(second, now)
    if first_load is None or second_load is None:
        return first if first_cost <= second_cost else second
    return first if first_load <= second_load else second

"""Hold all VMs to the paces of starting and recovering instances.

The limit of an instance is the lowest of the one that it names, that of a cold
instance, and the pace that the dispatcher of its service has found. It is handed out
in the same way whatever its origin.
"""

import math
from collections.abc import Callable

from wasabivalve import events, shared_facts
from wasabivalve.desired_state import core as desired_state
from wasabivalve.placement import core as placement

from . import core

PUBLICATION_INTERVAL_MS = 1_000.0
"""Interval of publishing a pace; other VMs use it if they reach no dispatcher."""

ACTIVE_MS = 2_500.0
"""Time after the last answer for which the pace that this VM found counts.

After it, another VM may have become the dispatcher, whose pace is a fact.
"""

RISE_MS = 2_000.0
"""Time after a warm-up in which the pace reaches that of a warm instance.

It grows by e in a second, and a cold instance has about a quarter of it.
"""

TYPICAL_WEIGHT = 0.05

MAX_WARMUP_MS = 60_000.0
"""Longest warm-up that is believed: a wrong one keeps a warm instance nearly idle."""


class _Watch:
    """Hold what is known of one incarnation; times are in ms."""

    def __init__(self, born: int) -> None:
        self.born = born
        self.entry = (-1, -1.0)
        self.cold_since: float | None = None
        self.cold_until = -math.inf
        self.finder: core.PaceFinder | None = None
        self.active_at = -math.inf
        self.published_at = -math.inf


class PacedLimits:
    """Hold the limits of instances on one VM; times are in ms of the board's clock.

    ``find_service`` returns the configuration of a service. Instances are paced only
    where it has a ``warmup_ms``. ``on_recovered`` is called when an instance answers
    again after failures and may have become cold.
    """

    def __init__(
        self,
        board: shared_facts.FactBoard,
        find_service: Callable[
            [str], desired_state.ServiceConfig | None
        ] = lambda service: None,
        bounds: core.WarmupBounds | None = None,
        named: shared_facts.InstanceLimits | None = None,
        on_recovered: Callable[
            [placement.RegisteredInstance], None
        ] = lambda instance: None,
    ) -> None:
        self.board = board
        self._named = named or shared_facts.InstanceLimits(board)
        self._paces = shared_facts.InstancePaces(board)
        self._find_service = find_service
        self._bounds = bounds
        self._on_recovered = on_recovered
        self._watch_by_id: dict[str, _Watch] = {}
        self._cold_until_by_id: dict[str, float] = {}
        self._typical_ms_by_service: dict[str, float] = {}

    @property
    def named(self) -> shared_facts.InstanceLimits:
        """Return the limits that instances name in their answers."""
        return self._named

    @property
    def has_any(self) -> bool:
        """Return whether any instance may be limited."""
        return (
            self._named.has_any or self._paces.has_any or bool(self._cold_until_by_id)
        )

    def cold_count(self, now: float) -> int:
        """Return the number of instances known to be cold."""
        return sum(1 for until in self._cold_until_by_id.values() if now < until)

    def paced_count(self, now: float) -> int:
        """Return the number of instances whose pace this VM looks for."""
        return sum(
            1
            for watch in self._watch_by_id.values()
            if watch.finder is not None
            and self._is_active(watch, now)
            and watch.finder.pace_per_s(now) is not None
        )

    def limit_per_s(
        self, instance: placement.RegisteredInstance, now: float
    ) -> float | None:
        """Return the requests per second that an instance gets from all VMs."""
        named = self._named.limit_per_s(instance.id, instance.born, now)
        # This runs for each instance of a service at each request.
        config = self._find_service(instance.service)
        if config is None or config.warmup_ms <= 0.0:
            return named
        pace = self._pace_per_s(instance, config, now)
        if named is None or pace is None:
            return pace if named is None else named
        return min(named, pace)

    def cold_since(
        self, instance: placement.RegisteredInstance, now: float
    ) -> float | None:
        """Return since when an instance is cold and bound to a rate, None if not."""
        config = self._find_config(instance.service)
        if config is None or config.warmup_per_s <= 0.0:
            return None
        watch = self._watch(instance, config, now)
        return watch.cold_since if now < watch.cold_until else None

    def is_warming(self, instance: placement.RegisteredInstance, now: float) -> bool:
        """Return whether an instance is cold, or was until a moment ago."""
        config = self._find_config(instance.service)
        if config is None:
            return False
        return now < self._watch(instance, config, now).cold_until + RISE_MS

    def on_warmup_report(
        self, instance: placement.RegisteredInstance, left_ms: float, now: float
    ) -> None:
        """Record how long an instance says that it stays cold."""
        config = self._find_config(instance.service)
        if config is None or left_ms <= 0.0:
            return
        left_ms = min(left_ms, MAX_WARMUP_MS)
        if now + left_ms <= self._watch(instance, config, now).cold_until:
            return
        if self._paces.on_cold(instance.id, instance.born, left_ms, now):
            events.emit(
                327, instance=instance.id, left_ms=round(left_ms), source="answer"
            )

    def on_recovery(
        self,
        instance: placement.RegisteredInstance,
        now: float,
        ejected_until: float = -math.inf,
    ) -> None:
        """Record that an instance answers again, or will be tried again at a time."""
        config = self._find_config(instance.service)
        if config is None:
            return
        is_answer = ejected_until <= now
        if is_answer:
            self._on_recovered(instance)
        watch = self._watch(instance, config, now)
        if is_answer and self._pace_per_s(instance, config, now) is not None:
            # It is paced since its ejection, or since another VM had an answer.
            return
        finder = self._finder(watch, instance, config)
        finder.on_recovery(now)
        watch.active_at = max(now, ejected_until)
        watch.published_at = -math.inf
        events.emit(328, instance=instance.id, pace=finder.pace_per_s(now))
        self._publish(watch, instance, now)

    def on_sent(self, instance: placement.RegisteredInstance, now: float) -> None:
        """Record that this VM, as the dispatcher, grants a slot at an instance."""
        config = self._find_config(instance.service)
        if config is None:
            return
        watch = self._watch(instance, config, now)
        limit = self._pace_per_s(instance, config, now)
        finder = self._finder(watch, instance, config)
        if limit is not None and not self._is_active(watch, now):
            finder.on_known_pace(limit, now)
        watch.active_at = now
        finder.on_sent(now)

    def on_load(
        self,
        instance: placement.RegisteredInstance,
        waiting: int,
        slowness: float | None,
        now: float,
    ) -> None:
        """Record the load that an answer to a granted request reports."""
        finder = self._known_finder(instance)
        if finder is not None:
            finder.on_load(waiting, slowness, now)

    def on_answer(
        self,
        instance: placement.RegisteredInstance,
        duration_ms: float,
        typical_ms: float,
        now: float,
    ) -> None:
        """Record the answer to a granted request; ``typical_ms`` is for its kind."""
        finder = self._known_finder(instance)
        if finder is None:
            return
        service = instance.service
        average_ms = self._typical_ms_by_service.get(service, typical_ms)
        average_ms += TYPICAL_WEIGHT * (typical_ms - average_ms)
        self._typical_ms_by_service[service] = average_ms
        was_paced = finder.pace_per_s(now) is not None
        finder.on_answer(duration_ms / max(1.0, typical_ms), average_ms, now)
        pace = finder.pace_per_s(now)
        if was_paced and pace is None:
            events.emit(329, instance=instance.id)
        watch = self._watch_by_id[instance.id]
        watch.active_at = now
        self._publish(watch, instance, now)

    def on_failure(self, instance: placement.RegisteredInstance, now: float) -> None:
        """Record that a granted request was refused or failed at its instance."""
        finder = self._known_finder(instance)
        if finder is not None:
            finder.on_failure(now)

    def is_paced_service(self, service: str) -> bool:
        """Return whether the instances of a service are paced."""
        return self._find_config(service) is not None

    def is_probe_due(self, instance: placement.RegisteredInstance, now: float) -> bool:
        """Return whether an instance should get a request to show how it is."""
        finder = self._known_finder(instance)
        return finder is not None and finder.is_probe_due(now)

    def recovered_ratio(self, instance: placement.RegisteredInstance) -> float | None:
        """Return the ratio of recent response times if several were quick."""
        finder = self._known_finder(instance)
        return None if finder is None else finder.recovered_ratio()

    def _find_config(self, service: str) -> desired_state.ServiceConfig | None:
        """Return the configuration of a service whose instances are paced."""
        config = self._find_service(service)
        return None if config is None or config.warmup_ms <= 0.0 else config

    def remove(self, instance: str) -> None:
        """Discard what was observed of an instance that has ended."""
        self._watch_by_id.pop(instance, None)
        self._cold_until_by_id.pop(instance, None)

    def _pace_per_s(
        self,
        instance: placement.RegisteredInstance,
        config: desired_state.ServiceConfig,
        now: float,
    ) -> float | None:
        watch = self._watch(instance, config, now)
        finder = watch.finder
        if finder is not None and self._is_active(watch, now):
            return finder.pace_per_s(now)
        pace = self._paces.pace_per_s(instance.id, instance.born, now)
        if now >= watch.cold_until:
            return pace
        cold = self._finder(watch, instance, config).start_pace_per_s()
        return cold if pace is None else min(pace, cold)

    def _is_active(self, watch: _Watch, now: float) -> bool:
        return now < watch.active_at + ACTIVE_MS

    def _watch(
        self,
        instance: placement.RegisteredInstance,
        config: desired_state.ServiceConfig,
        now: float,
    ) -> _Watch:
        """Return what is known of an incarnation, with the newest warm-up applied."""
        watch = self._watch_by_id.get(instance.id)
        if watch is None or watch.born != instance.born:
            watch = self._watch_by_id[instance.id] = _Watch(instance.born)
        entry = (instance.sequence, instance.warmup_left_ms)
        if entry != watch.entry:
            watch.entry = entry
            left_ms = min(instance.warmup_left_ms, MAX_WARMUP_MS)
            if left_ms > 0.0:
                self._extend(watch, instance, config, now + left_ms, now)
        reported_until = self._paces.cold_until(instance.id, instance.born, now)
        if reported_until is not None and reported_until > watch.cold_until:
            self._extend(watch, instance, config, reported_until, now)
        if instance.id in self._cold_until_by_id and now >= watch.cold_until:
            del self._cold_until_by_id[instance.id]
        return watch

    def _extend(
        self,
        watch: _Watch,
        instance: placement.RegisteredInstance,
        config: desired_state.ServiceConfig,
        until: float,
        now: float,
    ) -> None:
        """Record until when an instance is cold; start anew if it was not."""
        is_new = now >= watch.cold_until
        watch.cold_until = max(watch.cold_until, until)
        self._cold_until_by_id[instance.id] = watch.cold_until
        if is_new:
            watch.cold_since = now
            events.emit(
                327, instance=instance.id, left_ms=round(until - now), source="known"
            )
        self._finder(watch, instance, config).on_cold(watch.cold_until, now)

    def _finder(
        self,
        watch: _Watch,
        instance: placement.RegisteredInstance,
        config: desired_state.ServiceConfig,
    ) -> core.PaceFinder:
        if watch.finder is None:
            watch.finder = core.PaceFinder(
                instance.slots,
                core.cold_pace_per_s(config.warmup_per_s, self._bounds),
                self._typical_ms_by_service.get(
                    instance.service, placement.INITIAL_SERVICE_TIME_MS
                ),
            )
        return watch.finder

    def _known_finder(
        self, instance: placement.RegisteredInstance
    ) -> core.PaceFinder | None:
        watch = self._watch_by_id.get(instance.id)
        if watch is None or watch.born != instance.born:
            return None
        return watch.finder

    def _publish(
        self, watch: _Watch, instance: placement.RegisteredInstance, now: float
    ) -> None:
        """Publish the pace of an instance, at most once in a while."""
        if watch.finder is None or now < watch.published_at + PUBLICATION_INTERVAL_MS:
            return
        pace = watch.finder.pace_per_s(now)
        if pace is not None:
            watch.published_at = now
            self._paces.on_pace(instance.id, instance.born, round(pace, 1), now)

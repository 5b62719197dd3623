"""Keep the instances that are registered, also through outages of the registry."""

from collections.abc import Callable
from typing import NamedTuple

from . import core

REREGISTRATION_GRACE_MS = 2_200.0
"""Time after an outage for which an absent entry does not count as gone.

Entries that lapsed while the registry was away are back within about 2 s.
"""

MIN_OUTAGE_MS = 1_000.0
"""A shorter outage makes no entry lapse: that takes three missed heartbeats."""

MAX_STORED_INCARNATIONS = 2_000
"""Removed instances whose last life is remembered, so that late entries are ignored."""

Listener = Callable[
    [core.RegisteredInstance | None, core.RegisteredInstance | None], None
]
"""Called with an instance before and after a change; None where there is none."""


class _Life(NamedTuple):
    born: int
    sequence: int


class InstanceDirectory:
    """Hold the registered instances by id.

    ``now`` is in ms of a monotonic clock.
    """

    def __init__(self, on_change: Listener) -> None:
        self.instance_by_id: dict[str, core.RegisteredInstance] = {}
        self._on_change = on_change
        self._life_by_id: dict[str, _Life] = {}
        self._removal_due_by_id: dict[str, float] = {}
        self._returned_at: float | None = None
        self._away_since: float | None = None

    def on_unreachable(self, now: float) -> None:
        """Note that the registry does not answer."""
        if self._away_since is None:
            self._away_since = now

    def on_reachable(self, now: float) -> None:
        """Note that the registry answers."""
        since, self._away_since = self._away_since, None
        if since is not None and now >= since + MIN_OUTAGE_MS:
            self._returned_at = now

    def on_entry(self, instance: core.RegisteredInstance) -> None:
        """Take in an entry; entries older than the known one are ignored."""
        known = self._life_by_id.get(instance.id)
        life = _Life(instance.born, instance.sequence)
        if known is not None and life < known:
            return
        if known == life and instance.id not in self.instance_by_id:
            return
        self._remember(instance.id, life)
        self._removal_due_by_id.pop(instance.id, None)
        before = self.instance_by_id.get(instance.id)
        self.instance_by_id[instance.id] = instance
        if (
            before is None
            or before._replace(
                sequence=instance.sequence, warmup_left_ms=instance.warmup_left_ms
            )
            != instance
        ):
            self._on_change(before, instance)

    def on_removed(self, instance_id: str, now: float) -> None:
        """Take in a removal, at once or after the time of grace of an outage."""
        if instance_id not in self.instance_by_id:
            return
        if (
            self._returned_at is not None
            and now < self._returned_at + REREGISTRATION_GRACE_MS
        ):
            due = self._returned_at + REREGISTRATION_GRACE_MS
            self._removal_due_by_id.setdefault(instance_id, due)
            return
        self._remove(instance_id)

    def on_listing(self, instances: list[core.RegisteredInstance], now: float) -> None:
        """Take in the whole registry; what is missing is removed."""
        present = {instance.id for instance in instances}
        for instance in instances:
            self.on_entry(instance)
        for instance_id in [one for one in self.instance_by_id if one not in present]:
            self.on_removed(instance_id, now)

    def tick(self, now: float) -> None:
        """Carry out removals whose time of grace is over."""
        if self._away_since is not None:
            return
        due = [one for one, at in self._removal_due_by_id.items() if at <= now]
        for instance_id in due:
            del self._removal_due_by_id[instance_id]
            self._remove(instance_id)

    def _remove(self, instance_id: str) -> None:
        before = self.instance_by_id.pop(instance_id, None)
        if before is not None:
            self._on_change(before, None)

    def _remember(self, instance_id: str, life: _Life) -> None:
        self._life_by_id.pop(instance_id, None)
        self._life_by_id[instance_id] = life
        while len(self._life_by_id) > MAX_STORED_INCARNATIONS:
            oldest = next(iter(self._life_by_id))
            if oldest in self.instance_by_id:
                self._life_by_id[oldest] = self._life_by_id.pop(oldest)
                continue
            del self._life_by_id[oldest]

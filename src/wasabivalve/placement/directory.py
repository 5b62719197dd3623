"""Hold the registered instances, also through outages of the registry."""

import math
from collections.abc import Callable
from typing import NamedTuple

from . import core

REREGISTRATION_GRACE_MS = 2_200.0
"""Time after an outage for which the removal of an instance is deferred.

Entries that expired while the registry was unreachable return within about 2 s.
"""

MIN_OUTAGE_MS = 1_000.0
"""A shorter outage lets no entry expire: that takes three missed heartbeats."""

MIN_CONTACT_GAP_MS = 2_200.0
"""Least time without word of the registry in which entries may have expired.

A VM that follows the relays of another one may not notice an outage itself, if that one
has ended meanwhile.
"""

MAX_REMOVED_INSTANCES = 2_000
"""Removed instances that are stored, to ignore late entries."""

Listener = Callable[
    [core.RegisteredInstance | None, core.RegisteredInstance | None], None
]
"""Called with an instance before and after a change; None where there is none."""


class _EntryVersion(NamedTuple):
    born: int
    sequence: int


def _version(instance: core.RegisteredInstance) -> _EntryVersion:
    return _EntryVersion(instance.born, instance.sequence)


class InstanceDirectory:
    """Hold the registered instances by id.

    ``now`` is in ms of a monotonic clock. ``max_relay_gap_ms`` is the longest time
    without word of a reachable registry. ``is_configured`` tells of a service; an entry
    of any other one may be foreign, and keeps none of a configured service out.
    """

    def __init__(
        self,
        on_change: Listener,
        max_relay_gap_ms: float = 0.0,
        is_configured: Callable[[str], bool] = lambda service: True,
    ) -> None:
        self.instance_by_id: dict[str, core.RegisteredInstance] = {}
        self._on_change = on_change
        self._is_configured = is_configured
        self._min_contact_gap_ms = max(MIN_CONTACT_GAP_MS, max_relay_gap_ms)
        self._removed_by_id: dict[str, core.RegisteredInstance] = {}
        self._removal_due_by_id: dict[str, float] = {}
        self._recovered_at: float | None = None
        self._unreachable_since: float | None = None
        self._contact_at: float | None = None

    def on_unreachable(self, now: float) -> None:
        """Record that the registry does not respond."""
        if self._unreachable_since is None:
            self._unreachable_since = now

    def on_reachable(self, now: float) -> None:
        """Record that the registry responds, to this VM or to one that relays."""
        since, self._unreachable_since = self._unreachable_since, None
        contact_at, self._contact_at = self._contact_at, now
        was_unreachable = since is not None and now >= since + MIN_OUTAGE_MS
        was_silent = (
            contact_at is not None and now >= contact_at + self._min_contact_gap_ms
        )
        if was_unreachable or was_silent:
            self._recovered_at = now

    @property
    def seen_at(self) -> float:
        """Return the time of the newest word of the registry that removals follow.

        While removals are deferred after an outage, there is none.
        """
        if self._contact_at is None or self._unreachable_since is not None:
            return -math.inf
        if self.ms_since_recovery(self._contact_at) is not None:
            return -math.inf
        return self._contact_at

    def ms_since_recovery(self, now: float) -> float | None:
        """Return the time since an outage ended, None if removals are not deferred."""
        if self._recovered_at is None:
            return None
        elapsed_ms = now - self._recovered_at
        return elapsed_ms if elapsed_ms < REREGISTRATION_GRACE_MS else None

    def on_relayed_recovery(self, elapsed_ms: float, now: float) -> None:
        """Record how long ago an outage ended that a relaying VM noticed."""
        recovered_at = now - max(0.0, elapsed_ms)
        if self._recovered_at is None or recovered_at > self._recovered_at:
            self._recovered_at = recovered_at

    def on_entry(self, instance: core.RegisteredInstance) -> bool:
        """Apply a registry entry unless it is older than the stored version.

        Return whether it cancels a removal that was deferred.
        """
        before = self.instance_by_id.get(instance.id)
        stored = before or self._removed_by_id.get(instance.id)
        if stored is not None and not self._may_be_foreign(stored, instance):
            if _version(instance) < _version(stored):
                return False
            if _version(instance) == _version(stored) and before is None:
                return False
        self._removed_by_id.pop(instance.id, None)
        removal_due = self._removal_due_by_id.pop(instance.id, None)
        self.instance_by_id[instance.id] = instance
        if (
            before is None
            # An instance that became cold again says so; one that warms up need not.
            or instance.warmup_left_ms > before.warmup_left_ms
            or before._replace(
                sequence=instance.sequence, warmup_left_ms=instance.warmup_left_ms
            )
            != instance
        ):
            self._on_change(before, instance)
        return removal_due is not None

    def _may_be_foreign(
        self, stored: core.RegisteredInstance, instance: core.RegisteredInstance
    ) -> bool:
        """Return whether a stored entry must not keep another one out.

        A process that has just started may read a foreign entry before the
        instance's own one, or before it knows which services are configured.
        """
        return not self._is_configured(stored.service) and self._is_configured(
            instance.service
        )

    def on_removed(self, instance_id: str, now: float) -> None:
        """Remove an instance, at once or after the grace period of an outage."""
        if instance_id not in self.instance_by_id:
            return
        if (
            self._recovered_at is not None
            and now < self._recovered_at + REREGISTRATION_GRACE_MS
        ):
            due = self._recovered_at + REREGISTRATION_GRACE_MS
            self._removal_due_by_id.setdefault(instance_id, due)
            return
        self._remove(instance_id)

    def on_listing(self, instances: list[core.RegisteredInstance], now: float) -> None:
        """Apply a listing of the whole registry; absent instances are removed."""
        present = {instance.id for instance in instances}
        for instance in instances:
            self.on_entry(instance)
        for instance_id in [
            known_id for known_id in self.instance_by_id if known_id not in present
        ]:
            self.on_removed(instance_id, now)

    def tick(self, now: float) -> None:
        """Carry out deferred removals whose grace period has ended."""
        if self._unreachable_since is not None:
            return
        due_ids = [
            instance_id
            for instance_id, due in self._removal_due_by_id.items()
            if due <= now
        ]
        for instance_id in due_ids:
            del self._removal_due_by_id[instance_id]
            self._remove(instance_id)

    def _remove(self, instance_id: str) -> None:
        before = self.instance_by_id.pop(instance_id, None)
        if before is None:
            return
        removed = self._removed_by_id
        removed[instance_id] = before
        if len(removed) > MAX_REMOVED_INSTANCES:
            del removed[next(iter(removed))]
        self._on_change(before, None)

"""Decide what the reset of a connection by an instance says about the instance."""

import asyncio
from collections.abc import Callable

from wasabivalve import quarantine
from wasabivalve.placement import core as placement


class ResetWatch:
    """Record resets, and report those after which the instance is still registered."""

    def __init__(
        self,
        list_instances: Callable[[str], list[placement.RegisteredInstance]],
        on_survived: Callable[[quarantine.InstanceReset, float], None],
    ) -> None:
        self._resets = quarantine.InstanceResets()
        self._list_instances = list_instances
        self._on_survived = on_survived
        self._loop = asyncio.get_running_loop()

    def is_full(self, load: placement.InstanceLoad) -> bool:
        """Record a reset; return whether the instance was full and has not ended."""
        now = 1000.0 * self._loop.time()
        instance = load.instance
        may_be_full = load.estimated_requests(now) >= instance.slots
        return self._resets.on_reset(
            instance.service, instance.id, instance.born, may_be_full, now
        )

    def on_registry_seen(self, seen_at: float) -> None:
        """Report the instances that are registered long after a reset.

        ``seen_at`` in ms is the time of the newest word of the registry.
        """
        for reset in self._resets.take_survived(self._is_registered, seen_at):
            self._on_survived(reset, seen_at)

    def _is_registered(self, reset: quarantine.InstanceReset) -> bool:
        return any(
            (instance.id, instance.born) == (reset.instance, reset.born)
            for instance in self._list_instances(reset.service)
        )

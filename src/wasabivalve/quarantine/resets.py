"""Tell instances that reset connections when they are full from those that ended.

An instance that ends resets its connections too. The registry tells them apart, some
seconds later: an instance that is still registered with the same start time has not
ended.
"""

import math
from collections.abc import Callable
from typing import NamedTuple

SURVIVAL_MS = 5_000.0
"""Time after a reset from which a registered instance counts as not ended.

An instance that left must be known to all VMs within 2.5 s.
"""

FULL_RESETS_TTL_MS = 600_000.0
"""Time for which a service whose instances survived a reset is known for it."""

MAX_RESETS = 1_024
"""Resets that wait for the registry; the oldest ones are dropped."""


class InstanceReset(NamedTuple):
    """Hold a reset by one incarnation; ``reset_at`` in ms."""

    service: str
    instance: str
    born: int
    may_be_full: bool
    reset_at: float


class InstanceResets:
    """Hold the resets of instances and which services reset when they are full."""

    def __init__(self) -> None:
        self._resets: list[InstanceReset] = []
        self._known_until_by_service: dict[str, float] = {}

    def on_reset(
        self, service: str, instance: str, born: int, may_be_full: bool, now: float
    ) -> bool:
        """Record a reset; return whether the instance counts as full, not as ended.

        The first resets of a service count as ends until the registry contradicts
        them, so that a request which ends instances is kept from others at once.
        """
        self._resets.append(InstanceReset(service, instance, born, may_be_full, now))
        del self._resets[:-MAX_RESETS]
        return may_be_full and now < self._known_until_by_service.get(
            service, -math.inf
        )

    def take_survived(
        self, is_registered: Callable[[InstanceReset], bool], registry_seen_at: float
    ) -> list[InstanceReset]:
        """Return the resets after which the instance is still registered.

        ``registry_seen_at`` is the time in ms of the newest word of the registry; the
        resets shortly before are left for later.
        """
        decided = [
            reset
            for reset in self._resets
            if registry_seen_at >= reset.reset_at + SURVIVAL_MS
        ]
        if not decided:
            return []
        self._resets = self._resets[len(decided) :]
        survived = [reset for reset in decided if is_registered(reset)]
        for reset in survived:
            if not reset.may_be_full:
                continue
            known_until = reset.reset_at + FULL_RESETS_TTL_MS
            self._known_until_by_service[reset.service] = known_until
        return survived

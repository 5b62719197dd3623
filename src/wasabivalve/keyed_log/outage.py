"""Bound the calls to a store that does not respond.

Every follower of every VM would otherwise call again within half a second. Calls that
fail are billed like others, and a store that returns would be flooded by them.
"""

import asyncio
import math
import random
from collections.abc import Callable

MIN_PROBE_INTERVAL_S = 0.5
MAX_PROBE_INTERVAL_S = 2.0
"""Bounds of the interval between the calls of one VM to an unreachable store.

The recovery must be detected soon, also by a VM that no other VM can reach.
"""

PROBE_INTERVAL_S_PER_VM = 0.05
"""Share of a VM in the interval: the VMs of a region make 20 calls per second."""


def probe_interval_s(vm_count: int, is_relay: bool) -> float:
    """Return the time in s between the calls of one VM to an unreachable store.

    ``vm_count`` is the number of VMs of the region. Those that relay to the others
    detect the recovery for them.
    """
    if is_relay:
        return MIN_PROBE_INTERVAL_S
    return min(
        MAX_PROBE_INTERVAL_S,
        max(MIN_PROBE_INTERVAL_S, PROBE_INTERVAL_S_PER_VM * vm_count),
    )


class StoreOutage:
    """Let the followers of one VM take turns while the store is unreachable."""

    def __init__(
        self,
        interval_s: Callable[[], float],
        generator: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self._interval_s = interval_s
        self._generator = generator
        self._clock = clock
        self._probe_due_at = -math.inf
        self._ended = asyncio.Event()
        self._ended.set()

    @property
    def is_ongoing(self) -> bool:
        """Return whether the latest call failed and no VM reached the store since."""
        return not self._ended.is_set()

    def on_reachable(self) -> None:
        """Record a response of the store, or a relay of a VM that received one."""
        self._ended.set()

    def on_unreachable(self) -> None:
        """Record a call that failed."""
        if not self.is_ongoing:
            self._ended.clear()
            self._schedule_probe()

    async def wait_for_turn(self) -> bool:
        """Wait until a call may be made.

        Return False if the outage ended meanwhile, so that a relay may have made the
        call needless.
        """
        while self.is_ongoing:
            remaining_s = self._probe_due_at - self._clock()
            if remaining_s <= 0.0:
                self._schedule_probe()
                return True
            try:
                await asyncio.wait_for(self._ended.wait(), remaining_s)
            except TimeoutError:
                # Another follower may have taken the turn.
                continue
            return False
        return True

    def _schedule_probe(self) -> None:
        interval_s = self._interval_s() * self._generator.uniform(0.5, 1.0)
        self._probe_due_at = self._clock() + interval_s

"""Space large transfers so that a slow link keeps room for small ones.

A response of 90 KB occupies a link of 5 Mbit/s for 144 ms. Several of them at once
delay small responses, new connections and messages between VMs beyond their timeouts,
although the link is not full on average. This responds to bursts of such requests: they
start one after another at a share of the link's rate, and one that would wait for too
long is refused at once.
"""

import math

LARGE_TRANSFER_KB = 32.0
"""Size from which a transfer is spaced; smaller ones take a few ms on a slow link."""

LARGE_TRANSFER_SHARE = 0.6
"""Share of a link's rate for large transfers; the rest is for everything else."""

KILOBITS_PER_KB = 8.0


class BandwidthSchedule:
    """Schedule large transfers over one link; times are in ms, rates in Mbit/s."""

    def __init__(self, link_mbps: float) -> None:
        self._ms_per_kb = (
            KILOBITS_PER_KB / (LARGE_TRANSFER_SHARE * link_mbps)
            if 0.0 < link_mbps < math.inf
            else 0.0
        )
        self._free_at = -math.inf

    def reserve(self, kilobytes: float, max_wait_ms: float, now: float) -> float | None:
        """Return the time until a transfer may start, or None if that is too long."""
        if kilobytes < LARGE_TRANSFER_KB or not self._ms_per_kb:
            return 0.0
        start_at = max(now, self._free_at)
        if start_at - now > max_wait_ms:
            return None
        self._free_at = start_at + kilobytes * self._ms_per_kb
        return start_at - now

    def give_back(self, kilobytes: float, now: float) -> None:
        """Give back the room of a transfer that does not take place."""
        if kilobytes >= LARGE_TRANSFER_KB:
            free_at = self._free_at - kilobytes * self._ms_per_kb
            self._free_at = max(min(now, self._free_at), free_at)

    def wait_ms(self, now: float) -> float:
        """Return the time until the next large transfer may start."""
        return max(0.0, self._free_at - now)

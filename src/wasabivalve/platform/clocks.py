"""Read the clocks of a VM."""

import time

SECOND_MS = 1000.0


def boottime_ms() -> float:
    """Return the time since boot in ms, including time in suspend."""
    return SECOND_MS * time.clock_gettime(time.CLOCK_BOOTTIME)

"""Read the clocks of the machine."""

import time


def monotonic_ms() -> float:
    """Return the monotonic time in milliseconds."""
    return time.monotonic() * 1000.0


def wall_ms() -> float:
    """Return the Unix time in milliseconds; it may jump when the clock is set."""
    return time.time() * 1000.0

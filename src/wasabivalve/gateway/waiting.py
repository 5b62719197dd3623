"""Wait for an event that may make capacity available."""

import asyncio

MAX_SLEEP_S = 0.05
"""Longest sleep of a waiting request before it looks for capacity again.

Load estimates change with time, even if no event wakes the request.
"""


async def wait_for_event(wake: asyncio.Event, deadline_at: float) -> bool:
    """Wait for an event or a short time; return False after a deadline in s."""
    left_s = deadline_at - asyncio.get_running_loop().time()
    if left_s <= 0.0:
        return False
    wake.clear()
    try:
        await asyncio.wait_for(wake.wait(), min(MAX_SLEEP_S, left_s))
    except TimeoutError:
        # Load estimates change with time, so an instance may have capacity now.
        pass
    return True

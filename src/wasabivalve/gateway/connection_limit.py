"""Choose the connections of callers to close, so that descriptors are left for others.

The instances, the store and other VMs need descriptors as well. Nothing here depends on
a network.
"""

from collections.abc import Iterable
from typing import NamedTuple, TypeVar

CALLER_SHARE = 0.7
"""Share of the descriptors of a process that connections of callers may take."""

CLOSED_SHARE = 0.05
"""Share of the connections that is closed at once, so that few searches are needed."""

MIN_STALL_S = 0.5
"""Time in s without a byte after which a request that is being read may be dropped."""

Connection = TypeVar("Connection")


class Activity(NamedTuple):
    """Say what a connection is doing; ``read_at`` is when it was last read.

    ``is_receiving`` is true if nothing but the rest of a request is waited for, and
    ``is_idle`` if nothing is in progress.
    """

    is_receiving: bool
    is_idle: bool
    read_at: float


def max_connections(max_descriptors: float) -> float:
    """Return how many connections of callers a process may hold."""
    return CALLER_SHARE * max_descriptors


def choose_closed(
    activities: Iterable[tuple[Connection, Activity]], now: float, limit: float
) -> list[Connection]:
    """Return the connections to close when there are more than the limit.

    Requests whose callers have stopped sending go first, then connections without a
    request, in both cases those that were silent for longest.
    """
    stalled: list[tuple[float, int, Connection]] = []
    idle: list[tuple[float, int, Connection]] = []
    for index, (connection, activity) in enumerate(activities):
        row = (activity.read_at, index, connection)
        if activity.is_receiving and activity.read_at <= now - MIN_STALL_S:
            stalled.append(row)
        elif activity.is_idle:
            idle.append(row)
    count = max(1, int(CLOSED_SHARE * limit))
    chosen = (sorted(stalled) + sorted(idle))[:count]
    return [connection for _, _, connection in chosen]

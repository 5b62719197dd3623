"""Define holds of key ranges, their times, and what a controller calls."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable, Sequence
from typing import Literal, NamedTuple

from wasabivalve.placement import core as placement

from . import core, key_loads, view

HOLD_MS = 4_000.0
"""Time for which a grant holds; a lost controller is replaced within about 2.5 s."""

RENEWAL_MS = 1_200.0
"""Interval of renewals; two may be lost before a hold runs out."""

CLOCK_MARGIN = 1.03
"""A server's clock may run 2 % slow; the rest covers the way of the call."""

LATEST_ARRIVAL_MS = 1_300.0
"""Time after which a call without an answer certainly does not arrive any more.

It covers opening the connection, the time limit of the call and one way of the
network; the connection is reset then. The hold runs from the arrival.
"""

AUTHORITY_MS = 12_000.0
"""A controller renews for this long after the registry last confirmed it.

It rides out an outage of the store of that length. A successor waits as long before
it takes keys from an instance that does not answer, unless its predecessors yield.
"""

CALL_TIMEOUT_MS = 450.0
"""Time for a call to an instance; a round trip between regions takes 40 ms.

A hold of 4 s leaves time for five calls, of which one must be answered.
"""

NO_WRITE = -1
"""Number of a message about ranges whose recorded holder has not changed."""

GrantResult = Literal["granted", "refused", "rejected", "not_sent", "no_answer", "gone"]
"""A grant without an answer may arrive later; with any other result it does not.

``refused`` states that a higher token was seen, ``rejected`` any other failure;
``gone`` states that another instance has the address now: this one has ended.
"""

AppendResult = Literal["done", "moved", "refused", "unknown"]
"""A refused append was certainly not done; an unknown one may be done seconds later."""


class ReleaseResult(NamedTuple):
    """State that an instance gave up keys, with its handover if it gave one.

    An instance that ``ended`` holds nothing either.
    """

    handover: str | None
    ended: bool = False


class AssignmentLogTail(NamedTuple):
    """Hold the newest recorded map and the position of the next record."""

    assignment_map: core.AssignmentMap
    end_offset: int


class RemoteCalls(NamedTuple):
    """Give the controller its calls to the store and to instances.

    Times are in ms; ``now_ms`` also counts time for which the machine was suspended.
    """

    now_ms: Callable[[], float]
    read_log_tail: Callable[[], Awaitable[AssignmentLogTail | None]]
    append_assignment_map: Callable[[core.AssignmentMap, int], Awaitable[AppendResult]]
    grant: Callable[
        [placement.RegisteredInstance, int, int, int, float, str | None, float],
        Awaitable[GrantResult],
    ]
    release: Callable[
        [placement.RegisteredInstance, int, int, int, float],
        Awaitable[ReleaseResult | None],
    ]


class ControllerDependencies(NamedTuple):
    """Give the controller what other parts know."""

    partitioned_services: Callable[[], Sequence[str]]
    find_instance: Callable[[str], placement.RegisteredInstance | None]
    list_instances: Callable[[str], Sequence[placement.RegisteredInstance]]
    instance_capacity: Callable[[placement.RegisteredInstance], float]
    load_profile: Callable[[str], key_loads.LoadProfile]
    on_assignment_map: Callable[[core.AssignmentMap], None]
    on_ranges_moving: Callable[[list[view.MovingRange], float], None]
    on_ranges_confirmed: Callable[[int, int, str, list[core.RangeAssignment]], None]
    on_admission_shares: Callable[[dict[str, float]], None]
    request_yield: Callable[[str, int], None]


@dataclasses.dataclass(slots=True)
class RangeLease:
    """Hold what is known of one recorded range; times in ms of ``now_ms``."""

    service: str
    range: core.RangeAssignment
    token: int
    until: float
    due_at: float = 0.0
    answered: bool = False
    failing_since: float | None = None
    unanswered_until: float = 0.0
    held_until: float = 0.0
    unanswered_in_row: int = 0
    announced: bool = False
    frozen: bool = False
    free: bool = False
    handover: str | None = None
    last_known: placement.RegisteredInstance | None = None
    calls: set[asyncio.Task[None]] = dataclasses.field(default_factory=set)

    @property
    def ends_at(self) -> float:
        """Return when the range is certainly not held any more, if not renewed.

        ``until`` bounds the grants that were answered and those of earlier terms.
        """
        return max(self.until, self.unanswered_until)


def split(
    all_holds: Sequence[RangeLease], service: str, first: int, last: int
) -> list[RangeLease]:
    """Return the holds, with holds of its own for the range from first to last."""
    result: list[RangeLease] = []
    for hold in all_holds:
        one = hold.range
        if hold.service != service or one.last < first or one.first > last:
            result.append(hold)
            continue
        inside = one._replace(first=max(one.first, first), last=min(one.last, last))
        parts = [*core.cut((one,), first, last), inside]
        result += [dataclasses.replace(hold, range=part) for part in parts]
    return result

"""Define leases of key ranges, their durations and the controller's interfaces."""

import asyncio
import dataclasses
import math
from collections.abc import Awaitable, Callable, Iterable, Sequence
from typing import Literal, NamedTuple

from wasabivalve.placement import core as placement

from . import core, key_loads, view

LEASE_DURATION_MS = 4_000.0
"""Duration of a granted lease; a lost controller is replaced within about 2.5 s."""

RENEWAL_INTERVAL_MS = 1_200.0
"""Interval of renewals; two may be lost before a lease expires."""

CLOCK_MARGIN_FACTOR = 1.03
"""An instance's clock may run 2 % slow; the rest covers the transit of the call."""

MAX_ARRIVAL_DELAY_MS = 1_300.0
"""Time after which an unanswered call can no longer arrive.

It covers opening the connection, the timeout of the call and one network transit; the
connection is reset then. A lease runs from the arrival of its grant.
"""

AUTHORITY_TIMEOUT_MS = 12_000.0
"""Time for which a controller renews after the registry last confirmed it as leader.

Leases thus survive a store outage of that length. A successor waits as long before it
reassigns the keys of an instance that does not answer, unless its predecessors yield.
"""

UNLISTED_AUTHORITY_TIMEOUT_MS = 2_000.0
"""As above, for a VM that a restored store may not list.

Nobody can ask such a VM to yield, so that a successor always waits as long. It is more
than the time after which the registry elects another VM.
"""

COPY_AGE_LIMIT_MS = 15_000.0
"""Greatest age of a copy from which a store that names its era comes back.

A VM that was listed for as long is in each copy.
"""

CALL_TIMEOUT_MS = 450.0
"""Timeout of a call to an instance; a round trip between regions takes 40 ms.

A lease of 4 s leaves time for five calls, of which one must be answered.
"""

NO_WRITE_NUMBER = -1
"""Write number of a confirmation of ranges whose assigned holder has not changed."""

GrantResult = Literal["granted", "refused", "rejected", "not_sent", "no_answer", "gone"]
"""A grant without an answer may still arrive later; with any other result it does not.

``refused`` means that the instance has seen a higher token, ``rejected`` any other
failure; ``gone`` means that another instance now has the address, so this one ended.
"""

AppendResult = Literal["done", "moved", "refused", "unknown"]
"""A refused append was certainly not done; an unknown one may be done seconds later.

``moved`` means that the log ended at another offset than expected.
"""


class ReleaseResult(NamedTuple):
    """Report that an instance released keys, with its handover value if it sent one.

    An instance that has ``ended`` holds no keys either.
    """

    handover: str | None
    ended: bool = False


class AssignmentLogTail(NamedTuple):
    """Hold the newest map in the assignment log and the offset of the next record.

    ``era`` is that of the store that answered.
    """

    assignment_map: core.AssignmentMap
    end_offset: int
    era: int = 0


class RemoteCalls(NamedTuple):
    """Hold the clock of a controller and its calls to the store and to instances.

    Times are in ms, but lease durations in s; ``now_ms`` also counts time for which
    the machine was suspended. An append names the offset and the era of the store at
    which it is valid; ``store_era`` returns the newest era that this VM has seen, and
    ``era_seen_at_ms`` when it first saw that one, None if the store names none. A grant
    takes ``is_fencing`` last: its answer must be its own, not a copy of an earlier one.
    """

    now_ms: Callable[[], float]
    read_log_tail: Callable[[], Awaitable[AssignmentLogTail | None]]
    append_assignment_map: Callable[
        [core.AssignmentMap, int, int], Awaitable[AppendResult]
    ]
    grant: Callable[
        [placement.RegisteredInstance, int, int, int, float, str | None, float, bool],
        Awaitable[GrantResult],
    ]
    release: Callable[
        [placement.RegisteredInstance, int, int, int, float],
        Awaitable[ReleaseResult | None],
    ]
    store_era: Callable[[], int] = lambda: 0
    era_seen_at_ms: Callable[[], float | None] = lambda: None


class ControllerDependencies(NamedTuple):
    """Hold the queries and notifications by which a controller uses other parts.

    ``known_map`` returns the newest map that this VM has seen, ``known_vms`` the names
    of all VMs that may have been controller, ``listed_since_ms`` since when the store
    lists this one.
    """

    partitioned_services: Callable[[], Sequence[str]]
    find_instance: Callable[[str], placement.RegisteredInstance | None]
    list_instances: Callable[[str], Sequence[placement.RegisteredInstance]]
    capacity_per_s: Callable[[placement.RegisteredInstance], float]
    service_loads: Callable[[str], key_loads.ServiceLoads]
    on_assignment_map: Callable[[core.AssignmentMap], object]
    on_ranges_moving: Callable[[list[view.MovingRange], float], None]
    on_ranges_confirmed: Callable[[int, int, str, list[core.RangeAssignment]], None]
    on_admission_shares: Callable[[dict[str, float], dict[str, dict[int, float]]], None]
    request_yield: Callable[[str, int], None]
    is_warming: Callable[[placement.RegisteredInstance], bool] = lambda instance: False
    known_map: Callable[[], core.AssignmentMap] = lambda: core.EMPTY_MAP
    known_vms: Callable[[], Iterable[str]] = lambda: ()
    listed_since_ms: Callable[[], float] = lambda: -math.inf


@dataclasses.dataclass(slots=True)
class RangeLease:
    """Hold the state of the lease of one assigned range; times in ms of ``now_ms``.

    ``granted_expiry_ms`` bounds the confirmed grants and those of earlier terms,
    ``unanswered_expiry_ms`` the unanswered ones, ``unproved_expiry_ms`` those whose
    answer may be a copy of an earlier one. Until ``earliest_expiry_ms`` the
    holder certainly has the lease. While ``renewals_stopped`` no renewal is sent;
    each attempt of a release may still send one fencing grant. A ``reassignable`` range
    has no holder any more. A ``held`` one is not granted, as the store may have lost
    that another instance holds it. If the range was announced to VMs as moving, its
    next confirmed grant is announced too.
    """

    service: str
    range: core.RangeAssignment
    token: int
    granted_expiry_ms: float
    renewal_due_ms: float = 0.0
    confirmed: bool = False
    failing_since_ms: float | None = None
    unanswered_expiry_ms: float = 0.0
    unproved_expiry_ms: float = 0.0
    earliest_expiry_ms: float = 0.0
    consecutive_unanswered: int = 0
    announced_moving: bool = False
    renewals_stopped: bool = False
    reassignable: bool = False
    held: bool = False
    handover: str | None = None
    last_known_instance: placement.RegisteredInstance | None = None
    pending_grants: set[asyncio.Task[None]] = dataclasses.field(default_factory=set)

    @property
    def latest_expiry_ms(self) -> float:
        """Return when the lease has certainly expired if it is not renewed."""
        return max(self.granted_expiry_ms, self.unanswered_expiry_ms)


class LeaseTable:
    """Hold the leases of a controller's term."""

    def __init__(self) -> None:
        self.leases: list[RangeLease] = []

    def of_service(self, service: str) -> list[RangeLease]:
        """Return the leases of one service."""
        return [lease for lease in self.leases if lease.service == service]


def split_leases(
    all_leases: Sequence[RangeLease], service: str, first: int, last: int
) -> list[RangeLease]:
    """Return the leases, with separate leases for the range from first to last."""
    result: list[RangeLease] = []
    for lease in all_leases:
        whole = lease.range
        if lease.service != service or whole.last < first or whole.first > last:
            result.append(lease)
            continue
        inside = whole._replace(
            first=max(whole.first, first), last=min(whole.last, last)
        )
        parts = [*core.subtract_range((whole,), first, last), inside]
        result += [dataclasses.replace(lease, range=part) for part in parts]
    return result

"""Define the messages between a VM that needs a slot and the VM that assigns them.

Most of them cross data centres, where bytes are paid for: tags are short, and times are
whole ms.
"""

import enum

import msgspec


class ReplyState(enum.IntEnum):
    """Say what became of a request for a slot.

    ``ELSEWHERE`` names the dispatcher of another region that has free slots;
    ``NO_INSTANCE`` means that no region is known to have a working instance, and
    ``UNAVAILABLE`` that the receiver assigns no slots now.
    """

    GRANTED = 0
    QUEUED = 1
    REFUSED = 2
    ELSEWHERE = 3
    UNAVAILABLE = 4
    NO_INSTANCE = 5


class SlotResult(enum.IntEnum):
    """Say how the use of a slot ended.

    ``UNUSED`` includes requests whose caller left; ``REFUSED`` requests were certainly
    not run; ``NOT_CONNECTED`` and ``FAILED`` differ in whether bytes were sent. A
    ``FULL`` instance reset the connection, as those of its service do when full.
    """

    DONE = 0
    UNUSED = 1
    ERROR = 2
    REFUSED = 3
    NOT_CONNECTED = 4
    FAILED = 5
    FULL = 6


class SlotRequest(msgspec.Struct, array_like=True, frozen=True, tag="sq"):
    """Ask for a slot; a repetition has the same ``number``.

    ``target_left_ms`` is the time until the target latency, ``max_wait_ms`` the longest
    time in the queue, ``time_left_ms`` the time until the request fails. ``only`` names
    the holder of the request's key, which no other instance can replace. Only instances
    in ``allowed_regions`` may serve the request; empty allows all regions. One that
    ``has_large_response`` stays in its region while it can be on time there.
    """

    vm: str
    number: int
    data_centre: str
    service: str
    route: str
    rank: int
    target_latency_ms: int
    target_left_ms: int
    max_wait_ms: int
    time_left_ms: int
    excluded: list[str]
    may_go_elsewhere: bool
    only: str = ""
    allowed_regions: list[str] = []
    has_large_response: bool = False


class SlotReply(msgspec.Struct, array_like=True, frozen=True, tag="sr"):
    """Answer a request for a slot.

    ``instance`` and ``born`` name the incarnation whose slot is granted; ``instance``
    is a dispatcher for ``ELSEWHERE``. ``wait_ms`` is the expected response time of a
    granted slot, and the expected wait otherwise.
    """

    vm: str
    number: int
    state: ReplyState
    instance: str = ""
    born: int = 0
    wait_ms: int = 0


class SlotRelease(msgspec.Struct, array_like=True, frozen=True, tag="sl"):
    """Give a slot back, or leave the queue.

    ``service_time_ms`` is the time until the response without the round trip;
    ``reported_requests`` is the load that the response reported, negative if none, and
    ``slowness`` that of the machine, 0 if none.
    """

    vm: str
    number: int
    result: SlotResult
    service_time_ms: int = 0
    reported_requests: int = -1
    kilobytes: float = 0.0
    slowness: float = 0.0


class SlotsHeld(msgspec.Struct, array_like=True, frozen=True, tag="sh"):
    """List all slots that a VM holds from a dispatcher."""

    vm: str
    numbers: list[int]


class FreeSlots(msgspec.Struct, array_like=True, frozen=True, tag="sf"):
    """Report the free slots of a region by service to dispatchers of other regions."""

    vm: str
    region: str
    free_by_service: dict[str, int]


DispatchMessage = SlotRequest | SlotReply | SlotRelease | SlotsHeld | FreeSlots

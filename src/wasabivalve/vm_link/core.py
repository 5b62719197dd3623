"""Send and receive the messages of entry VMs as datagrams.

Any datagram may be lost. Each message therefore carries what its receiver needs to
detect a gap, after which the receiver reads from the store itself.
"""

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec

from wasabivalve import events, shared_facts
from wasabivalve.keyed_log import store_era
from wasabivalve.placement import service_times
from wasabivalve.slot_dispatch import messages as dispatch_messages

MAX_DATAGRAM_BYTES = 1_200
"""Payload that fits into one packet on every network path."""

MAX_MULTICAST_BYTES = 1_140
"""Size of a message that may be sent on; the rest of a packet names its origin."""

SocketAddress = tuple[str, int]


class RelayedRecord(msgspec.Struct, array_like=True, frozen=True):
    """Hold one record that the sender has read; a value of None removes the key."""

    offset: int
    key: str
    value: bytes | None


class TopicRelay(msgspec.Struct, array_like=True, frozen=True, tag="relay"):
    """Report how far a VM has read each topic, with the new records of one topic.

    ``leads`` is true if the sender is the controller. ``records`` are the records of
    ``topic`` from offset ``first`` to its end in ``end_by_topic`` that change anything.
    ``key_term`` and ``key_number`` identify the newest assignment map.
    ``recovered_ms`` is the time since the sender noticed the end of an outage of the
    store, None if that is long ago. The offsets are those of the store's ``era``.
    """

    vm: str
    leads: bool
    end_by_topic: dict[str, int]
    topic: str
    first: int
    records: list[RelayedRecord]
    key_term: int
    key_number: int
    recovered_ms: float | None = None
    era: int = store_era.NO_ERA


class TrafficReport(msgspec.Struct, array_like=True, frozen=True, tag="keys"):
    """Report the requests of a VM by service and key since its last report.

    ``response_times`` holds the number of responses since then and the sum of their
    service times in ms by service, route and instance.
    """

    vm: str
    counts_by_service: dict[str, dict[int, int]]
    response_times: dict[str, dict[str, dict[str, service_times.ResponseTimes]]]


class RangesMoving(msgspec.Struct, array_like=True, frozen=True, tag="moving"):
    """Report ranges (service, first, last) that have no holder for ``pause_ms``."""

    vm: str
    ranges: list[tuple[str, int, int]]
    pause_ms: float


class RangesConfirmed(msgspec.Struct, array_like=True, frozen=True, tag="settled"):
    """Report ranges (first, last, instance, born) confirmed by their new holders.

    ``is_complete`` is false if other messages carry further ranges of the same change.
    """

    vm: str
    term: int
    number: int
    service: str
    ranges: list[tuple[int, int, str, int]]
    is_complete: bool


class AdmissionShares(msgspec.Struct, array_like=True, frozen=True, tag="shares"):
    """Report the shares of requests for instances and hot keys that can be served."""

    vm: str
    share_by_instance: dict[str, float]
    share_by_key_by_service: dict[str, dict[int, float]]


class InFlightCounts(msgspec.Struct, array_like=True, frozen=True, tag="in-flight"):
    """Report how many requests of a VM are in flight at each instance."""

    vm: str
    count_by_instance: dict[str, int]


class SharedFacts(msgspec.Struct, array_like=True, frozen=True, tag="facts"):
    """Report facts that bind all VMs."""

    vm: str
    facts: list[shared_facts.Fact]


class YieldRequest(msgspec.Struct, array_like=True, frozen=True, tag="claimed"):
    """Ask a previous controller to issue no commands in any term before ``term``."""

    vm: str
    term: int


class YieldReply(msgspec.Struct, array_like=True, frozen=True, tag="yielded"):
    """Confirm that a VM issues no commands in any term before ``term``.

    ``left_ms_by_instance`` is the time in ms for which its grants at failing instances
    remain valid.
    """

    vm: str
    term: int
    left_ms_by_instance: dict[str, float]


class Multicast(msgspec.Struct, array_like=True, frozen=True, tag="multicast"):
    """Carry an encoded message from the VM at ``origin``.

    If ``send_on`` is true, the receiver passes it to the VMs of its data centre.
    """

    origin: SocketAddress
    send_on: bool
    content: bytes


Message = (
    TopicRelay
    | TrafficReport
    | RangesMoving
    | RangesConfirmed
    | AdmissionShares
    | InFlightCounts
    | SharedFacts
    | YieldRequest
    | YieldReply
    | Multicast
    | dispatch_messages.DispatchMessage
)
OnMessage = Callable[[Message, SocketAddress], None]

_DECODER = msgspec.msgpack.Decoder(Message)
_ENCODER = msgspec.msgpack.Encoder()


def encode(message: Message) -> bytes:
    """Return the bytes of a message."""
    return _ENCODER.encode(message)


def decode(data: bytes) -> Message | None:
    """Return the decoded message, or None if the bytes are not a valid message."""
    try:
        return _DECODER.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None


class DatagramEndpoint(asyncio.DatagramProtocol):
    """Send and receive messages over the UDP socket of a VM.

    ``sent_bytes_by_kind`` counts payloads by the class of their message.
    """

    def __init__(self, on_message: OnMessage) -> None:
        self._on_message = on_message
        self._transport: asyncio.DatagramTransport | None = None
        self.sent_bytes_by_kind: dict[str, int] = {}

    async def start(self, host: str, port: int) -> None:
        """Bind the socket to an address; raise OSError if that fails."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, (host, port))

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: Any) -> None:
        """Store the transport of the bound socket."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: SocketAddress) -> None:
        """Pass a message to the callback; log and drop other data."""
        message = decode(data)
        if message is None:
            events.emit(100, sender=addr[0], size=len(data))
            return
        self._on_message(message, addr)

    def error_received(self, exc: Exception) -> None:
        """Log that a datagram did not reach its VM, which detects the gap itself."""
        events.emit(103, error=str(exc))

    def send(self, message: Message, address: SocketAddress) -> bool:
        """Send a message; return False if it exceeds a packet or no socket is open."""
        data = encode(message)
        if self._transport is None or len(data) > MAX_DATAGRAM_BYTES:
            return False
        self._transport.sendto(data, address)
        kind = type(message).__name__
        self.sent_bytes_by_kind[kind] = self.sent_bytes_by_kind.get(kind, 0) + len(data)
        return True

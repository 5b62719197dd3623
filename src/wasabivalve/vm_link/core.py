"""Send and receive the messages of entry VMs as datagrams.

Every message may be lost: each carries what its receiver needs to notice a gap, and
the receiver then asks the store itself.
"""

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec

from wasabivalve import events

MAX_DATAGRAM_BYTES = 1_200
"""Bytes that fit into one packet on every network path."""

SocketAddress = tuple[str, int]


class RelayedRecord(msgspec.Struct, array_like=True, frozen=True):
    """Hold one record that the controller read; one without a value removes a key."""

    offset: int
    key: str
    value: bytes | None


class TopicRelay(msgspec.Struct, array_like=True, frozen=True, tag="relay"):
    """State how far a VM has read each topic; ``leads`` if it is the controller.

    ``records`` are those of one topic from ``first`` to its end that change anything;
    ``key_term`` and ``key_number`` name the newest map of keys.
    """

    vm: str
    leads: bool
    end_by_topic: dict[str, int]
    topic: str
    first: int
    records: list[RelayedRecord]
    key_term: int
    key_number: int


class TrafficReport(msgspec.Struct, array_like=True, frozen=True, tag="keys"):
    """Count the requests of a VM by service and key since its last one.

    ``speeds_by_instance`` holds the number of answers of each instance since then, and
    the sum of their slowness, relative to what such requests usually take.
    """

    vm: str
    counts_by_service: dict[str, dict[int, int]]
    speeds_by_instance: dict[str, tuple[int, float]]


class RangesMoving(msgspec.Struct, array_like=True, frozen=True, tag="moving"):
    """Name ranges (service, first, last) that have no holder for some ms."""

    vm: str
    ranges: list[tuple[str, int, int]]
    pause_ms: float


class RangesConfirmed(msgspec.Struct, array_like=True, frozen=True, tag="settled"):
    """Name ranges (first, last, instance, born) that their new holders confirmed."""

    vm: str
    term: int
    number: int
    service: str
    ranges: list[tuple[int, int, str, int]]


class AdmissionShares(msgspec.Struct, array_like=True, frozen=True, tag="shares"):
    """Name the share of its requests that each overloaded instance can serve."""

    vm: str
    share_by_instance: dict[str, float]


class InFlightCounts(msgspec.Struct, array_like=True, frozen=True, tag="in-flight"):
    """Count the requests that a VM has at each instance now."""

    vm: str
    count_by_instance: dict[str, int]


class YieldRequest(msgspec.Struct, array_like=True, frozen=True, tag="claimed"):
    """Ask a VM that led in an earlier term to order nothing in it any more."""

    vm: str
    term: int


class YieldReply(msgspec.Struct, array_like=True, frozen=True, tag="yielded"):
    """State that a VM orders nothing in any term before this one.

    ``left_ms_by_instance`` tells how long its grants last at failing instances.
    """

    vm: str
    term: int
    left_ms_by_instance: dict[str, float]


Message = (
    TopicRelay
    | TrafficReport
    | RangesMoving
    | RangesConfirmed
    | AdmissionShares
    | InFlightCounts
    | YieldRequest
    | YieldReply
)
OnMessage = Callable[[Message, SocketAddress], None]

_DECODER = msgspec.msgpack.Decoder(Message)
_ENCODER = msgspec.msgpack.Encoder()


def encode(message: Message) -> bytes:
    """Return the bytes of a message."""
    return _ENCODER.encode(message)


def decode(data: bytes) -> Message | None:
    """Return a message, or None for bytes that are none."""
    try:
        return _DECODER.decode(data)
    except msgspec.DecodeError:
        return None


class DatagramEndpoint(asyncio.DatagramProtocol):
    """Hold the socket of a VM."""

    def __init__(self, on_message: OnMessage) -> None:
        self._on_message = on_message
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, host: str, port: int) -> None:
        """Receive on an address."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, (host, port))

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: Any) -> None:
        """Take the transport."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: SocketAddress) -> None:
        """Pass on a message; others are logged and dropped."""
        message = decode(data)
        if message is None:
            events.emit(100, sender=addr[0], size=len(data))
            return
        self._on_message(message, addr)

    def error_received(self, exc: Exception) -> None:
        """Log that a datagram did not reach its VM; its receiver notices the gap."""
        events.emit(103, error=str(exc))

    def send(self, message: Message, address: SocketAddress) -> bool:
        """Send a message; return False for one that is too large for a packet."""
        data = encode(message)
        if self._transport is None or len(data) > MAX_DATAGRAM_BYTES:
            return False
        self._transport.sendto(data, address)
        return True

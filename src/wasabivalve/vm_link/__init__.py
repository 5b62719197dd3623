"""Datagrams between entry VMs."""

from .core import (
    LARGEST_DATAGRAM,
    Claimed,
    InFlight,
    KeyReport,
    Link,
    Message,
    Moving,
    Relay,
    RelayedRecord,
    Settled,
    Shares,
    Yielded,
    decode,
    encode,
)

__all__ = [
    "LARGEST_DATAGRAM",
    "Claimed",
    "InFlight",
    "KeyReport",
    "Link",
    "Message",
    "Moving",
    "Relay",
    "RelayedRecord",
    "Settled",
    "Shares",
    "Yielded",
    "decode",
    "encode",
]

"""Datagrams between entry VMs."""

from .core import (
    LARGEST_DATAGRAM,
    KeyReport,
    Link,
    Message,
    Moving,
    Relay,
    RelayedRecord,
    Settled,
    Shares,
    decode,
    encode,
)

__all__ = [
    "LARGEST_DATAGRAM",
    "KeyReport",
    "Link",
    "Message",
    "Moving",
    "Relay",
    "RelayedRecord",
    "Settled",
    "Shares",
    "decode",
    "encode",
]

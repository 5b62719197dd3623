"""Datagram messages between entry VMs."""

from .core import (
    MAX_DATAGRAM_BYTES,
    MAX_MULTICAST_BYTES,
    AdmissionShares,
    DatagramEndpoint,
    InFlightCounts,
    Message,
    Multicast,
    RangesConfirmed,
    RangesMoving,
    RelayedRecord,
    TopicRelay,
    TrafficReport,
    YieldReply,
    YieldRequest,
    decode,
    encode,
)

__all__ = [
    "MAX_DATAGRAM_BYTES",
    "MAX_MULTICAST_BYTES",
    "AdmissionShares",
    "DatagramEndpoint",
    "InFlightCounts",
    "Message",
    "Multicast",
    "RangesConfirmed",
    "RangesMoving",
    "RelayedRecord",
    "TopicRelay",
    "TrafficReport",
    "YieldReply",
    "YieldRequest",
    "decode",
    "encode",
]

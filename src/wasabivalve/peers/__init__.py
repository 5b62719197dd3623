"""Messages between entry VMs."""

from .codec import MESSAGE_TYPE_BY_KIND, decode, encode
from .core import Bus, BusOptions, IncomingMessage, PeerLostError

__all__ = [
    "MESSAGE_TYPE_BY_KIND",
    "Bus",
    "BusOptions",
    "IncomingMessage",
    "PeerLostError",
    "decode",
    "encode",
]

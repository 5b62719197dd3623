"""Exclusive ownership of keys: terms, authority, leases and key ranges."""

from .key_ranges import POSITIONS, position_of_key
from .server_lease import HeldRange, OwnershipCommand, OwnershipReply, ServerLease
from .token import NO_TOKEN, Token

__all__ = [
    "NO_TOKEN",
    "POSITIONS",
    "HeldRange",
    "OwnershipCommand",
    "OwnershipReply",
    "ServerLease",
    "Token",
    "position_of_key",
]

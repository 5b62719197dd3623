"""Exclusive ownership of keys: terms, authority, leases and key ranges."""

from .key_ranges import (
    POSITIONS,
    KeyRange,
    RangeError,
    RangeMap,
    initial_ranges,
    position_of_key,
)
from .server_lease import HeldRange, OwnershipCommand, OwnershipReply, ServerLease
from .token import NO_TOKEN, Token

__all__ = [
    "NO_TOKEN",
    "POSITIONS",
    "HeldRange",
    "KeyRange",
    "OwnershipCommand",
    "OwnershipReply",
    "RangeError",
    "RangeMap",
    "ServerLease",
    "Token",
    "initial_ranges",
    "position_of_key",
]

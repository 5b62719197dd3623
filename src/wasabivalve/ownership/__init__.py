"""Exclusive ownership of keys: terms, authority, leases and key ranges."""

from .authority import Authority
from .controller import ShardController
from .key_ranges import POSITIONS, position_of_key
from .promises import PromiseGiver
from .replay import Applied, ControlState
from .server_lease import HeldRange, OwnershipCommand, OwnershipReply, ServerLease
from .token import NO_TOKEN, Token

__all__ = [
    "NO_TOKEN",
    "POSITIONS",
    "Applied",
    "Authority",
    "ControlState",
    "HeldRange",
    "OwnershipCommand",
    "OwnershipReply",
    "PromiseGiver",
    "ServerLease",
    "ShardController",
    "Token",
    "position_of_key",
]

"""Exclusive ownership of keys: terms, authority, leases and key ranges."""

from .authority import Authority
from .balance import Move, MoveBudget, Policy, apply_moves, plan_moves
from .controller import ShardController
from .hot_keys import HotKey, SpaceSaving
from .key_ranges import (
    POSITIONS,
    KeyRange,
    RangeError,
    RangeMap,
    initial_ranges,
    position_of_key,
)
from .load_meter import LoadMeter
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
    "HotKey",
    "KeyRange",
    "LoadMeter",
    "Move",
    "MoveBudget",
    "OwnershipCommand",
    "OwnershipReply",
    "Policy",
    "PromiseGiver",
    "RangeError",
    "RangeMap",
    "ServerLease",
    "ShardController",
    "SpaceSaving",
    "Token",
    "apply_moves",
    "initial_ranges",
    "plan_moves",
    "position_of_key",
]

"""Exclusive ownership of keys: terms, authority, leases and key ranges."""

from .authority import Authority
from .balance import BalancePolicy, MoveBudget, OwnershipMove, apply_moves, plan_moves
from .controller import ShardController
from .fencing import NO_TOKEN, FencingToken
from .hot_keys import HotKey, SpaceSaving
from .key_ranges import (
    POSITION_COUNT,
    PositionRange,
    RangeError,
    RangeMap,
    initial_ranges,
    position_of_key,
)
from .load_meter import LoadMeter
from .promises import PromiseGranter
from .replay import ControlRecordResult, ControlState
from .server_lease import HeldRange, OwnershipCommand, OwnershipReply, ServerLease

__all__ = [
    "NO_TOKEN",
    "POSITION_COUNT",
    "Authority",
    "BalancePolicy",
    "ControlRecordResult",
    "ControlState",
    "FencingToken",
    "HeldRange",
    "HotKey",
    "LoadMeter",
    "MoveBudget",
    "OwnershipCommand",
    "OwnershipMove",
    "OwnershipReply",
    "PositionRange",
    "PromiseGranter",
    "RangeError",
    "RangeMap",
    "ServerLease",
    "ShardController",
    "SpaceSaving",
    "apply_moves",
    "initial_ranges",
    "plan_moves",
    "position_of_key",
]

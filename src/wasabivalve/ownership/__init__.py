"""Exclusive ownership of keys: terms, authority, leases and key ranges."""

from .balance import Move, MoveBudget, Policy, apply_moves, plan_moves
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
from .token import NO_TOKEN, Token

__all__ = [
    "NO_TOKEN",
    "POSITIONS",
    "HotKey",
    "KeyRange",
    "LoadMeter",
    "Move",
    "MoveBudget",
    "Policy",
    "RangeError",
    "RangeMap",
    "SpaceSaving",
    "Token",
    "apply_moves",
    "initial_ranges",
    "plan_moves",
    "position_of_key",
]

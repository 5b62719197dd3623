"""Exclusive ownership of keys: terms, authority, leases and key ranges."""

from .key_ranges import (
    POSITIONS,
    KeyRange,
    RangeError,
    RangeMap,
    initial_ranges,
    position_of_key,
)
from .token import NO_TOKEN, Token

__all__ = [
    "NO_TOKEN",
    "POSITIONS",
    "KeyRange",
    "RangeError",
    "RangeMap",
    "Token",
    "initial_ranges",
    "position_of_key",
]

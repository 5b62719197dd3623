"""Exclusive ownership of keys: terms, authority, leases and key ranges."""

from .key_ranges import POSITIONS, position_of_key
from .token import NO_TOKEN, Token

__all__ = ["NO_TOKEN", "POSITIONS", "Token", "position_of_key"]

"""Exclusive holds of key ranges that a controller grants to instances."""

from .controller import Calls, Controller
from .core import KeyMap, KeyRange, decode, encode
from .planning import plan_loss, plan_moves

__all__ = [
    "Calls",
    "Controller",
    "KeyMap",
    "KeyRange",
    "decode",
    "encode",
    "plan_loss",
    "plan_moves",
]

"""Exclusive holds of key ranges that a controller grants to instances."""

from .controller import Controller
from .core import KeyMap, KeyRange, decode, encode
from .key_loads import KeyLoads, LoadProfile
from .planning import plan_loss, plan_moves
from .view import Holder, KeyView, MovingRange

__all__ = [
    "Controller",
    "Holder",
    "KeyLoads",
    "KeyMap",
    "KeyRange",
    "KeyView",
    "LoadProfile",
    "MovingRange",
    "decode",
    "encode",
    "plan_loss",
    "plan_moves",
]

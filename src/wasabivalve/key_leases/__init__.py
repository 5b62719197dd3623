"""Exclusive leases of key ranges that a controller grants to instances."""

from .controller import KeyLeaseController
from .core import AssignmentMap, RangeAssignment, decode, encode
from .key_loads import KeyLoads, LoadProfile
from .planning import plan_balancing_moves, plan_reassignment
from .view import KeyHolder, KeyView, MovingRange

__all__ = [
    "AssignmentMap",
    "KeyHolder",
    "KeyLeaseController",
    "KeyLoads",
    "KeyView",
    "LoadProfile",
    "MovingRange",
    "RangeAssignment",
    "decode",
    "encode",
    "plan_balancing_moves",
    "plan_reassignment",
]

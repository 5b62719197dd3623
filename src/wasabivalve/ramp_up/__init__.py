"""Find the pace that a starting or recovering instance sustains, and keep to it."""

from .core import PaceFinder, WarmupBounds, cold_pace_per_s
from .limits import PacedLimits

__all__ = [
    "PaceFinder",
    "PacedLimits",
    "WarmupBounds",
    "cold_pace_per_s",
]

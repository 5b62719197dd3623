"""Detection and quarantine of requests that crash instances."""

from .core import CrashTracker, RunDecision
from .resets import InstanceReset, InstanceResets
from .shared import SharedQuarantine

__all__ = [
    "CrashTracker",
    "InstanceReset",
    "InstanceResets",
    "RunDecision",
    "SharedQuarantine",
]

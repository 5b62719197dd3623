"""Detection and quarantine of requests that crash instances."""

from .core import CrashTracker, RunDecision

__all__ = ["CrashTracker", "RunDecision"]

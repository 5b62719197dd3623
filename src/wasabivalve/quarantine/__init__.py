"""Crash suspects and quarantine of the request that crashes instances."""

from .core import CrashTracker, RunDecision

__all__ = ["CrashTracker", "RunDecision"]

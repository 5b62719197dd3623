"""Crash suspects and quarantine of the request that crashes instances."""

from .core import Admission, CrashRecord

__all__ = ["Admission", "CrashRecord"]

"""Failure detection between entry VMs."""

from .core import (
    Action,
    IndirectProbe,
    LivenessChange,
    LivenessNotice,
    MembershipView,
    SuspicionTiming,
)
from .overlay import watchers_by_vm

__all__ = [
    "Action",
    "IndirectProbe",
    "LivenessChange",
    "LivenessNotice",
    "MembershipView",
    "SuspicionTiming",
    "watchers_by_vm",
]

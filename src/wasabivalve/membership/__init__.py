"""Suspicion of entry VMs that have failed."""

from .core import (
    Action,
    Change,
    MembershipView,
    Notice,
    Probe,
    Timing,
)
from .overlay import watchers_by_name

__all__ = [
    "Action",
    "Change",
    "MembershipView",
    "Notice",
    "Probe",
    "Timing",
    "watchers_by_name",
]

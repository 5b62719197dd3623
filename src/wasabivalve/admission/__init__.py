"""Slot queue of an instance: permits by rank with floors and bounds."""

from .core import (
    Decision,
    Granted,
    InstanceQueue,
    PermitRequest,
    RankPolicy,
    Refused,
    policy_of_spec,
    request_of_message,
)

__all__ = [
    "Decision",
    "Granted",
    "InstanceQueue",
    "PermitRequest",
    "RankPolicy",
    "Refused",
    "policy_of_spec",
    "request_of_message",
]

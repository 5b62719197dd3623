"""Queue for the slots of an instance: permits by rank with guaranteed shares."""

from .core import (
    InstanceQueue,
    PermitDecision,
    PermitGranted,
    PermitRefused,
    RankPolicy,
    SlotRequest,
    policy_of_spec,
    request_of_message,
)

__all__ = [
    "InstanceQueue",
    "PermitDecision",
    "PermitGranted",
    "PermitRefused",
    "RankPolicy",
    "SlotRequest",
    "policy_of_spec",
    "request_of_message",
]

"""Outcome of an attempt, retry budget and rules for another attempt."""

from .classification import TransportFailure, UpstreamResponse, classify
from .core import (
    AttemptedRequest,
    Retry,
    RetryBudget,
    Stop,
    backoff_ms,
    next_attempt,
)

__all__ = [
    "AttemptedRequest",
    "Retry",
    "RetryBudget",
    "Stop",
    "TransportFailure",
    "UpstreamResponse",
    "backoff_ms",
    "classify",
    "next_attempt",
]

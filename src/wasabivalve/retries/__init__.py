"""Classification of attempts, retry budgets and the decision to retry."""

from .classification import TransportFailure, UpstreamResponse, classify
from .core import (
    AttemptedRequest,
    Retry,
    RetryBudget,
    Stop,
    backoff_ms,
    next_attempt,
)
from .window import RetryWindow

__all__ = [
    "AttemptedRequest",
    "Retry",
    "RetryBudget",
    "RetryWindow",
    "Stop",
    "TransportFailure",
    "UpstreamResponse",
    "backoff_ms",
    "classify",
    "next_attempt",
]

"""Classification of attempts, retry budgets and the decision to retry."""

from .classification import (
    MISDIRECTED_STATUS,
    RUN_HEADER,
    RefusalEvidence,
    TransportFailure,
    UpstreamResponse,
    classify,
    is_final_status,
    is_valid_status,
    proves_not_run,
)
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
    "MISDIRECTED_STATUS",
    "RUN_HEADER",
    "AttemptedRequest",
    "RefusalEvidence",
    "Retry",
    "RetryBudget",
    "RetryWindow",
    "Stop",
    "TransportFailure",
    "UpstreamResponse",
    "backoff_ms",
    "classify",
    "is_final_status",
    "is_valid_status",
    "next_attempt",
    "proves_not_run",
]

"""Idempotency records, replicated on three entry VMs: at most one run per key."""

from .core import (
    IDEMPOTENCY_WINDOW_MS,
    IdempotencyTable,
    is_too_far_in_future,
    uuid7_time_ms,
)
from .record_holders import ReachabilityHistory, ReachableVms, choose_record_holders
from .reservation import (
    KeyConflict,
    Proceed,
    RespondWithoutRun,
    answer_of_outcome,
    decide_reservation,
    outcome_of_answer,
)

__all__ = [
    "IDEMPOTENCY_WINDOW_MS",
    "IdempotencyTable",
    "KeyConflict",
    "Proceed",
    "ReachabilityHistory",
    "ReachableVms",
    "RespondWithoutRun",
    "answer_of_outcome",
    "choose_record_holders",
    "decide_reservation",
    "is_too_far_in_future",
    "outcome_of_answer",
    "uuid7_time_ms",
]

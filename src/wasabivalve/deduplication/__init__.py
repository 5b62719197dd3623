"""Idempotency records on three entry VMs: at most one run per key."""

from .core import WINDOW_MS, HolderTable, is_malformed, time_of_key_ms
from .holders import View, ViewHistory, holders_of
from .requester import (
    Answered,
    Conflict,
    Proceed,
    outcome_of_record,
    record_of_outcome,
    reservation_outcome,
)

__all__ = [
    "WINDOW_MS",
    "Answered",
    "Conflict",
    "HolderTable",
    "Proceed",
    "View",
    "ViewHistory",
    "holders_of",
    "is_malformed",
    "outcome_of_record",
    "record_of_outcome",
    "reservation_outcome",
    "time_of_key_ms",
]

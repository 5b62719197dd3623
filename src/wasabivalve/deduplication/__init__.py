"""Idempotency records on two entry VMs: at most one run per key."""

from .core import HolderTable, first_sent_at_ms, is_malformed, time_of_key_ms
from .holders import View, holders_of
from .requester import (
    Answered,
    Conflict,
    Proceed,
    outcome_of_record,
    record_of_outcome,
    reservation_outcome,
)

__all__ = [
    "Answered",
    "Conflict",
    "HolderTable",
    "Proceed",
    "View",
    "first_sent_at_ms",
    "holders_of",
    "is_malformed",
    "outcome_of_record",
    "record_of_outcome",
    "reservation_outcome",
    "time_of_key_ms",
]

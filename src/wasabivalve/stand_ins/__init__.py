"""Simulate the platform's services for tests and demonstrations."""

from .history import (
    CallerOutcome,
    Run,
    UnavailableSpan,
    check_not_run_claims,
    check_single_owners,
    check_single_runs,
    check_unavailable_time,
    find_unavailable_spans,
)
from .log_service import LogFaults, LogService, Retention
from .upstream import Upstream
from .upstream_options import UpstreamFaults, UpstreamOptions
from .vm_list import VmList, VmListEntry, VmListFaults

__all__ = [
    "CallerOutcome",
    "LogFaults",
    "LogService",
    "Retention",
    "Run",
    "UnavailableSpan",
    "Upstream",
    "UpstreamFaults",
    "UpstreamOptions",
    "VmList",
    "VmListEntry",
    "VmListFaults",
    "check_not_run_claims",
    "check_single_owners",
    "check_single_runs",
    "check_unavailable_time",
    "find_unavailable_spans",
]

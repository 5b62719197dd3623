"""Decide which grants wait after the store has lost part of the assignment log.

A restored log may lack claims and moves. What it lacks can have given keys to instances
that neither the log nor the claiming VM knows. All of these leases expire, or a holder
proves by accepting the old term that none of them concerns its keys.

The restored list of VMs may lack the controller that granted them. That one can't be
asked to yield, so that its authority is waited out whoever else yields. A VM that a
copy may lack therefore has a shorter one, see ``leases.COPY_AGE_LIMIT_MS``.
"""

from collections.abc import Iterable

from . import leases

CONTINUATION_WAIT_MS = 1_600.0
"""Time after a new era in which only the previous controller claims a term.

It can prove the holders of keys; any other VM has to wait for leases to expire.
"""

PROOF_TIMEOUT_MS = 600.0
"""Time for the holders to answer; a call takes up to 450 ms."""

CLAIM_RETRY_MS = 300.0
"""Interval of attempts to claim a term again, each of which reads from the store."""


def is_proven(
    lease: leases.RangeLease, era_noticed_at_ms: float, lease_duration_ms: float
) -> bool:
    """Return whether the holder has confirmed a grant sent after a new era.

    A later controller would have granted the range to its holder with a higher token
    before it moved it, and the holder would have refused this one.
    """
    sent_at_ms = lease.earliest_expiry_ms - (
        lease_duration_ms / leases.CLOCK_MARGIN_FACTOR
    )
    return lease.confirmed and sent_at_ms >= era_noticed_at_ms


def is_range_proven(
    lease: leases.RangeLease, proven_leases: Iterable[leases.RangeLease]
) -> bool:
    """Return whether proven leases of the same holder cover a whole range."""
    next_key = lease.range.first
    for proven in sorted(proven_leases, key=lambda each: each.range.first):
        if (
            proven.service == lease.service
            and proven.range[2:] == lease.range[2:]
            and proven.range.first <= next_key <= proven.range.last
        ):
            next_key = proven.range.last + 1
    return next_key > lease.range.last


class HeldGrants:
    """Hold until when grants wait in the term of a controller; times in ms."""

    def __init__(self) -> None:
        self._until_ms: float | None = None

    @property
    def is_ongoing(self) -> bool:
        """Return whether grants wait."""
        return self._until_ms is not None

    def start(self, until_ms: float) -> None:
        """Start to wait until the authority and the leases of all have expired."""
        self._until_ms = until_ms

    def stop(self) -> None:
        """Wait no longer, as the term has ended or holders are certain."""
        self._until_ms = None

    def on_listed_yielded(self, until_ms: float) -> None:
        """Wait only for the leases of listed VMs and for those that nobody knows."""
        if self._until_ms is not None:
            self._until_ms = min(self._until_ms, until_ms)

    def is_over(self, now_ms: float) -> bool:
        """Return whether a wait has ended that was not stopped yet."""
        return self._until_ms is not None and now_ms >= self._until_ms

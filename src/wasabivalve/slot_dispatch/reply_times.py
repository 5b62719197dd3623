"""Estimate how long the replies of dispatchers take, to tell a late one from none.

Responds to large responses on the slow link of a VM: a reply behind one of 90 KB is
144 ms late at 5 Mbit/s. A VM that takes its dispatcher for silent sends the request
past the queue, to an instance that the dispatcher has given to another one.
"""

from typing import NamedTuple

MEAN_WEIGHT = 0.125
DEVIATION_WEIGHT = 0.25
DEVIATION_FACTOR = 4.0
"""Weights and factor of the retransmission timeout of TCP (RFC 6298)."""

MAX_TIMEOUT_S = 0.3
"""Longest timeout; a request that meets a failed dispatcher loses twice as much."""

MAX_PENDING = 1_024
"""Requests whose first reply is waited for."""


class _Estimate(NamedTuple):
    mean_s: float
    deviation_s: float


class ReplyTimes:
    """Hold the estimate for one VM; times are in s."""

    def __init__(self) -> None:
        self._estimate: _Estimate | None = None
        self._sent_at_by_number: dict[int, float] = {}

    def on_sent(self, number: int, now: float) -> None:
        """Record the first time at which a request was sent."""
        if len(self._sent_at_by_number) >= MAX_PENDING:
            del self._sent_at_by_number[next(iter(self._sent_at_by_number))]
        self._sent_at_by_number.setdefault(number, now)

    def on_reply(self, number: int, now: float) -> None:
        """Record the first reply to a request, also one that came too late."""
        sent_at = self._sent_at_by_number.pop(number, None)
        if sent_at is None:
            return
        sample_s = now - sent_at
        if self._estimate is None:
            self._estimate = _Estimate(sample_s, sample_s / 2.0)
            return
        mean_s, deviation_s = self._estimate
        deviation_s += DEVIATION_WEIGHT * (abs(mean_s - sample_s) - deviation_s)
        mean_s += MEAN_WEIGHT * (sample_s - mean_s)
        self._estimate = _Estimate(mean_s, deviation_s)

    def timeout_s(self, least_s: float) -> float:
        """Return the time to wait for a reply, at least the given one."""
        if self._estimate is None:
            return least_s
        expected_s = (
            self._estimate.mean_s + DEVIATION_FACTOR * self._estimate.deviation_s
        )
        return max(least_s, min(MAX_TIMEOUT_S, expected_s))

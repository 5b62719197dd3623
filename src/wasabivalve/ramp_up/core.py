"""Find the pace that an instance sustains from how it answers.

Responds to this load: more requests wait for an instance than it can serve, because it
has just started, was ejected, became slow, or became cold again. The pace starts low,
grows with each answer, and falls when the instance queues, fails, or answers more
slowly than before. It ends once the slots of the instance limit the requests anyway.
"""

import collections
import math
from typing import NamedTuple

SECOND_MS = 1000.0

START_SHARE = 0.25
"""Share of the usual capacity at which the pace starts without ``warmup_per_s``.

A cold instance takes twice as long, and half of that is left for the unknown.
"""

MIN_START_PER_S = 2.0
MIN_PACE_PER_S = 1.0
"""Lowest pace: an instance without requests for 4 s loses value and shows nothing."""

GROWTH_PER_ANSWER = 1.0
"""Requests per second gained with each answer until the pace was first cut.

At a pace that is used up, this is growth by e in a second.
"""

STEADY_GROWTH_PER_ANSWER = 0.2
"""Gain for each answer after a cut, or while the instance answers like a cold one."""

COLD_RATIO = 1.6
"""Ratio to typical response times from which an instance may still be cold.

A cold one takes twice as long. Instances that are always slower reach their pace later.
"""

QUEUE_CUT = 0.85
"""Factor of a cut after an answer that reports a queue or is much slower."""

FAILURE_CUT = 0.5
"""Factor of a cut after a refusal, an error or a lost connection."""

MIN_CUT_INTERVAL_MS = 300.0
"""Least time between cuts, as the answers of one moment tell the same."""

CONGESTED_RATIO = 2.0
"""Ratio of recent to lowest response times from which an instance is congested.

Single response times vary by half, and the average of some by less.
"""

SLOW_RATIO = 4.0
"""Ratio to typical response times from which an instance is slow.

Healthy instances differ by a factor of up to three.
"""

RECOVERED_ANSWERS = 3
"""Quick answers in a row after which a slow instance counts as recovered."""

RECENT_WEIGHT = 0.3
BASELINE_DRIFT = 1.01
"""Growth of the lowest response time with each answer, as a lasting level is no queue.
"""

UNPROVEN_FACTOR = 2.0
"""Largest ratio of the pace to the answers of the last second.

Without it, the pace would grow during low demand, and a flood would follow.
"""

MAX_RAMP_MS = 15_000.0
"""Time after which the pace ends in any case; instances recover within 15 s."""

PROBE_INTERVAL_MS = 2_000.0
"""Time without a request after which a paced or slow instance gets the next one."""

QUICK_PROBE_INTERVAL_MS = 200.0
"""The same while its latest answer was quick, as it may have recovered."""

SAVED_FACTOR = 1.5
"""Ratio of the requests in any one second to the rate of a limiter.

It saves permission for half a second (``placement.rate_limit.MAX_SAVED_S``).
"""


class WarmupBounds(NamedTuple):
    """Bound the requests to a cold instance in any one second, over all VMs.

    They may reach ``overshoot`` times the ``warmup_per_s`` of its service plus
    ``slack``.
    """

    overshoot: float
    slack: float


def cold_pace_per_s(warmup_per_s: float, bounds: WarmupBounds | None) -> float:
    """Return the requests per second at which a cold instance is kept."""
    if bounds is None:
        return warmup_per_s
    in_one_second = warmup_per_s * bounds.overshoot + bounds.slack
    return min(warmup_per_s, in_one_second / SAVED_FACTOR)


class PaceFinder:
    """Find the pace of one instance; all times are in ms of one clock.

    ``cold_per_s`` is the most that it gets while cold, 0 for no such bound. Response
    times are given as ratios to typical ones of such requests.
    """

    def __init__(self, slots: int, cold_per_s: float, typical_ms: float) -> None:
        self._slots = max(1, slots)
        self._cold_per_s = cold_per_s
        self._typical_ms = max(1.0, typical_ms)
        self._pace_per_s: float | None = None
        self._cold_until = -math.inf
        self._started_at = -math.inf
        self._cut_at = -math.inf
        self._has_been_cut = False
        self._recent_ratio = 1.0
        self._baseline_ratio = math.inf
        self._slowness = 1.0
        self._is_slow = False
        self._quick_answers = 0
        self._sent_at = -math.inf
        self._answered_at: collections.deque[float] = collections.deque()

    def start_pace_per_s(self) -> float:
        """Return the pace of an instance of which nothing is known."""
        if self._cold_per_s > 0.0:
            return self._cold_per_s
        return max(MIN_START_PER_S, START_SHARE * self._capacity_per_s(1.0))

    def on_cold(self, until: float, now: float) -> None:
        """Begin at the start, unless it is only cold for longer than was known."""
        if now >= self._cold_until:
            self._begin(self.start_pace_per_s(), now)
        self._cold_until = max(self._cold_until, until)

    def on_recovery(self, now: float) -> None:
        """Begin at the start: the instance answers again after an ejection.

        It may have become cold meanwhile, which is known only later.
        """
        self._begin(self.start_pace_per_s(), now)

    def on_known_pace(self, pace_per_s: float, now: float) -> None:
        """Go on with the pace that another VM has found."""
        self._begin(pace_per_s, now)

    def on_sent(self, now: float) -> None:
        """Record that a request goes to the instance."""
        self._sent_at = now

    def on_load(self, waiting: int, slowness: float | None, now: float) -> None:
        """Record the load that an answer reports.

        ``slowness`` is how long work takes on the machine of the instance.
        """
        if slowness is not None:
            self._slowness += RECENT_WEIGHT * (slowness - self._slowness)
        if waiting > 0:
            self._cut(QUEUE_CUT, now)

    def on_answer(self, ratio: float, typical_ms: float, now: float) -> None:
        """Record an answer and its response time, queue included."""
        self._typical_ms = max(1.0, typical_ms)
        self._answered_at.append(now)
        while self._answered_at[0] <= now - SECOND_MS:
            self._answered_at.popleft()
        # A machine that neighbours slow down is not made quicker by fewer requests.
        ratio /= max(1.0, self._slowness)
        self._recent_ratio += RECENT_WEIGHT * (ratio - self._recent_ratio)
        self._quick_answers = self._quick_answers + 1 if ratio < 0.5 * SLOW_RATIO else 0
        if self._is_slow and self._quick_answers >= RECOVERED_ANSWERS:
            self._is_slow = False
            self._recent_ratio = self._baseline_ratio = ratio
        elif not self._is_slow and self._recent_ratio >= SLOW_RATIO:
            self._is_slow = True
            if self._pace_per_s is None:
                self._begin(self._capacity_per_s(self._recent_ratio), now)
        self._baseline_ratio = min(
            BASELINE_DRIFT * self._baseline_ratio, self._recent_ratio
        )
        if self._pace_per_s is None:
            return
        if self._recent_ratio >= CONGESTED_RATIO * self._baseline_ratio:
            self._cut(QUEUE_CUT, now)
        elif now >= self._cut_at + MIN_CUT_INTERVAL_MS:
            self._grow()
        self._end_if_reached(now)

    def on_failure(self, now: float) -> None:
        """Record a refusal, an error or a lost connection."""
        self._quick_answers = 0
        self._cut(FAILURE_CUT, now)

    def pace_per_s(self, now: float) -> float | None:
        """Return the requests per second that the instance gets, None for no limit."""
        if self._pace_per_s is None:
            return None
        if now < self._cold_until:
            if self._cold_per_s > 0.0:
                return min(self._pace_per_s, self._cold_per_s)
        elif now >= self._started_at + MAX_RAMP_MS and not self._is_slow:
            self._pace_per_s = None
        return self._pace_per_s

    def is_probe_due(self, now: float) -> bool:
        """Return whether the instance should get a request although others are quicker.

        Its last answers keep its estimate high, and it shows only by further ones that
        it has recovered.
        """
        if self._pace_per_s is None and not self._is_slow:
            return False
        interval_ms = (
            QUICK_PROBE_INTERVAL_MS if self._quick_answers else PROBE_INTERVAL_MS
        )
        return now >= self._sent_at + interval_ms

    def recovered_ratio(self) -> float | None:
        """Return the ratio of recent response times if several were quick."""
        if self._quick_answers < RECOVERED_ANSWERS:
            return None
        return self._recent_ratio

    def _begin(self, pace_per_s: float, now: float) -> None:
        self._pace_per_s = max(MIN_PACE_PER_S, pace_per_s)
        self._started_at = now
        self._has_been_cut = False
        self._baseline_ratio = math.inf
        self._answered_at.clear()

    def _grow(self) -> None:
        assert self._pace_per_s is not None
        is_careful = self._has_been_cut or self._recent_ratio >= COLD_RATIO
        gain = STEADY_GROWTH_PER_ANSWER if is_careful else GROWTH_PER_ANSWER
        proven_per_s = UNPROVEN_FACTOR * (len(self._answered_at) + 1.0)
        if self._pace_per_s < proven_per_s:
            self._pace_per_s += gain

    def _cut(self, factor: float, now: float) -> None:
        if self._pace_per_s is None or now < self._cut_at + MIN_CUT_INTERVAL_MS:
            return
        self._pace_per_s = max(MIN_PACE_PER_S, factor * self._pace_per_s)
        self._cut_at = now
        self._has_been_cut = True

    def _capacity_per_s(self, ratio: float) -> float:
        """Return the requests per second that the slots let through."""
        return self._slots * SECOND_MS / (self._typical_ms * max(0.1, ratio))

    def _end_if_reached(self, now: float) -> None:
        is_reached = self._pace_per_s is not None and (
            self._pace_per_s >= self._capacity_per_s(self._recent_ratio)
        )
        if is_reached and now >= self._cold_until and not self._is_slow:
            self._pace_per_s = None

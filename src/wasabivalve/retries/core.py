"""Decide whether and when a request gets another attempt."""

import dataclasses
import random
from typing import NamedTuple

from wasabivalve import outcomes

RETRY_RATIO = 0.1
"""Retries per request over time; more would amplify an overload."""

BUDGET_CAPACITY = 10.0
"""Maximum number of saved retries; also available at start."""

BASE_DELAY_MS = 10.0
MAX_DELAY_MS = 1_000.0
MAX_ATTEMPTS = 5

COMPLETED = "completed"
MAY_HAVE_RUN = "may_have_run"
DEADLINE_TOO_CLOSE = "deadline"
BUDGET_EXHAUSTED = "retry_budget"
ATTEMPTS_EXHAUSTED = "attempts"


class AttemptedRequest(NamedTuple):
    """Describe a request after an attempt.

    ``attempts`` counts those that ended; ``deadline_at`` is in ms of the monotonic
    clock; ``expected_attempt_ms`` is the expected duration of one more attempt.
    """

    idempotent: bool
    attempts: int
    deadline_at: float
    expected_attempt_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """Make another attempt after a delay in ms."""

    delay_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """Return the outcome to the caller; ``reason`` says why there is no retry."""

    reason: str


class RetryBudget:
    """Limit retries to a share of the requests with a token bucket."""

    def __init__(
        self, ratio: float = RETRY_RATIO, capacity: float = BUDGET_CAPACITY
    ) -> None:
        self._ratio = ratio
        self._capacity = capacity
        self._tokens = capacity

    @property
    def tokens(self) -> float:
        """Return the number of retries allowed now."""
        return self._tokens

    def on_request(self) -> None:
        """Add the share of a retry that the first attempt of a request allows."""
        self._tokens = min(self._capacity, self._tokens + self._ratio)

    def try_acquire(self) -> bool:
        """Take one retry from the budget; return False if there is none."""
        # The margin absorbs the rounding error of repeated small additions.
        if self._tokens < 1.0 - 1e-9:
            return False
        self._tokens = max(0.0, self._tokens - 1.0)
        return True


def backoff_ms(attempts: int, generator: random.Random) -> float:
    """Return a random delay in ms below a limit that doubles per attempt.

    The delay is uniform from 0 (full jitter), which spreads the retries after a
    failure best. The equivalent in tenacity accepts no random generator.
    """
    limit = BASE_DELAY_MS * 2.0 ** min(attempts, 32)
    return generator.uniform(0.0, min(MAX_DELAY_MS, limit))


def next_attempt(
    outcome: outcomes.Outcome,
    request: AttemptedRequest,
    now: float,
    budget: RetryBudget,
    generator: random.Random,
) -> Retry | Stop:
    """Return a retry if the outcome, deadline and budget allow it, or a stop.

    A retry takes one token from the budget.
    """
    if isinstance(outcome, outcomes.Done):
        return Stop(COMPLETED)
    if isinstance(outcome, outcomes.Unknown) and not request.idempotent:
        return Stop(MAY_HAVE_RUN)
    if request.attempts >= MAX_ATTEMPTS:
        return Stop(ATTEMPTS_EXHAUSTED)
    delay_ms = backoff_ms(request.attempts, generator)
    if isinstance(outcome, outcomes.NotRun):
        delay_ms += outcome.retry_after_ms
    if now + delay_ms + request.expected_attempt_ms >= request.deadline_at:
        return Stop(DEADLINE_TOO_CLOSE)
    if not budget.try_acquire():
        return Stop(BUDGET_EXHAUSTED)
    return Retry(delay_ms)

"""Test the proof of "not run" and the limits of retries."""

import random

import pytest

from wasabivalve import outcomes, retries

NO = ("Wasabivalve-Run", "no")
NOT_RUN = outcomes.NotRun("status_503")
UNKNOWN = outcomes.Unknown("reset")


def response(status, *headers, **options):
    return retries.UpstreamResponse(status, headers, b"", **options)


@pytest.mark.parametrize(
    ("attempt", "kind"),
    [
        (retries.TransportFailure("refused", False), outcomes.NotRun),
        (retries.TransportFailure("reset", True), outcomes.Unknown),
        (response(200), outcomes.Done),
        (response(500), outcomes.Done),
        (response(200, complete=False), outcomes.Unknown),
        (response(200, request_id_matches=False), outcomes.Unknown),
        (response(421), outcomes.NotRun),
        (response(421, request_id_matches=False), outcomes.Unknown),
        (response(503), outcomes.Done),
        (response(503, NO), outcomes.NotRun),
        (response(429, ("WASABIVALVE-RUN", " No ")), outcomes.NotRun),
        (response(503, NO, complete=False), outcomes.NotRun),
        (response(503, NO, ("Wasabivalve-Run", "yes")), outcomes.Done),
        (response(500, NO), outcomes.Done),
    ],
)
def test_not_run_requires_proof(attempt, kind):
    """A wrong "not run" would let a non-idempotent request run twice."""
    assert type(retries.classify(attempt)) is kind


@pytest.mark.parametrize(("text", "expected"), [("2", 2_000.0), ("soon", 0.0)])
def test_retry_after_is_read_in_seconds(text, expected):
    outcome = retries.classify(response(503, NO, ("Retry-After", text)))
    assert outcome == outcomes.NotRun("status_503", expected)


def decide(outcome, budget=None, **options):
    fields = {"idempotent": True, "attempts": 1, "deadline_at": 1_000.0} | options
    return retries.next_attempt(
        outcome,
        retries.AttemptedRequest(**fields),
        0.0,
        budget or retries.RetryBudget(),
        random.Random(3),
    )


def test_non_idempotent_request_is_retried_only_after_not_run():
    assert isinstance(decide(NOT_RUN, idempotent=False), retries.Retry)
    assert decide(UNKNOWN, idempotent=False) == retries.Stop("may_have_run")
    assert isinstance(decide(UNKNOWN), retries.Retry)
    assert decide(outcomes.Done(200, (), b"")) == retries.Stop("completed")


def test_no_retry_that_would_end_after_the_deadline():
    assert decide(NOT_RUN, expected_attempt_ms=1_000.0) == retries.Stop("deadline")
    retry_too_late = outcomes.NotRun("shed", retry_after_ms=1_000.0)
    assert decide(retry_too_late) == retries.Stop("deadline")
    assert decide(NOT_RUN, attempts=5) == retries.Stop("attempts")


def test_refused_retry_does_not_use_the_budget():
    budget = retries.RetryBudget()
    decide(NOT_RUN, budget, deadline_at=0.0)
    assert budget.tokens == 10.0


def test_budget_limits_retries_to_a_tenth_of_the_traffic():
    """Retries of every failed request would amplify an overload."""
    budget = retries.RetryBudget(capacity=1.0)
    taken = 0
    for _ in range(1_000):
        budget.on_request()
        taken += budget.try_acquire()
    # The initial token and a tenth of the 999 requests after the first; the share of
    # the first exceeds the capacity.
    assert taken == 100


def test_backoff_doubles_up_to_its_limit():
    generator = random.Random(1)
    for attempts, limit in ((0, 10.0), (3, 80.0), (60, 1_000.0)):
        delays = [retries.backoff_ms(attempts, generator) for _ in range(500)]
        assert 0.9 * limit < max(delays) <= limit
        assert min(delays) < 0.1 * limit

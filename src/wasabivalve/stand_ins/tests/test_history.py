"""Insert one fault into each history and check that it is found."""

import pytest

from wasabivalve import stand_ins


def run(
    server="s1", idempotency_key="i1", key="k1", start=10.0, end=20.0, committed=True
):
    return stand_ins.Run(server, "r1", idempotency_key, key, start, end, committed)


def caller_outcome(outcome, sent=0.0, ended=30.0, idempotency_key="i1", key="k1"):
    return stand_ins.CallerOutcome(idempotency_key, key, outcome, sent, ended)


CLEAN_RUNS = (
    run(committed=False),
    run("s2", start=20.0, end=30.0),
    run("s1", idempotency_key="i2", start=30.0, end=40.0),
    run("s1", idempotency_key="", start=31.0, end=41.0),
    run("s3", idempotency_key="", key="", start=31.0, end=41.0),
)


def test_two_committed_runs_are_found():
    """The same work must not be committed twice unnoticed."""
    assert stand_ins.check_single_runs(CLEAN_RUNS) == ()
    [finding] = stand_ins.check_single_runs([*CLEAN_RUNS, run("s4", start=50.0)])
    assert finding.path == "idempotency_keys/i1"


@pytest.mark.parametrize(
    ("caller_outcomes", "is_found"),
    [
        ([caller_outcome("not_run")], True),
        ([caller_outcome("not_run", 0, 5), caller_outcome("done", 15, 30)], True),
        ([caller_outcome("not_run", 0, 5), caller_outcome("done", 6, 30)], False),
        ([caller_outcome("not_run", 0, 5), caller_outcome("unknown", 6, 30)], False),
        ([caller_outcome("done")], False),
        ([caller_outcome("not_run", idempotency_key="i9")], False),
    ],
)
def test_false_claim_of_not_run_is_found(caller_outcomes, is_found):
    """A caller sends a request again after "not run", so its work would run twice."""
    findings = stand_ins.check_not_run_claims([run()], caller_outcomes)
    assert [finding.path for finding in findings] == ["idempotency_keys/i1"] * is_found


@pytest.mark.parametrize(
    ("second", "is_found"),
    [
        (run("s2", start=19.0, end=21.0), True),
        (run("s2", start=11.0, end=12.0), True),
        (run("s2", start=20.0, end=30.0), False),
        (run("s2", start=19.0, end=21.0, committed=False), False),
        (run("s2", key="k2", start=19.0, end=21.0), False),
        (run("s1", start=19.0, end=21.0), False),
    ],
)
def test_two_owners_are_found(second, is_found):
    """Two servers that own one key at the same time both write to its state."""
    assert stand_ins.check_single_owners(CLEAN_RUNS) == ()
    findings = stand_ins.check_single_owners([second, run()])
    assert [finding.path for finding in findings] == ["keys/k1"] * is_found


def test_unavailable_time_runs_from_failure_to_success():
    """The outage after a server loss must not be measured as too short."""
    caller_outcomes = [
        caller_outcome("done", 0, 1),
        caller_outcome("not_run", 100, 101),
        caller_outcome("unknown", 105, 400),
        caller_outcome("done", 390, 410),
        caller_outcome("done", 0, 900, key="k2"),
    ]
    [span] = stand_ins.find_unavailable_spans(caller_outcomes)
    assert span == ("k1", 100, 410, 2, True)
    assert stand_ins.check_unavailable_time(caller_outcomes, 310.0) == ()
    [finding] = stand_ins.check_unavailable_time(caller_outcomes, 300.0)
    assert finding.path == "keys/k1"


def test_key_that_is_not_served_again_is_found():
    """A test that ends early must not hide a key that is never served again."""
    [finding] = stand_ins.check_unavailable_time(
        [caller_outcome("not_run", 5, 6)], 1000.0
    )
    assert "not served again" in finding.problem

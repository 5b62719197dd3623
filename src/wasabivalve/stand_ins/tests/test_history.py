"""Plant one fault in each history and check that it is found."""

import pytest

from wasabivalve import stand_ins


def run(server="s1", name="i1", key="k1", start=10.0, end=20.0, committed=True):
    return stand_ins.Run(server, "r1", name, key, start, end, committed)


def told(outcome, sent=0.0, ended=30.0, name="i1", key="k1"):
    return stand_ins.CallerOutcome(name, key, outcome, sent, ended)


CLEAN_RUNS = (
    run(committed=False),
    run("s2", start=20.0, end=30.0),
    run("s1", name="i2", start=30.0, end=40.0),
    run("s1", name="", start=31.0, end=41.0),
    run("s3", name="", key="", start=31.0, end=41.0),
)


def test_two_committed_runs_are_found():
    """A second release of the same material would go unnoticed."""
    assert stand_ins.check_single_runs(CLEAN_RUNS) == ()
    [finding] = stand_ins.check_single_runs([*CLEAN_RUNS, run("s4", start=50.0)])
    assert finding.path == "idempotency_keys/i1"


@pytest.mark.parametrize(
    ("answers", "found"),
    [
        ([told("not_run")], True),
        ([told("not_run", 0, 5), told("done", 15, 30)], True),
        ([told("not_run", 0, 5), told("done", 6, 30)], False),
        ([told("not_run", 0, 5), told("unknown", 6, 30)], False),
        ([told("done")], False),
        ([told("not_run", name="i9")], False),
    ],
)
def test_false_claim_of_not_run_is_found(answers, found):
    """A caller that was told "not run" would send the work again."""
    findings = stand_ins.check_not_run_claims([run()], answers)
    assert [finding.path for finding in findings] == ["idempotency_keys/i1"] * found


@pytest.mark.parametrize(
    ("second", "found"),
    [
        (run("s2", start=19.0, end=21.0), True),
        (run("s2", start=11.0, end=12.0), True),
        (run("s2", start=20.0, end=30.0), False),
        (run("s2", start=19.0, end=21.0, committed=False), False),
        (run("s2", key="k2", start=19.0, end=21.0), False),
        (run("s1", start=19.0, end=21.0), False),
    ],
)
def test_two_owners_are_found(second, found):
    """Two servers would write to the state of one key."""
    assert stand_ins.check_single_owners(CLEAN_RUNS) == ()
    findings = stand_ins.check_single_owners([second, run()])
    assert [finding.path for finding in findings] == ["keys/k1"] * found


def test_unavailable_time_runs_from_failure_to_success():
    """A loss of a server would otherwise count as shorter than it was."""
    answers = [
        told("done", 0, 1),
        told("not_run", 100, 101),
        told("unknown", 105, 400),
        told("done", 390, 410),
        told("done", 0, 900, key="k2"),
    ]
    [span] = stand_ins.find_unavailable_spans(answers)
    assert span == ("k1", 100, 410, 2, True)
    assert stand_ins.check_unavailable_time(answers, 310.0) == ()
    [finding] = stand_ins.check_unavailable_time(answers, 300.0)
    assert finding.path == "keys/k1"


def test_key_that_is_not_served_again_is_found():
    """A short test would otherwise hide a key that is lost for good."""
    [finding] = stand_ins.check_unavailable_time([told("not_run", 5, 6)], 1000.0)
    assert "not served again" in finding.problem

"""Test that an answer whose status is not valid never reaches a caller."""

import asyncio

import pytest

from wasabivalve.gateway.tests import gateway_harness

TIMEOUT_MS = 9_000.0
"""Time limit of the requests, far beyond the time limit of a test's answer."""

ANSWER_TIMEOUT_S = 5.0

all_invalid_statuses = pytest.mark.parametrize(
    "status", ["000", "099", "600", "700", "999"]
)


def invalid_answer(status):
    """Return an answer that is whole but for its status."""
    return gateway_harness.OK.replace(b"200 OK", status.encode() + b" None")


def run_script(responses, method="GET", path="/safe/x", instances=2):
    """Return status, headers and requests sent; the instances share one script."""
    script = list(responses)

    async def scenario(harness):
        request = harness.send_request(path, method, b"a" if method == "POST" else b"")
        status, headers, _ = await asyncio.wait_for(request, ANSWER_TIMEOUT_S)
        sent = sum(len(upstream.requests) for upstream in harness.upstreams)
        return status, headers, sent

    scripts = [script] * instances
    return gateway_harness.run_scenario(scenario, *scripts, timeout_ms=TIMEOUT_MS)


@all_invalid_statuses
def test_invalid_status_of_the_only_attempt_is_no_answer(status):
    """The caller got the status, or nothing until its time limit."""
    got, headers, sent = run_script([invalid_answer(status)], "POST", "/unsafe/x")
    assert (got, sent) == (502, 1)
    assert "proof" not in headers


@all_invalid_statuses
def test_idempotent_request_is_retried_after_an_invalid_status(status):
    """The invalid answer was final although another instance had a valid one."""
    got, _, sent = run_script([invalid_answer(status), gateway_harness.OK])
    assert (got, sent) == (200, 2)


@all_invalid_statuses
def test_invalid_status_of_a_retry_is_no_answer(status):
    """A retry passed on what the first attempt would not have."""
    got, headers, sent = run_script([gateway_harness.FAILED, invalid_answer(status)])
    assert (got, sent) == (500, 2)
    assert headers["proof"] == "p"


@all_invalid_statuses
def test_invalid_status_of_a_hedge_does_not_win(status):
    """The answer of a hedge ended the attempt that had a valid one."""
    late = gateway_harness.LATE_PREFIX + gateway_harness.OK
    got, _, sent = run_script([late, invalid_answer(status)])
    assert (got, sent) == (200, 2)


def test_invalid_status_ejects_its_instance():
    """An instance without valid answers got half of all requests."""

    async def scenario(harness):
        for _ in range(8):
            await harness.send_request()
        faulty, sound = harness.upstreams
        assert len(faulty.requests) <= 2
        assert len(sound.requests) >= 8

    gateway_harness.run_scenario(
        scenario,
        [invalid_answer("000")] * 8,
        [gateway_harness.OK] * 16,
        timeout_ms=TIMEOUT_MS,
    )

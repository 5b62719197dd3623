"""Test the outcome that a caller receives after several attempts."""

import random

import pytest

from wasabivalve import outcomes, quarantine, resources, routing
from wasabivalve.entry import (
    caller_request,
    dispatch,
    owner_tables,
    permits,
    request_path,
    upstream_client,
)
from wasabivalve.settings.tests import test_settings

INSTANCES = tuple(
    resources.ConfiguredInstance(f"vanlog-{number}", "khomas-a", "127.0.0.1", 1)
    for number in (1, 2)
)
SERVICE = resources.ConfiguredService(
    name="vanlog",
    revision=1,
    partitioned=False,
    checks_fencing=True,
    slots=2,
    max_connections=10,
    instances=INSTANCES,
    idempotent_methods=frozenset({"GET"}),
    ranges_per_instance=64,
)
RANK = resources.ConfiguredRank("urgent", 1, 0, 0.0, 100, 0.99, 10, 1_000, 1_000, 0)
VIEW = resources.ConfigurationView(
    2, {"vanlog": SERVICE}, {"urgent": RANK}, {}, frozenset(), frozenset()
)
DONE = upstream_client.AttemptResult(outcomes.Done(200, (), b""), 1.0)
NOT_RUN = upstream_client.AttemptResult(outcomes.NotRun("shed"), 1.0)
UNKNOWN = upstream_client.AttemptResult(outcomes.Unknown("cut off"), 1.0, crashed=True)
IDEMPOTENCY_KEY = "018bcfe5-6800-7cc3-98c4-dc0c0c07398f"


class FakePermitClient:
    """Grant every permit, or none."""

    def __init__(self, granted=True):
        self.granted = granted
        self.released = []

    def acquire(self, instance, locality, demand, is_still_needed):
        if not self.granted:
            return permits.PermitUnavailable("deadline", 0.0)
        return permits.Permit("p", instance, "entry-1", 0.0)

    def release(self, permit, outcome):
        self.released.append(outcome)


class FakeCrashGuard:
    """Allow every request to run."""

    def is_suspected(self, fingerprint):
        return False

    def start(self, fingerprint, instance):
        return quarantine.RunDecision("run")

    def finish(self, fingerprint, instance, **result):
        pass


class FakeUpstreamClient:
    """Return the given attempt results in order."""

    def __init__(self, attempts):
        self.attempts = list(attempts)

    def send(self, request):
        return self.attempts.pop(0)


def make_path(attempts, granted=True):
    client = FakeUpstreamClient(attempts)
    dependencies = request_path.PathDependencies(
        test_settings.DOCUMENT,
        lambda: VIEW,
        owner_tables.OwnerTables(),
        FakePermitClient(granted),
        client,
        FakeCrashGuard(),
        random.Random(1),
        {},
    )
    return request_path.RequestPath(dependencies), client


def make_request(method="GET", **changes):
    request = caller_request.CallerRequest(
        method, "/", (), b"", "vanlog", "", "urgent", 5_000.0, IDEMPOTENCY_KEY
    )
    return request._replace(**changes)


@pytest.mark.parametrize(
    ("method", "attempts", "outcome_type", "unused_attempts"),
    [
        ("GET", [UNKNOWN, DONE], outcomes.Done, 0),
        ("GET", [NOT_RUN, DONE], outcomes.Done, 0),
        ("GET", [UNKNOWN, NOT_RUN, NOT_RUN, NOT_RUN, NOT_RUN], outcomes.Unknown, 0),
        ("GET", [NOT_RUN] * 5, outcomes.NotRun, 0),
        ("POST", [UNKNOWN, DONE], outcomes.Unknown, 1),
        ("POST", [NOT_RUN, DONE], outcomes.Done, 0),
    ],
)
def test_unknown_outcome_is_not_replaced_by_a_later_refusal(
    method, attempts, outcome_type, unused_attempts
):
    """Otherwise a refused retry would hide that the first attempt may have run."""
    path, client = make_path(attempts)
    prepared = path.prepare(make_request(method))
    assert isinstance(path.run(prepared), outcome_type)
    assert len(client.attempts) == unused_attempts


def test_request_without_a_permit_is_not_run():
    path, client = make_path([DONE], granted=False)
    outcome = path.run(path.prepare(make_request(deadline_ms=50.0)))
    assert isinstance(outcome, outcomes.NotRun)
    assert client.attempts == [DONE]


@pytest.mark.parametrize(
    ("changes", "status"),
    [
        ({"service": "absent"}, 404),
        ({"rank": "absent"}, 400),
        ({"method": "POST", "idempotency_key": ""}, 400),
    ],
)
def test_bad_requests_are_refused_before_an_attempt(changes, status):
    path, _ = make_path([])
    assert path.prepare(make_request(**changes)).status == status


def test_partitioned_service_needs_a_key():
    partitioned_service = SERVICE._replace(partitioned=True)
    path, _ = make_path([])
    path._dependencies = path._dependencies._replace(
        current_view=lambda: VIEW._replace(
            service_by_name={"vanlog": partitioned_service}
        )
    )
    assert path.prepare(make_request()).status == 400
    assert str(dispatch.InstanceName("vanlog", "vanlog-1")) == "vanlog/vanlog-1"
    assert path.locality("khomas-a") == routing.Locality("khomas-a", "khomas")

"""Test what one VM sends to a cold instance without a dispatcher."""

import random

import pytest

from wasabivalve import ramp_up, shared_facts
from wasabivalve.desired_state import core as desired_state
from wasabivalve.gateway import instance_notices
from wasabivalve.gateway.tests import gateway_harness
from wasabivalve.placement import core as placement

WARMUP_PER_S = 4.2
SERVICE = desired_state.ServiceConfig(
    "desk", 500, True, warmup_ms=3_000.0, warmup_per_s=WARMUP_PER_S
)
INSTANCE = placement.RegisteredInstance(
    "i-1", "desk", "h", 1, "east", 6, False, 0.0, 1, 1
)


class HighestDraw(random.Random):
    """Draw the largest random number."""

    def random(self):
        """Return the largest number below 1."""
        return 0.999


def create(service=SERVICE):
    limits = ramp_up.PacedLimits(shared_facts.FactBoard(), lambda name: service)
    notices = instance_notices.InstanceNotices(gateway_harness.HEADER_FORMAT, limits)
    return limits, notices, placement.InstanceLoad(INSTANCE, 0.0)


def test_vm_that_does_not_know_the_others_sends_nothing_to_a_cold_instance():
    """Many VMs that restart at once would each send at the whole rate."""
    limits, notices, load = create()
    limits.on_warmup_report(INSTANCE, 3_000.0, 0.0)
    notices.limit_locally(load, 0, HighestDraw(), 0.0)
    assert load.limit_wait_ms(0, 500.0) == float("inf")
    notices.limit_locally(load, 77, HighestDraw(), 500.0)
    assert load.limit_wait_ms(0, 600.0) <= 0.0


def test_permission_saved_before_is_lost_when_an_instance_becomes_cold():
    """Each VM has a whole request saved from the time at the full pace."""
    limits, notices, load = create()
    limits.named.on_answer(INSTANCE.id, INSTANCE.born, 50.0, 0.0)
    notices.limit_locally(load, 77, random.Random(1), 0.0)
    assert load.limit_wait_ms(0, 5_000.0) <= 0.0
    limits.on_warmup_report(INSTANCE, 3_000.0, 5_000.0)
    notices.limit_locally(load, 77, random.Random(1), 5_000.0)
    assert load.limit_wait_ms(0, 5_000.0) > 1_000.0
    notices.limit_locally(load, 77, random.Random(1), 8_100.0)
    assert load.cold_since is None


@pytest.mark.parametrize("service", [SERVICE, SERVICE._replace(warmup_ms=0.0)])
def test_plans_count_the_pace_of_a_cold_instance_as_its_capacity(service):
    """A cold holder must get no more keys than it can serve."""
    limits, notices, _ = create(service)
    limits.on_warmup_report(INSTANCE, 3_000.0, 0.0)
    expected_per_s = WARMUP_PER_S if service.warmup_ms else 60.0
    assert notices.limited_capacity_per_s(INSTANCE, 60.0, 10.0) == expected_per_s
    assert limits.is_warming(INSTANCE, 10.0) == bool(service.warmup_ms)
    assert notices.limited_capacity_per_s(INSTANCE, 60.0, 3_100.0) == 60.0


def test_holder_that_answers_after_failures_starts_slowly():
    """Requests that waited for it would all reach it at once."""
    limits, notices, load = create()
    load.on_failure(0.0, connected=False)
    notices.record_recovery(load, 600.0)
    assert limits.limit_per_s(INSTANCE, 600.0) is None
    load.on_failure(700.0, connected=False)
    notices.record_recovery(load, 2_000.0)
    assert limits.limit_per_s(INSTANCE, 2_000.0) == WARMUP_PER_S

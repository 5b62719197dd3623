"""Check single ownership in random schedules, and that the check can fail."""

import pytest

from wasabivalve.ownership import promises, server_lease
from wasabivalve.ownership.tests import ownership_schedules, ownership_simulation

GROUPS = 10
SCHEDULES_PER_GROUP = 20
MAX_SCHEDULES_TO_VIOLATION = 400


@pytest.mark.parametrize("group", range(GROUPS))
def test_no_key_has_two_owners(group):
    """Two owners of a key would run conflicting requests; without one it is down."""
    first = group * SCHEDULES_PER_GROUP
    results = [
        ownership_schedules.run(seed)
        for seed in range(first, first + SCHEDULES_PER_GROUP)
    ]
    assert sum(result.commits for result in results) > 10 * SCHEDULES_PER_GROUP
    assert all(result.checks > 50 for result in results)


class UnconditionalGranter(promises.PromiseGranter):
    """Promise authority to every requesting VM."""

    def on_request(self, request, now):
        reply = super().on_request(request, now)
        return {**reply, "granted": True}


class LeaseFromReceipt(server_lease.ServerLease):
    """Count a lease from the receipt of its command instead of the stamp."""

    def handle(self, command, now):
        self._issued_stamps.add(now)
        return super().handle(command._replace(stamp=now), now)


def lease_without_fencing(checks_fencing):
    return server_lease.ServerLease(False)


def lease_without_end(checks_fencing):
    return server_lease.ServerLease(checks_fencing, lease_ms=1e9)


def assert_violation_found(faults, gaps_ms=(100.0,), **options):
    for seed in range(MAX_SCHEDULES_TO_VIOLATION):
        try:
            ownership_schedules.run(
                seed, wait_for_recovery=False, faults=faults, gaps_ms=gaps_ms, **options
            )
        except ownership_simulation.OwnershipViolation:
            return
    pytest.fail(f"no violation was seen in {MAX_SCHEDULES_TO_VIOLATION} schedules")


def test_check_fails_without_fencing():
    """Servers that obey commands with old tokens must fail the check."""
    faults = (ownership_schedules.duplicate_messages, ownership_schedules.request_move)
    assert_violation_found(
        faults, checks_fencing=True, make_lease=lease_without_fencing
    )


def test_check_fails_without_the_lease_bound():
    """An unreachable server would keep its ranges for ever."""
    assert_violation_found(ownership_schedules.FAULTS, make_lease=lease_without_end)


def test_check_fails_when_leases_count_from_receipt():
    """A late renewal would extend a lease beyond the end the controller expects."""
    faults = (ownership_schedules.degrade_network, ownership_schedules.separate_two_vms)
    assert_violation_found(faults, make_lease=LeaseFromReceipt)


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_check_fails_without_promises(checks_fencing):
    """Two controllers could act for a shard at the same time."""
    options = {"checks_fencing": checks_fencing, "make_granter": UnconditionalGranter}
    # Both sides act only if the separation lasts longer than a lease.
    assert_violation_found(
        (ownership_schedules.separate_two_vms,), (900.0, 1800.0), **options
    )


class GranterWithoutWait(promises.PromiseGranter):
    """Grant promises at once after a start, without knowledge of earlier ones."""

    def __init__(self, vm, now):
        super().__init__(vm, now - promises.PROMISE_WITH_MARGIN_MS)
        self._last_tick = now
        self._has_read_log = True


def test_check_fails_when_granters_start_without_a_wait():
    """A restarted VM would promise again what it had promised to another VM."""
    faults = (ownership_schedules.separate_two_vms, ownership_schedules.kill_vm)
    assert_violation_found(
        faults, (100.0, 300.0, 900.0), make_granter=GranterWithoutWait
    )


def test_simulated_clocks_stay_within_the_margin():
    """Clock rates beyond the margin would cause failures that prove nothing."""
    for seed in range(20):
        simulation = ownership_simulation.Simulation(seed)
        rates = [process.rate for process in simulation.process_by_name.values()]
        assert max(rates) / min(rates) < promises.CLOCK_MARGIN

"""Guard single ownership under random schedules, and show that the check can fail."""

import pytest

from wasabivalve.ownership import promises, server_lease
from wasabivalve.ownership.tests import ownership_schedules, ownership_simulation

GROUPS = 10
SCHEDULES_PER_GROUP = 20
SCHEDULES_UNTIL_RED = 400


@pytest.mark.parametrize("group", range(GROUPS))
def test_no_key_has_two_owners(group):
    """Two owners of a key would run conflicting work; a lost one would be down."""
    first = group * SCHEDULES_PER_GROUP
    results = [
        ownership_schedules.run(seed)
        for seed in range(first, first + SCHEDULES_PER_GROUP)
    ]
    assert sum(result.commits for result in results) > 10 * SCHEDULES_PER_GROUP
    assert all(result.checks > 50 for result in results)


class GivesToAll(promises.PromiseGranter):
    """Promise authority to every VM that asks."""

    def on_request(self, request, now):
        reply = super().on_request(request, now)
        return {**reply, "granted": True}


class AnyStamp(server_lease.ServerLease):
    """Start a lease at receipt, as if a command could not be late."""

    def handle(self, command, now):
        self._issued_stamps.add(now)
        return super().handle(command._replace(stamp=now), now)


def without_fencing(checks_fencing):
    return server_lease.ServerLease(False)


def without_lease_bound(checks_fencing):
    return server_lease.ServerLease(checks_fencing, lease_ms=1e9)


def assert_red(faults, gaps_ms=(100.0,), **options):
    for seed in range(SCHEDULES_UNTIL_RED):
        try:
            ownership_schedules.run(
                seed, heal=False, faults=faults, gaps_ms=gaps_ms, **options
            )
        except ownership_simulation.OwnershipViolation:
            return
    pytest.fail(f"no violation was seen in {SCHEDULES_UNTIL_RED} schedules")


def test_check_fails_without_fencing():
    """The check would prove nothing if servers that obey old tokens passed it."""
    faults = (ownership_schedules.echo, ownership_schedules.move)
    assert_red(faults, checks_fencing=True, make_lease=without_fencing)


def test_check_fails_without_the_lease_bound():
    """A server that is cut off would keep its ranges for ever."""
    assert_red(ownership_schedules.FAULTS, make_lease=without_lease_bound)


def test_check_fails_when_leases_count_from_receipt():
    """A late renewal would extend a lease after its bound at the controller."""
    faults = (ownership_schedules.storm, ownership_schedules.wedge)
    assert_red(faults, make_lease=AnyStamp)


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_check_fails_without_promises(checks_fencing):
    """Two controllers could act for a shard at the same time."""
    options = {"checks_fencing": checks_fencing, "make_giver": GivesToAll}
    # A wedge has to last for longer than a lease before both sides act.
    assert_red((ownership_schedules.wedge,), (900.0, 1800.0), **options)


class ReadyAtOnce(promises.PromiseGranter):
    """Give promises at once after a start, having forgotten earlier ones."""

    def __init__(self, vm, now):
        super().__init__(vm, now - promises.PROMISE_WITH_MARGIN_MS)
        self._last_tick = now
        self._has_read_log = True


def test_check_fails_when_givers_start_without_a_wait():
    """A VM that starts again would promise what it promised to another VM."""
    faults = (ownership_schedules.wedge, ownership_schedules.kill_vm)
    assert_red(faults, (100.0, 300.0, 900.0), make_giver=ReadyAtOnce)


def test_simulated_clocks_stay_within_the_margin():
    """Clocks that differ by more than assumed would make a failure meaningless."""
    for seed in range(20):
        world = ownership_simulation.Simulation(seed)
        rates = [process.rate for process in world.process_by_name.values()]
        assert max(rates) / min(rates) < promises.CLOCK_MARGIN

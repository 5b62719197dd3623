"""Test what callers get under loads that exceed, or nearly exceed, all slots.

The speeds are those of the deployment with 195 VMs: some instances work at half the
usual speed. 98 VMs of one region ask one dispatcher.
"""

import pytest

from wasabivalve.slot_dispatch.tests import heavy_load

SPEEDS = [0.5, 1.0, 1.0, 1.5] * 3
CAPACITY_PER_S = 2.0 * sum(SPEEDS) / 0.12


def play(use, seed, **changes):
    load = heavy_load.Load(CAPACITY_PER_S * use)
    return heavy_load.play(SPEEDS, [load], 20.0, seed, **changes)[load.route]


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(("use", "share"), [(0.6, 0.99), (0.8, 0.98), (0.95, 0.95)])
def test_requests_are_on_time_while_slots_suffice(use, share, seed):
    """VMs that chose alone made 13 to 20 % of these requests late at 60 % use."""
    outcomes = play(use, seed)
    assert outcomes.on_time_share >= share
    assert outcomes.refused <= 0.01 * (outcomes.on_time + outcomes.late)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("use", [1.1, 1.4])
def test_overload_serves_nearly_as_many_on_time_as_there_are_slots(use, seed):
    """In order of arrival all requests would be late after the first second."""
    assert play(use, seed).on_time_share >= 0.85 / use


@pytest.mark.parametrize("seed", range(3))
def test_hopeless_requests_are_refused_long_before_their_time_has_run_out(seed):
    """Callers waited for 950 of 1,500 ms before they were told to come back."""
    waits_ms = sorted(play(1.4, seed).refused_ms)
    assert waits_ms[len(waits_ms) // 2] < 250.0
    assert waits_ms[int(0.95 * len(waits_ms))] < 500.0


@pytest.mark.parametrize("seed", range(3))
def test_urgent_requests_keep_their_service_beside_a_flood_of_less_urgent_ones(seed):
    """Reports of 680 ms at 1.6 times the slots must not delay urgent work."""
    urgent = heavy_load.Load(0.2 * CAPACITY_PER_S)
    reports = heavy_load.Load(
        1.6 * CAPACITY_PER_S * 120.0 / 680.0, 680.0, 4_000.0, 6_000.0, 2, "report"
    )
    outcomes = heavy_load.play(SPEEDS, [urgent, reports], 20.0, seed)
    assert outcomes["invoice"].on_time_share >= 0.95
    # Less urgent work gets what is left: 0.8 of the slots for 1.6 of demand.
    assert outcomes["report"].on_time_share >= 0.4


@pytest.mark.parametrize("seed", range(3))
def test_lost_datagrams_do_not_use_up_the_slots(seed):
    """A lost release would keep its slot for ever."""
    assert play(0.5, seed, lost_share=0.03).on_time_share >= 0.9

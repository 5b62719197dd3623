"""Test that keys keep one holder when the store is restored from an older copy."""

import asyncio

import hypothesis
import pytest
from hypothesis import strategies

from wasabivalve.key_leases import core, leases
from wasabivalve.key_leases.tests import lease_simulation

UNKNOWN_CONTROLLER_S = (
    leases.UNLISTED_AUTHORITY_TIMEOUT_MS
    + leases.LEASE_DURATION_MS * leases.CLOCK_MARGIN_FACTOR
    + leases.MAX_ARRIVAL_DELAY_MS
) / 1000.0
"""Time for which a controller that nobody knows, or a lease of it, may last."""

GRANT_DELAY_S = 1.2
"""Time for a claim, the release of held grants and their first round."""


def run_scenario(scenario, **options):
    """Run a scenario with a store that names its era, as one that is restored does."""
    lease_simulation.run_scenario(scenario, store_names_era=True, **options)


def highest_token(simulation):
    return max(
        token
        for instance in simulation.instance_by_name.values()
        for _, _, token in instance.seen_tokens
    )


async def wait_out_unknown_controllers(simulation, leader):
    """Check that held grants wait as long as they must, and no longer."""
    await simulation.keep_elected(leader, UNKNOWN_CONTROLLER_S - 1.0)
    assert core.UNKNOWN_VM in simulation.assignment_log[-1].predecessors
    await simulation.keep_elected(leader, 1.0 + GRANT_DELAY_S)
    assert core.UNKNOWN_VM not in simulation.assignment_log[-1].predecessors
    assert simulation.count_unheld_keys() == 0


async def move_some_keys(simulation, leader, keys=range(0, 20_000, 7)):
    """Have the controller write moves to the log, and return where it ended before."""
    end_offset = len(simulation.assignment_log)
    for _ in range(40):
        for key in keys:
            simulation.loads.count_request(
                lease_simulation.SERVICE, key, 1000.0 * simulation.now_s()
            )
        await simulation.keep_elected(leader, 0.5)
        if len(simulation.assignment_log) > end_offset + 1:
            return end_offset
    raise AssertionError("no keys were moved")


def test_numbers_stay_the_same_without_an_era():
    """Deployments whose store names no era must keep the terms that they have."""

    async def scenario(simulation):
        leader = simulation.new_controller("a")
        leader.start()
        await simulation.keep_elected(leader, 2.0)
        assert [each.term for each in simulation.assignment_log] == [0, 0]
        assert highest_token(simulation) < 1 << core.GRANT_NUMBER_BITS

    run_scenario(scenario)


@pytest.mark.parametrize("loses_first_claim", [False, True])
def test_controller_goes_on_in_a_new_era(loses_first_claim):
    """A controller that knows all moves must not leave keys without a holder."""

    async def scenario(simulation):
        leader = simulation.new_controller("a")
        leader.start()
        await simulation.keep_elected(leader, 3.0)
        lost_from = await move_some_keys(simulation, leader)
        before = highest_token(simulation)
        newest = simulation.assignment_log[-1].ranges_by_service
        simulation.rewind(0 if loses_first_claim else lost_from)
        for _ in range(16):
            await simulation.keep_elected(leader, 0.5)
            assert simulation.count_unheld_keys() == 0
        claim = next(each for each in simulation.assignment_log if each.term > 0)
        assert claim.ranges_by_service == newest
        assert claim.term >= core.first_term(1)
        assert core.UNKNOWN_VM not in claim.predecessors
        assert highest_token(simulation) > before

    run_scenario(scenario)


@pytest.mark.parametrize("knows_lost_map", [False, True])
def test_another_controller_waits_for_leases_of_the_lost_part(knows_lost_map):
    """The restored log names holders that have released their keys since."""

    async def scenario(simulation):
        first = simulation.new_controller("a")
        second = simulation.new_controller("b")
        first.start()
        second.start()
        await simulation.keep_elected(first, 3.0)
        lost_from = await move_some_keys(simulation, first)
        newest = simulation.assignment_log[-1]
        if knows_lost_map:
            simulation.known_map_by_vm["b"] = newest
        first.close()
        del simulation.controller_by_vm["a"]
        simulation.rewind(lost_from)
        await simulation.keep_elected(second, 22.0)
        assert simulation.count_unheld_keys() == 0
        recorded = simulation.assignment_log[-1]
        assert core.UNKNOWN_VM not in recorded.predecessors
        same_holders = recorded.ranges_by_service == newest.ranges_by_service
        assert same_holders == knows_lost_map

    run_scenario(scenario)


def test_successor_of_a_waiting_controller_waits_as_well():
    """A claim in the new era does not make the holders certain."""

    async def scenario(simulation):
        first = simulation.new_controller("a")
        first.start()
        await simulation.keep_elected(first, 3.0)
        lost_from = await move_some_keys(simulation, first)
        first.close()
        # The VM starts again, and yields.
        simulation.new_controller("a")
        simulation.rewind(lost_from)
        second = simulation.new_controller("b")
        second.start()
        await simulation.keep_elected(second, 0.5)
        assert core.UNKNOWN_VM in simulation.assignment_log[-1].predecessors
        second.close()
        third = simulation.new_controller("c")
        third.start()
        await simulation.keep_elected(third, 8.0)
        assert simulation.count_unheld_keys() == 0

    run_scenario(scenario)


def test_two_controllers_on_both_sides_of_a_rewind():
    """A controller that is cut off from the store renews in the older era."""

    async def scenario(simulation):
        first = simulation.new_controller("a")
        second = simulation.new_controller("b")
        first.start()
        second.start()
        await simulation.keep_elected(first, 3.0)
        lost_from = await move_some_keys(simulation, first)
        simulation.unreachable_vms.add("a")
        simulation.rewind(lost_from, told_vms=["b"])
        before = highest_token(simulation)
        await simulation.keep_elected(second, 22.0)
        assert not first.is_controller and second.is_controller
        assert simulation.count_unheld_keys() == 0
        assert highest_token(simulation) > before

    run_scenario(scenario)


async def lose_controller_that_only_the_lost_part_knew(simulation):
    """Restore the store to before "a" registered, and restart the listed VM "b".

    "a" has moved keys, is cut off from the store and still reaches the instances.
    """
    simulation.unlisted_vms.add("a")
    listed = simulation.new_controller("b")
    listed.start()
    await simulation.keep_elected(listed, 3.0)
    lost_from = len(simulation.assignment_log)
    listed.on_other_elected()
    unlisted = simulation.new_controller("a")
    unlisted.start()
    await simulation.keep_elected(unlisted, 2.0)
    await move_some_keys(simulation, unlisted)
    listed.close()
    simulation.unreachable_vms.add("a")
    simulation.vms_without_store.add("a")
    simulation.rewind(lost_from, told_vms=[])
    listed = simulation.new_controller("b")
    listed.start()
    return listed, unlisted


@pytest.mark.parametrize("others_yield", [False, True])
def test_controller_missing_in_the_restored_list_of_vms_is_waited_out(others_yield):
    """Yields of listed VMs must not count as a yield of one that the store lost."""

    async def scenario(simulation):
        listed, unlisted = await lose_controller_that_only_the_lost_part_knew(
            simulation
        )
        if others_yield:
            simulation.new_controller("c").start()
        await wait_out_unknown_controllers(simulation, listed)
        assert listed.is_controller and not unlisted.is_controller

    run_scenario(scenario)


def test_claim_again_does_not_wait_again_for_unknown_controllers():
    """Without an answer of the store for a moment, keys came back seconds later."""

    async def scenario(simulation):
        listed, _ = await lose_controller_that_only_the_lost_part_knew(simulation)
        await simulation.keep_elected(listed, 1.0)
        # The store does not answer, so that this VM claims again.
        simulation.store_available = False
        await asyncio.sleep(leases.UNLISTED_AUTHORITY_TIMEOUT_MS / 1000.0 + 0.2)
        assert not listed.is_controller
        simulation.store_available = True
        lease_s = UNKNOWN_CONTROLLER_S - leases.UNLISTED_AUTHORITY_TIMEOUT_MS / 1000.0
        await simulation.keep_elected(listed, lease_s + GRANT_DELAY_S)
        assert simulation.count_unheld_keys() == 0

    run_scenario(scenario)


def test_proven_range_of_a_silent_holder_is_not_reassigned_early():
    """A controller that nobody knows may still renew a lease of a silent holder."""

    async def scenario(simulation):
        leader = simulation.new_controller("b")
        leader.start()
        await simulation.keep_elected(leader, 3.0)
        simulation.new_controller("c").start()
        unproven = simulation.instance_by_name["i-1"]
        unproven.reachable = False
        simulation.rewind(1)
        # It proves that it has its keys, but never answers to the next term.
        await asyncio.sleep(0.3)
        simulation.instance_by_name["i-0"].reachable = False
        await simulation.keep_elected(leader, 1.0)
        assert core.UNKNOWN_VM in simulation.assignment_log[-1].predecessors
        unproven.reachable = True
        await simulation.keep_elected(leader, leases.AUTHORITY_TIMEOUT_MS / 1000.0)
        ranges = simulation.assignment_log[-1].ranges_by_service
        holders = {each.instance for each in ranges[lease_simulation.SERVICE]}
        assert "i-0" in holders
        await simulation.keep_elected(leader, 10.0)
        assert simulation.count_unheld_keys() == 0

    run_scenario(scenario)


def test_election_in_a_new_era_does_not_extend_an_older_term():
    """A controller that can't claim again must end its lost term like any other."""

    async def scenario(simulation):
        listed, unlisted = await lose_controller_that_only_the_lost_part_knew(
            simulation
        )
        await simulation.keep_elected(listed, 8.0)
        listed.on_other_elected()
        # Joins reach the store, but reads of the assignment log fail.
        simulation.notice_era("a")
        for _ in range(40):
            unlisted.on_elected(1000.0 * simulation.now_s())
            await asyncio.sleep(0.5)
            simulation.check_holders()
        assert not unlisted.is_controller

    run_scenario(scenario)


@pytest.mark.parametrize("listed_for_s", [3.0, 20.0])
def test_listed_controller_rides_out_an_outage(listed_for_s):
    """Only a VM that a copy may lack gives up its term soon without the store."""

    async def scenario(simulation):
        leader = simulation.new_controller("a")
        leader.start()
        await simulation.keep_elected(leader, listed_for_s)
        simulation.store_available = False
        await asyncio.sleep(leases.UNLISTED_AUTHORITY_TIMEOUT_MS / 1000.0 + 0.5)
        rides_out = listed_for_s > leases.COPY_AGE_LIMIT_MS / 1000.0
        assert leader.is_controller == rides_out
        await asyncio.sleep(8.0)
        assert leader.is_controller == rides_out

    run_scenario(scenario)


def test_refused_token_leads_to_a_claim_with_a_higher_one():
    """The store may have lost the claim that refused tokens belong to."""

    async def scenario(simulation):
        first = simulation.new_controller("a")
        second = simulation.new_controller("b")
        first.start()
        second.start()
        await simulation.keep_elected(first, 3.0)
        first.on_other_elected()
        await simulation.keep_elected(second, 0.4)
        lost_claims = [each for each in simulation.assignment_log if each.term > 0]
        assert lost_claims
        second.close()
        del simulation.controller_by_vm["b"]
        simulation.rewind(2)
        await simulation.keep_elected(first, 12.0)
        assert first.is_controller and simulation.count_unheld_keys() == 0
        assert simulation.assignment_log[-1].term >= core.first_term(1)

    run_scenario(scenario)


def test_suspended_controller_proves_holders_before_it_goes_on():
    """The store may have lost that another VM moved keys during the suspension."""

    async def scenario(simulation):
        first = simulation.new_controller("a")
        second = simulation.new_controller("b")
        first.start()
        second.start()
        await simulation.keep_elected(first, 3.0)
        first.close()
        simulation.unreachable_vms.add("a")
        lost_from = len(simulation.assignment_log)
        await simulation.keep_elected(second, 2.0)
        await move_some_keys(simulation, second)
        second.close()
        del simulation.controller_by_vm["b"]
        simulation.rewind(lost_from)
        # No holder answers before the claim could be made.
        for instance in simulation.instance_by_name.values():
            instance.reachable = False
        first.start()
        await simulation.keep_elected(first, 0.5)
        for instance in simulation.instance_by_name.values():
            instance.reachable = True
        await simulation.keep_elected(first, 12.0)
        assert first.is_controller and simulation.count_unheld_keys() == 0

    run_scenario(scenario)


def test_late_record_of_an_older_era_is_not_taken_for_a_claim():
    """An append that was under way reaches the offset that it names once more."""

    async def scenario(simulation):
        leader = simulation.new_controller("a")
        leader.start()
        await simulation.keep_elected(leader, 3.0)
        await move_some_keys(simulation, leader)
        late_map = simulation.assignment_log[1]
        simulation.rewind(2)
        await simulation.keep_elected(leader, 2.0)
        term = simulation.assignment_log[-1].term
        simulation.assignment_log.append(late_map)
        await move_some_keys(simulation, leader, range(40_000, 60_000, 7))
        assert simulation.assignment_log[-1].term == term

    run_scenario(scenario)


@hypothesis.given(
    seed=strategies.integers(0, 10_000),
    steps=strategies.lists(
        strategies.tuples(
            strategies.sampled_from(("a", "b")),
            strategies.sampled_from(
                ("keep", "rewind", "restart", "rewind and restart")
            ),
            strategies.sampled_from((0.2, 1.0, 3.0, 6.0)),
            strategies.integers(0, 6),
        ),
        min_size=2,
        max_size=8,
    ),
)
@hypothesis.settings(max_examples=150, deadline=None)
def test_no_key_has_two_holders_over_rewinds_and_changes_of_controllers(seed, steps):
    """Any order of elections, restarts and rewinds must keep one holder."""

    async def scenario(simulation):
        simulation.loss_probability = 0.05
        for vm in ("a", "b"):
            simulation.new_controller(vm).start()
        for number, step in enumerate(steps):
            elected, fault, duration_s, lost_count = step
            if "rewind" in fault:
                end = max(0, len(simulation.assignment_log) - lost_count)
                simulation.rewind(end)
            if "restart" in fault:
                for vm in ("a", "b") if "rewind" in fault else (elected,):
                    simulation.controller_by_vm[vm].close()
                    simulation.new_controller(vm).start()
            first_key = 20_000 * (number % 3)
            for key in range(first_key, first_key + 20_000, 7):
                simulation.loads.count_request(
                    lease_simulation.SERVICE, key, 1000.0 * simulation.now_s()
                )
            leader = simulation.controller_by_vm[elected]
            await simulation.keep_elected(leader, duration_s)
            for vm, each in simulation.controller_by_vm.items():
                if vm != elected:
                    each.on_other_elected()
        claimed_terms = simulation.claimed_terms
        assert claimed_terms == sorted(set(claimed_terms))

    run_scenario(scenario, seed=seed)

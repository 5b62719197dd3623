"""Guard each step of the ownership protocol against each fault of the design."""

import pytest

from wasabivalve.ownership.tests import ownership_faults

RUN = [
    cell for cell in ownership_faults.CELLS if not ownership_faults.reason_not_run(cell)
]


@pytest.mark.parametrize("cell", RUN, ids=[cell.name for cell in RUN])
def test_cell(cell):
    """A fault at this step would give a key two owners, none, or lose its list."""
    ownership_faults.run_cell(cell)


def test_every_cell_is_run_or_has_a_reason():
    """A row or column without a run cell would be checked in name only."""
    assert {cell.fault for cell in RUN} == set(ownership_faults.FAULTS)
    assert {cell.step for cell in RUN} == set(ownership_faults.STEPS)


def lengthen_leases(world):
    for lease in world.lease_by_server.values():
        lease.lease_ms = 1e9
    # Renewals have to extend the present leases before the fault.
    world.run_until(world.time_ms + 400.0)


def cut_servers_from_commands(world):
    world.on_read = None
    for vm in world.vm_names:
        world.blocked |= {(vm, server) for server in world.server_names}


def test_matrix_finds_leases_without_end():
    """A matrix that passes a paused owner beside its successor proves nothing."""
    cell = ownership_faults.Cell("lease lapsed under a paused holder", "once", "renew")
    with pytest.raises(ownership_faults.CellFailed, match="is held by"):
        ownership_faults.CellRun(cell, True, modify=lengthen_leases).run()


def test_matrix_finds_keys_that_are_not_served():
    """A matrix that passes servers without commands does not check recovery."""
    cell = ownership_faults.Cell("server lost", "once", "renew")
    with pytest.raises(ownership_faults.CellFailed, match="not served"):
        ownership_faults.CellRun(cell, True, modify=cut_servers_from_commands).run()

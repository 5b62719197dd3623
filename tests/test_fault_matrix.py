"""Run each step of the ownership protocol with each fault of the fault model."""

import pytest

from wasabivalve.ownership.tests import ownership_faults

RUN_CELLS = [
    cell for cell in ownership_faults.CELLS if not ownership_faults.reason_not_run(cell)
]


@pytest.mark.parametrize("cell", RUN_CELLS, ids=[cell.name for cell in RUN_CELLS])
def test_cell(cell):
    """Guard against a key with two owners, without owner or with a lost assignment."""
    ownership_faults.run_cell(cell)


def test_every_cell_is_run_or_has_a_reason():
    """Every fault and every step has to be checked by at least one cell."""
    assert {cell.fault for cell in RUN_CELLS} == set(ownership_faults.FAULTS)
    assert {cell.step for cell in RUN_CELLS} == set(ownership_faults.STEPS)


def lengthen_leases(simulation):
    for lease in simulation.lease_by_server.values():
        lease.lease_ms = 1e9
    # Renewals have to extend the current leases before the fault.
    simulation.run_until(simulation.time_ms + 400.0)


def cut_servers_from_commands(simulation):
    simulation.on_read = None
    for vm in simulation.vm_names:
        simulation.blocked |= {(vm, server) for server in simulation.server_names}


def test_matrix_finds_leases_without_end():
    """The matrix must fail when a paused owner keeps its lease beside its successor."""
    cell = ownership_faults.Cell("lease lapsed under a paused holder", "once", "renew")
    with pytest.raises(ownership_faults.CellFailed, match="is held by"):
        ownership_faults.CellRun(cell, True, modify=lengthen_leases).run()


def test_matrix_finds_keys_that_are_not_served():
    """The matrix must fail when no command reaches the servers after a loss."""
    cell = ownership_faults.Cell("server lost", "once", "renew")
    with pytest.raises(ownership_faults.CellFailed, match="not served"):
        ownership_faults.CellRun(cell, True, modify=cut_servers_from_commands).run()

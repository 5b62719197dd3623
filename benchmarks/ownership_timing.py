"""Measure in simulated time how long keys are unavailable after losses and moves."""

from collections.abc import Callable

import click

from wasabivalve.ownership import decisions, key_ranges
from wasabivalve.ownership.tests import ownership_schedules, ownership_simulation

LOSS_STEP_MS = 5.0
MOVE_OBSERVATION_MS = 1500.0


def create_settled_simulation(seed: int) -> ownership_simulation.Simulation:
    """Return a simulation without message faults in which every key is served."""
    simulation = ownership_simulation.Simulation(
        seed, vms=5, servers=4, checks_fencing=True
    )
    simulation.drop_probability = simulation.late_probability = 0.0
    simulation.run_until(3000.0 + seed % 100 * 3.7)
    if not ownership_schedules.all_keys_served(simulation):
        raise RuntimeError(f"simulation of seed {seed} did not settle")
    return simulation


def is_served(simulation: ownership_simulation.Simulation, key: str) -> bool:
    """Return whether the last VM routes a key to a server that accepts it."""
    server_and_token = ownership_simulation.route(
        simulation.table_by_vm.get(simulation.vm_names[-1]), key
    )
    if (
        server_and_token is None
        or server_and_token[0] not in simulation.lease_by_server
    ):
        return False
    server_time_ms = simulation.process_by_name[server_and_token[0]].clock(
        simulation.time_ms
    )
    return (
        simulation.lease_by_server[server_and_token[0]].start_refusal(
            key, server_and_token[1], server_time_ms
        )
        is None
    )


def measure_loss_ms(seed: int, log_is_up: bool) -> float:
    """Return the time in ms until a key of a lost server is served again."""
    simulation = create_settled_simulation(seed)
    simulation.log_is_up = log_is_up
    key = simulation.keys[seed % len(simulation.keys)]
    simulation.stop_server(simulation.owners(key)[0])
    start_ms = simulation.time_ms
    while not is_served(simulation, key):
        simulation.run_until(simulation.time_ms + LOSS_STEP_MS)
    return simulation.time_ms - start_ms


def measure_move_ms(seed: int) -> float:
    """Return the time in ms for which a key is unavailable in its planned move."""
    simulation = create_settled_simulation(seed)
    key = simulation.keys[seed % len(simulation.keys)]
    owner = simulation.owners(key)[0]
    target = next(name for name in simulation.server_names if name != owner)
    position = key_ranges.position_of_key(key)
    event = decisions.MovesRequested(
        (decisions.MoveRequest(position, position + 1, key, target),)
    )
    for name in simulation.vm_names:
        simulation.handle(name, event)
    unavailable_ms = 0.0
    end_ms = simulation.time_ms + MOVE_OBSERVATION_MS
    while simulation.time_ms < end_ms:
        simulation.run_until(simulation.time_ms + 1.0)
        unavailable_ms += not is_served(simulation, key)
    if simulation.owners(key) != [target]:
        raise RuntimeError(f"move of seed {seed} did not finish")
    return unavailable_ms


def print_percentiles(name: str, measure: Callable[[int], float], seeds: range) -> None:
    """Print percentiles of a measured time over the seeds."""
    sorted_ms = sorted(measure(seed) for seed in seeds)
    p50_ms = sorted_ms[len(sorted_ms) // 2]
    p99_ms = sorted_ms[max(0, len(sorted_ms) * 99 // 100 - 1)]
    click.echo(
        f"{name}: p50 {p50_ms:.0f} ms, p99 {p99_ms:.0f} ms, max {sorted_ms[-1]:.0f} ms"
    )


@click.command()
@click.option("--runs", default=100, show_default=True)
@click.option("--seed", default=1, show_default=True)
def main(runs: int, seed: int) -> None:
    """Measure losses of a server with the log up and down, and planned moves."""
    seeds = range(seed * 1000, seed * 1000 + runs)
    print_percentiles(
        "loss, log up", lambda run_seed: measure_loss_ms(run_seed, True), seeds
    )
    print_percentiles(
        "loss, log down", lambda run_seed: measure_loss_ms(run_seed, False), seeds
    )
    print_percentiles("planned move of a key", measure_move_ms, seeds)


if __name__ == "__main__":
    main()

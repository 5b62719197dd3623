"""Measure in simulated time how long keys are unavailable after losses and moves."""

from collections.abc import Callable

import click

from wasabivalve.ownership import decisions, key_ranges
from wasabivalve.ownership.tests import ownership_schedules, ownership_simulation

STEP_MS = 5.0
WATCHED_MS = 1500.0


def settled_world(seed: int) -> ownership_simulation.Simulation:
    """Return a world without faults in which every key is served."""
    world = ownership_simulation.Simulation(seed, vms=5, servers=4, checks_fencing=True)
    world.drop_probability = world.late_probability = 0.0
    world.run_until(3000.0 + seed % 100 * 3.7)
    if not ownership_schedules.all_keys_served(world):
        raise RuntimeError(f"world of seed {seed} did not settle")
    return world


def is_served(world: ownership_simulation.Simulation, key: str) -> bool:
    """Return whether the last VM routes a key to a server that admits it."""
    found = ownership_simulation.route(world.table_by_vm.get(world.vm_names[-1]), key)
    if found is None or found[0] not in world.lease_by_server:
        return False
    now = world.process_by_name[found[0]].clock(world.time_ms)
    return world.lease_by_server[found[0]].start_refusal(key, found[1], now) is None


def time_loss(seed: int, log_is_up: bool) -> float:
    """Return after how many ms a key of a lost server is served again."""
    world = settled_world(seed)
    world.log_is_up = log_is_up
    key = world.keys[seed % len(world.keys)]
    world.stop_server(world.owners(key)[0])
    start = world.time_ms
    while not is_served(world, key):
        world.run_until(world.time_ms + STEP_MS)
    return world.time_ms - start


def time_move(seed: int) -> float:
    """Return for how many ms a key is unavailable in its planned move."""
    world = settled_world(seed)
    key = world.keys[seed % len(world.keys)]
    owner = world.owners(key)[0]
    target = next(name for name in world.server_names if name != owner)
    at = key_ranges.position_of_key(key)
    event = decisions.MovesRequested((decisions.MoveRequest(at, at + 1, key, target),))
    for name in world.vm_names:
        world.handle(name, event)
    unavailable = 0.0
    end = world.time_ms + WATCHED_MS
    while world.time_ms < end:
        world.run_until(world.time_ms + 1.0)
        unavailable += not is_served(world, key)
    if world.owners(key) != [target]:
        raise RuntimeError(f"move of seed {seed} did not finish")
    return unavailable


def show(name: str, measure: Callable[[int], float], seeds: range) -> None:
    """Print the percentiles of a measure over the seeds."""
    times = sorted(measure(seed) for seed in seeds)
    p50 = times[len(times) // 2]
    p99 = times[max(0, len(times) * 99 // 100 - 1)]
    click.echo(f"{name}: p50 {p50:.0f} ms, p99 {p99:.0f} ms, max {times[-1]:.0f} ms")


@click.command()
@click.option("--runs", default=100, show_default=True)
@click.option("--seed", default=1, show_default=True)
def main(runs: int, seed: int) -> None:
    """Time losses of a server with the log up and down, and planned moves."""
    seeds = range(seed * 1000, seed * 1000 + runs)
    show("loss, log up", lambda each: time_loss(each, True), seeds)
    show("loss, log down", lambda each: time_loss(each, False), seeds)
    show("planned move of a key", time_move, seeds)


if __name__ == "__main__":
    main()

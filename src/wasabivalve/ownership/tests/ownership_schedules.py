"""Run random schedules of failures against the simulated world."""

import functools
from typing import NamedTuple

from wasabivalve.ownership import decisions, key_ranges
from wasabivalve.ownership.tests import ownership_simulation

FAULTY_MS = 4000.0
HEAL_MS = 9000.0
STEP_MS = 50.0


class Result(NamedTuple):
    """Count what happened in one schedule."""

    checks: int
    records: int
    commits: int
    faults: dict[str, int]
    recovery_ms: float


class NotRecovered(AssertionError):
    """Report keys that are not served although all faults have ended."""


def pause(world, rng):
    name = rng.choice(tuple(world.process_by_name))
    process = world.process_by_name[name]
    length = rng.choice((80.0, 340.0, 400.0, 750.0, 1500.0))
    process.paused_until = max(process.paused_until, world.time_ms + length)


def kill_vm(world, rng):
    name = rng.choice(world.vm_names)
    world.stop_vm(name)
    world.at(rng.choice((0.0, 30.0, 800.0)), functools.partial(restart_vm, world, name))


def restart_vm(world, name):
    world.stop_vm(name)
    world.start_vm(name)


def kill_holder(world, rng):
    for name, held in list(world.controller_by_vm.items()):
        if held.tenure is not None:
            world.stop_vm(name)
            restart = functools.partial(restart_vm, world, name)
            world.at(rng.uniform(0.0, 900.0), restart)


def kill_all_vms(world, rng):
    if rng.random() < 0.3:
        for name in world.vm_names:
            world.stop_vm(name)
            world.at(
                rng.uniform(0.0, 300.0), functools.partial(restart_vm, world, name)
            )


def kill_server(world, rng):
    name = rng.choice(world.server_names)
    world.stop_server(name)
    restart = functools.partial(world.start_server, name)
    world.at(rng.choice((0.0, 100.0, 1000.0)), restart)


def cut(world, rng):
    """Block messages of one process in one or both directions."""
    every = (*world.vm_names, *world.server_names, ownership_simulation.LOG)
    name = rng.choice(every)
    others = [other for other in every if other != name and rng.random() < 0.6]
    pairs = set()
    direction = rng.randrange(3)
    for other in others:
        pairs |= {(name, other)} if direction != 1 else set()
        pairs |= {(other, name)} if direction != 0 else set()
    world.blocked |= pairs
    world.at(rng.uniform(100.0, 2000.0), lambda: world.blocked.difference_update(pairs))


def split(world, rng):
    """Separate all processes into two sides."""
    every = (*world.vm_names, *world.server_names, ownership_simulation.LOG)
    side = {name for name in every if rng.random() < 0.5}
    pairs = {(a, b) for a in every for b in every if (a in side) != (b in side)}
    world.blocked |= pairs
    world.at(rng.uniform(100.0, 2000.0), lambda: world.blocked.difference_update(pairs))


def wedge(world, rng):
    """Separate two VMs, which other VMs and one part of the servers each reach."""
    first, second = rng.sample(world.vm_names, 2)
    pairs = {(first, second), (second, first)}
    for server in world.server_names:
        cut_off = rng.choice((first, second))
        pairs |= {(cut_off, server), (server, cut_off)}
    world.blocked |= pairs
    length = rng.uniform(500.0, 2500.0)
    world.at(length, lambda: world.blocked.difference_update(pairs))


def log_outage(world, rng):
    world.log_is_up = False
    world.at(rng.uniform(200.0, 3000.0), lambda: setattr(world, "log_is_up", True))


def storm(world, rng):
    """Drop and delay many messages for a while."""
    world.drop_probability, world.late_probability, world.max_delay_ms = 0.3, 0.2, 80.0
    world.at(rng.uniform(200.0, 1500.0), lambda: calm(world))


def echo(world, rng):
    """Deliver many messages a second time, up to a lease period later."""
    world.duplicate_probability, world.max_duplicate_delay_ms = 0.4, 600.0
    world.at(rng.uniform(500.0, 2000.0), lambda: calm(world))


def calm(world):
    world.drop_probability, world.late_probability, world.max_delay_ms = 0.01, 0.01, 6.0
    world.duplicate_probability, world.max_duplicate_delay_ms = 0.02, 6.0


def move(world, rng):
    """Ask every controller for a planned move; only the holder acts."""
    shard = world.oracle[-1].shard(ownership_simulation.SHARD)
    if not shard.ranges:
        return
    target = rng.choice(world.server_names)
    key = rng.choice(world.keys)
    at = key_ranges.position_of_key(key)
    some = rng.choice(shard.ranges)
    middle = (some.start + some.end) // 2
    wanted = rng.choice(
        (
            decisions.MoveRequest(some.start, some.end, "", target),
            decisions.MoveRequest(some.start, middle, "", target),
            decisions.MoveRequest(at, at + 1, key, target),
            decisions.MoveRequest(at, at + 1, key, ""),
        )
    )
    event = decisions.MovesRequested((wanted,))
    for name in world.vm_names:
        world.at(0.0, functools.partial(world.handle, name, event), alive(world, name))


def alive(world, name):
    return world.process_by_name[name]


def change_servers(world, rng):
    """Let a server leave gracefully, be removed, or return."""
    gone = rng.choice(world.server_names)
    kept = tuple(name for name in world.server_names if name != gone)
    world.service = rng.choice(
        ((kept, ()), (world.server_names, (gone,)), (world.server_names, ()))
    )
    announce(world)


def announce(world):
    event = decisions.ServersChanged(*world.service)
    for name in world.vm_names:
        world.at(0.0, functools.partial(world.handle, name, event), alive(world, name))


def change_vms(world, rng):
    """Give wrong hints about live VMs to some controllers."""
    kept = [name for name in world.vm_names if rng.random() < 0.7]
    rng.shuffle(kept)
    for name in world.vm_names:
        if rng.random() < 0.5:
            event = decisions.VmsChanged(tuple(kept))
            action = functools.partial(world.handle, name, event)
            world.at(0.0, action, alive(world, name))


def retention(world, rng):
    world.apply_retention()


FAULTS = (
    pause,
    pause,
    kill_vm,
    kill_holder,
    kill_all_vms,
    kill_server,
    kill_server,
    cut,
    cut,
    split,
    wedge,
    log_outage,
    storm,
    echo,
    move,
    move,
    move,
    change_servers,
    change_vms,
    retention,
)


def run(seed, heal=True, faults=FAULTS, gaps_ms=(100.0, 300.0, 900.0), **options):
    """Run one schedule; raise when an invariant is broken or keys stay lost."""
    world = ownership_simulation.Simulation(seed, **options)
    rng = world.rng
    counts = {}
    gap = rng.choice(gaps_ms)
    next_fault = rng.choice((0.0, 1800.0))
    world.run_until(next_fault)
    end = world.time_ms + FAULTY_MS
    while world.time_ms < end:
        if world.time_ms >= next_fault:
            next_fault = world.time_ms + rng.uniform(0.0, 2 * gap)
            fault = rng.choice(faults)
            counts[fault.__name__] = counts.get(fault.__name__, 0) + 1
            fault(world, rng)
            world.check()
        world.request(rng.choice(world.vm_names), rng.choice(world.keys))
        world.run_until(world.time_ms + STEP_MS)
        world.check()
    healed = wait_until_healed(world) if heal else 0.0
    commits = sum(len(found) for found in world.commits.values())
    return Result(world.checks, len(world.records), commits, counts, healed)


def wait_until_healed(world):
    """End all faults and wait until every VM routes every key to its owner."""
    start = world.time_ms
    world.log_is_up = True
    world.blocked.clear()
    calm(world)
    world.drop_probability = world.late_probability = 0.0
    for name in world.server_names:
        if name not in world.lease_by_server:
            world.start_server(name)
    for name, process in world.process_by_name.items():
        process.paused_until = 0.0
        if name in world.vm_names:
            restart_vm_if_dead(world, name)
    world.service = (world.server_names, ())
    announce(world)
    for name in world.vm_names:
        world.handle(name, decisions.VmsChanged(world.vm_names))
    while world.time_ms < start + HEAL_MS:
        world.run_until(world.time_ms + STEP_MS)
        world.check()
        if all_keys_served(world):
            return world.time_ms - start
    raise NotRecovered(f"not healed after {HEAL_MS:.0f} ms: {describe(world)}")


def restart_vm_if_dead(world, name):
    if name not in world.controller_by_vm:
        restart_vm(world, name)


def all_keys_served(world):
    for key in world.keys:
        owners = world.owners(key)
        if len(owners) != 1:
            return False
        for vm in world.vm_names:
            found = ownership_simulation.route(world.table_by_vm.get(vm), key)
            if found is None or found[0] != owners[0]:
                return False
            lease = world.lease_by_server[owners[0]]
            now = world.process_by_name[owners[0]].clock(world.time_ms)
            if lease.start_refusal(key, found[1], now) is not None:
                return False
    return True


def describe(world):
    holders = [
        (name, held.authority.position, held.authority.epoch)
        for name, held in world.controller_by_vm.items()
        if held.tenure is not None
    ]
    shard = world.oracle[-1].shard(ownership_simulation.SHARD)
    owners = {key: world.owners(key) for key in world.keys}
    return holders, shard._replace(ranges=(), controllers=()), owners

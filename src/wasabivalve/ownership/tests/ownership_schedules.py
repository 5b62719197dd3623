"""Run random schedules of faults in the ownership simulation."""

import functools
from typing import NamedTuple

from wasabivalve.ownership import decisions, key_ranges
from wasabivalve.ownership.tests import ownership_simulation

FAULT_PERIOD_MS = 4000.0
RECOVERY_TIMEOUT_MS = 9000.0
STEP_MS = 50.0


class Result(NamedTuple):
    """Hold the counts of one schedule."""

    checks: int
    records: int
    commits: int
    faults: dict[str, int]
    recovery_ms: float


class NotRecovered(AssertionError):
    """Report keys that are still not served after the end of all faults."""


def pause_process(simulation, rng):
    name = rng.choice(tuple(simulation.process_by_name))
    process = simulation.process_by_name[name]
    duration_ms = rng.choice((80.0, 340.0, 400.0, 750.0, 1500.0))
    process.paused_until = max(process.paused_until, simulation.time_ms + duration_ms)


def kill_vm(simulation, rng):
    name = rng.choice(simulation.vm_names)
    simulation.stop_vm(name)
    simulation.schedule(
        rng.choice((0.0, 30.0, 800.0)), functools.partial(restart_vm, simulation, name)
    )


def restart_vm(simulation, name):
    simulation.stop_vm(name)
    simulation.start_vm(name)


def kill_controller(simulation, rng):
    for name, shard_controller in list(simulation.controller_by_vm.items()):
        if shard_controller.tenure is not None:
            simulation.stop_vm(name)
            restart = functools.partial(restart_vm, simulation, name)
            simulation.schedule(rng.uniform(0.0, 900.0), restart)


def kill_all_vms(simulation, rng):
    if rng.random() < 0.3:
        for name in simulation.vm_names:
            simulation.stop_vm(name)
            simulation.schedule(
                rng.uniform(0.0, 300.0), functools.partial(restart_vm, simulation, name)
            )


def kill_server(simulation, rng):
    name = rng.choice(simulation.server_names)
    simulation.stop_server(name)
    restart = functools.partial(simulation.start_server, name)
    simulation.schedule(rng.choice((0.0, 100.0, 1000.0)), restart)


def block_messages(simulation, rng):
    """Block messages of one process with some others, in one or both directions."""
    all_names = (
        *simulation.vm_names,
        *simulation.server_names,
        ownership_simulation.LOG,
    )
    name = rng.choice(all_names)
    others = [other for other in all_names if other != name and rng.random() < 0.6]
    pairs = set()
    direction = rng.randrange(3)
    for other in others:
        pairs |= {(name, other)} if direction != 1 else set()
        pairs |= {(other, name)} if direction != 0 else set()
    simulation.blocked |= pairs
    simulation.schedule(
        rng.uniform(100.0, 2000.0), lambda: simulation.blocked.difference_update(pairs)
    )


def partition_processes(simulation, rng):
    """Partition all processes into two sides."""
    all_names = (
        *simulation.vm_names,
        *simulation.server_names,
        ownership_simulation.LOG,
    )
    side = {name for name in all_names if rng.random() < 0.5}
    pairs = {
        (source, target)
        for source in all_names
        for target in all_names
        if (source in side) != (target in side)
    }
    simulation.blocked |= pairs
    simulation.schedule(
        rng.uniform(100.0, 2000.0), lambda: simulation.blocked.difference_update(pairs)
    )


def separate_two_vms(simulation, rng):
    """Separate two VMs; both reach the other VMs and each a part of the servers."""
    first, second = rng.sample(simulation.vm_names, 2)
    pairs = {(first, second), (second, first)}
    for server in simulation.server_names:
        unreachable_vm = rng.choice((first, second))
        pairs |= {(unreachable_vm, server), (server, unreachable_vm)}
    simulation.blocked |= pairs
    duration_ms = rng.uniform(500.0, 2500.0)
    simulation.schedule(
        duration_ms, lambda: simulation.blocked.difference_update(pairs)
    )


def log_outage(simulation, rng):
    simulation.log_is_up = False
    simulation.schedule(
        rng.uniform(200.0, 3000.0), lambda: setattr(simulation, "log_is_up", True)
    )


def degrade_network(simulation, rng):
    """Drop and delay many messages for a limited time."""
    (
        simulation.drop_probability,
        simulation.late_probability,
        simulation.max_delay_ms,
    ) = 0.3, 0.2, 80.0
    simulation.schedule(rng.uniform(200.0, 1500.0), lambda: restore_network(simulation))


def duplicate_messages(simulation, rng):
    """Deliver many messages a second time, up to the duration of a lease later."""
    simulation.duplicate_probability, simulation.max_duplicate_delay_ms = 0.4, 600.0
    simulation.schedule(rng.uniform(500.0, 2000.0), lambda: restore_network(simulation))


def restore_network(simulation):
    (
        simulation.drop_probability,
        simulation.late_probability,
        simulation.max_delay_ms,
    ) = 0.01, 0.01, 6.0
    simulation.duplicate_probability, simulation.max_duplicate_delay_ms = 0.02, 6.0


def request_move(simulation, rng):
    """Request a move from every controller; only the one with authority acts."""
    shard = simulation.reference_states[-1].shard(ownership_simulation.SHARD)
    if not shard.ranges:
        return
    target = rng.choice(simulation.server_names)
    key = rng.choice(simulation.keys)
    position = key_ranges.position_of_key(key)
    listed_range = rng.choice(shard.ranges)
    middle = (listed_range.start + listed_range.end) // 2
    requested = rng.choice(
        (
            decisions.MoveRequest(listed_range.start, listed_range.end, "", target),
            decisions.MoveRequest(listed_range.start, middle, "", target),
            decisions.MoveRequest(position, position + 1, key, target),
            decisions.MoveRequest(position, position + 1, key, ""),
        )
    )
    event = decisions.MovesRequested((requested,))
    for name in simulation.vm_names:
        simulation.schedule(
            0.0,
            functools.partial(simulation.handle, name, event),
            process_of(simulation, name),
        )


def process_of(simulation, name):
    return simulation.process_by_name[name]


def change_servers(simulation, rng):
    """Let a server drain, be removed or return."""
    leaving = rng.choice(simulation.server_names)
    remaining_servers = tuple(
        name for name in simulation.server_names if name != leaving
    )
    simulation.service_servers = rng.choice(
        (
            (remaining_servers, ()),
            (simulation.server_names, (leaving,)),
            (simulation.server_names, ()),
        )
    )
    announce_servers(simulation)


def announce_servers(simulation):
    event = decisions.ServersChanged(*simulation.service_servers)
    for name in simulation.vm_names:
        simulation.schedule(
            0.0,
            functools.partial(simulation.handle, name, event),
            process_of(simulation, name),
        )


def change_vms(simulation, rng):
    """Report a wrong list of live VMs to some controllers."""
    listed_vms = [name for name in simulation.vm_names if rng.random() < 0.7]
    rng.shuffle(listed_vms)
    for name in simulation.vm_names:
        if rng.random() < 0.5:
            event = decisions.VmsChanged(tuple(listed_vms))
            action = functools.partial(simulation.handle, name, event)
            simulation.schedule(0.0, action, process_of(simulation, name))


def apply_log_retention(simulation, rng):
    simulation.apply_retention()


FAULTS = (
    pause_process,
    pause_process,
    kill_vm,
    kill_controller,
    kill_all_vms,
    kill_server,
    kill_server,
    block_messages,
    block_messages,
    partition_processes,
    separate_two_vms,
    log_outage,
    degrade_network,
    duplicate_messages,
    request_move,
    request_move,
    request_move,
    change_servers,
    change_vms,
    apply_log_retention,
)


def run(
    seed,
    wait_for_recovery=True,
    faults=FAULTS,
    gaps_ms=(100.0, 300.0, 900.0),
    **options,
):
    """Run one schedule; raise if an invariant is violated or keys stay unserved."""
    simulation = ownership_simulation.Simulation(seed, **options)
    rng = simulation.rng
    counts = {}
    gap_ms = rng.choice(gaps_ms)
    next_fault = rng.choice((0.0, 1800.0))
    simulation.run_until(next_fault)
    end = simulation.time_ms + FAULT_PERIOD_MS
    while simulation.time_ms < end:
        if simulation.time_ms >= next_fault:
            next_fault = simulation.time_ms + rng.uniform(0.0, 2 * gap_ms)
            fault = rng.choice(faults)
            counts[fault.__name__] = counts.get(fault.__name__, 0) + 1
            fault(simulation, rng)
            simulation.check_owners()
        simulation.start_request(
            rng.choice(simulation.vm_names), rng.choice(simulation.keys)
        )
        simulation.run_until(simulation.time_ms + STEP_MS)
        simulation.check_owners()
    recovery_ms = wait_until_recovered(simulation) if wait_for_recovery else 0.0
    commits = sum(len(found) for found in simulation.commits_by_key.values())
    return Result(
        simulation.check_count, len(simulation.records), commits, counts, recovery_ms
    )


def wait_until_recovered(simulation):
    """End all faults and wait until every VM routes every key to its owner."""
    start = simulation.time_ms
    simulation.log_is_up = True
    simulation.blocked.clear()
    restore_network(simulation)
    simulation.drop_probability = simulation.late_probability = 0.0
    for name in simulation.server_names:
        if name not in simulation.lease_by_server:
            simulation.start_server(name)
    for name, process in simulation.process_by_name.items():
        process.paused_until = 0.0
        if name in simulation.vm_names:
            restart_vm_if_stopped(simulation, name)
    simulation.service_servers = (simulation.server_names, ())
    announce_servers(simulation)
    for name in simulation.vm_names:
        simulation.handle(name, decisions.VmsChanged(simulation.vm_names))
    while simulation.time_ms < start + RECOVERY_TIMEOUT_MS:
        simulation.run_until(simulation.time_ms + STEP_MS)
        simulation.check_owners()
        if all_keys_served(simulation):
            return simulation.time_ms - start
    raise NotRecovered(
        f"not served after {RECOVERY_TIMEOUT_MS:.0f} ms: {describe_state(simulation)}"
    )


def restart_vm_if_stopped(simulation, name):
    if name not in simulation.controller_by_vm:
        restart_vm(simulation, name)


def all_keys_served(simulation):
    for key in simulation.keys:
        owners = simulation.owners(key)
        if len(owners) != 1:
            return False
        for vm in simulation.vm_names:
            found = ownership_simulation.route(simulation.table_by_vm.get(vm), key)
            if found is None or found[0] != owners[0]:
                return False
            lease = simulation.lease_by_server[owners[0]]
            now = simulation.process_by_name[owners[0]].clock(simulation.time_ms)
            if lease.start_refusal(key, found[1], now) is not None:
                return False
    return True


def describe_state(simulation):
    holders = [
        (name, shard_controller.authority.position, shard_controller.authority.epoch)
        for name, shard_controller in simulation.controller_by_vm.items()
        if shard_controller.tenure is not None
    ]
    shard = simulation.reference_states[-1].shard(ownership_simulation.SHARD)
    owners = {key: simulation.owners(key) for key in simulation.keys}
    return holders, shard._replace(ranges=(), controllers=()), owners

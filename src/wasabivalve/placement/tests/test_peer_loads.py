"""Test that VMs which report their requests in flight to each other use idle slots."""

import random

from wasabivalve.placement import core, peer_loads

TOPOLOGY = core.Topology("a1", {"a1": "a"})


def test_report_replaces_the_previous_one_of_a_vm():
    """Counts that only add up would exclude an instance for ever."""
    loads = peer_loads.PeerLoads()
    loads.on_report("vm-1", {"i-1": 2, "i-2": 1}, 0.0)
    loads.on_report("vm-2", {"i-1": 1}, 0.0)
    assert (loads.total_in_flight("i-1"), loads.total_in_flight("i-2")) == (3, 1)
    loads.on_report("vm-1", {"i-2": 1}, 10.0)
    assert (loads.total_in_flight("i-1"), loads.total_in_flight("i-2")) == (1, 1)


def test_silent_vm_is_removed():
    """A VM that is gone has no requests any more."""
    loads = peer_loads.PeerLoads()
    loads.on_report("vm-1", {"i-1": 2}, 0.0)
    loads.on_report("vm-2", {"i-1": 1}, peer_loads.REPORT_TTL_MS - 1.0)
    loads.expire(peer_loads.REPORT_TTL_MS)
    assert loads.total_in_flight("i-1") == 1


def simulate(with_reports, seed):
    """Return the share of requests that wait.

    20 VMs send to 20 instances of 2 slots, of which 60 % are in use.
    """
    generator = random.Random(seed)
    names = [f"i-{number}" for number in range(20)]
    loads_by_vm = []
    for _ in range(20):
        loads = {}
        for name in names:
            instance = core.RegisteredInstance(
                name, "desk", "h", 1, "a1", 2, False, 0.0, 1, 1
            )
            loads[name] = core.InstanceLoad(instance, 0.0)
            loads[name].on_response(600.0, 0.0, 600.0, 0.0)
        loads_by_vm.append(loads)
    peer_loads_by_vm = [peer_loads.PeerLoads() for _ in loads_by_vm]
    running = {name: [] for name in names}
    waited = total = 0
    for step in range(2_000):
        now = 30.0 * step
        for name, requests in running.items():
            for end, vm in [request for request in requests if request[0] <= now]:
                requests.remove((end, vm))
                loads_by_vm[vm][name].in_flight -= 1
        if with_reports and step % 4 == 0:
            for vm, loads in enumerate(loads_by_vm):
                counts = {
                    name: load.in_flight
                    for name, load in loads.items()
                    if load.in_flight
                }
                for other_vm, known_loads in enumerate(peer_loads_by_vm):
                    if other_vm != vm:
                        known_loads.on_report(str(vm), counts, now)
        if generator.random() < 0.6 * 40 * 30.0 / 600.0:
            vm = generator.randrange(20)
            for name, load in loads_by_vm[vm].items():
                load.peer_in_flight = peer_loads_by_vm[vm].total_in_flight(name)
            choice = core.choose(
                loads_by_vm[vm].values(),
                TOPOLOGY,
                600.0,
                4_000.0,
                1.0,
                (),
                True,
                generator,
                now,
            )
            name = choice.load.instance.id
            total += 1
            waited += len(running[name]) >= 2
            choice.load.in_flight += 1
            running[name].append((now + 600.0, vm))
    return waited / total


def test_fewer_requests_wait_when_vms_report_to_each_other():
    """VMs without reports let many requests wait with 60 % of the slots in use."""
    for seed in range(3):
        without_reports, with_reports = simulate(False, seed), simulate(True, seed)
        assert with_reports < 0.5 * without_reports

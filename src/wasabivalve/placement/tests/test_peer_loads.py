"""Guard that VMs which tell each other where their requests are use idle slots."""

import random

from wasabivalve.placement import core, peer_loads

TOPOLOGY = core.Topology("a1", {"a1": "a"})


def test_newest_message_of_a_vm_counts():
    """Counts that only add up would shut an instance out for ever."""
    loads = peer_loads.PeerLoads()
    loads.on_report("vm-1", {"i-1": 2, "i-2": 1}, 0.0)
    loads.on_report("vm-2", {"i-1": 1}, 0.0)
    assert (loads.total_in_flight("i-1"), loads.total_in_flight("i-2")) == (3, 1)
    loads.on_report("vm-1", {"i-2": 1}, 10.0)
    assert (loads.total_in_flight("i-1"), loads.total_in_flight("i-2")) == (1, 1)


def test_silent_vm_is_forgotten():
    """A VM that is gone has no requests any more."""
    loads = peer_loads.PeerLoads()
    loads.on_report("vm-1", {"i-1": 2}, 0.0)
    loads.on_report("vm-2", {"i-1": 1}, peer_loads.REPORT_TTL_MS - 1.0)
    loads.expire(peer_loads.REPORT_TTL_MS)
    assert loads.total_in_flight("i-1") == 1


def play(told, seed):
    """Return the share of requests that wait: 20 VMs, 20 instances of 2 slots, 60 %."""
    generator = random.Random(seed)
    names = [f"i-{number}" for number in range(20)]
    views = []
    for _ in range(20):
        loads = {}
        for name in names:
            instance = core.RegisteredInstance(
                name, "desk", "h", 1, "a1", 2, False, 0.0, 1, 1
            )
            loads[name] = core.InstanceLoad(instance, 0.0)
            loads[name].on_response(600.0, 0.0, 600.0, 0.0)
        views.append(loads)
    knowledge = [peer_loads.PeerLoads() for _ in views]
    running = {name: [] for name in names}
    waited = total = 0
    for step in range(2_000):
        now = 30.0 * step
        for name, ends in running.items():
            for end, vm in [one for one in ends if one[0] <= now]:
                ends.remove((end, vm))
                views[vm][name].in_flight -= 1
        if told and step % 4 == 0:
            for vm, loads in enumerate(views):
                counts = {n: one.in_flight for n, one in loads.items() if one.in_flight}
                for other, known in enumerate(knowledge):
                    if other != vm:
                        known.on_report(str(vm), counts, now)
        if generator.random() < 0.6 * 40 * 30.0 / 600.0:
            vm = generator.randrange(20)
            for name, load in views[vm].items():
                load.peer_in_flight = knowledge[vm].total_in_flight(name)
            choice = core.choose(
                views[vm].values(),
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


def test_fewer_requests_wait_when_vms_tell_each_other():
    """With 60 % of the slots in use, VMs that choose alone let many requests wait."""
    for seed in range(3):
        alone, told = play(False, seed), play(True, seed)
        assert told < 0.5 * alone

"""Test which instance gets a request under the load that each test names."""

import random

from wasabivalve.placement import core

TOPOLOGY = core.Topology("a1", {"a1": "a", "a2": "a", "b1": "b"})


def instance(name, data_centre="a1", **changes):
    return core.RegisteredInstance(
        name, "desk", "10.0.0.1", 80, data_centre, 2, False, 0.0, 1, 1
    )._replace(**changes)


def load(name, data_centre="a1", **changes):
    observed = core.InstanceLoad(instance(name, data_centre, **changes), 0.0)
    observed.on_response(80.0, 0.0, 80.0, 0.0)
    return observed


def choose(
    loads,
    kilobytes=4.0,
    excluded=(),
    now=0.0,
    urgent=True,
    typical_service_time_ms=80.0,
):
    choice = core.choose(
        loads,
        TOPOLOGY,
        typical_service_time_ms,
        300.0,
        kilobytes,
        excluded,
        urgent,
        random.Random(1),
        now,
    )
    return None if choice is None else choice.load.instance.id


def test_idle_instance_in_the_own_data_centre_is_preferred():
    """Bytes between data centres cost money and time."""
    assert choose([load("far", "b1"), load("near", "a2"), load("own")]) == "own"


def test_busy_data_centre_spills_over():
    """Saving bytes between data centres must not make a request late."""
    own = load("own")
    own.in_flight = 3
    assert choose([own, load("near", "a2")], kilobytes=1.0) == "near"


def test_large_requests_spill_over_later():
    """Transfers between data centres are charged by size."""
    own = load("own")
    own.in_flight = 3
    assert choose([own, load("near", "a2")], kilobytes=0.1) == "near"
    assert choose([own, load("near", "a2")], kilobytes=9.0) == "own"


def test_fast_enough_instance_avoids_a_transfer():
    """Long requests with a high target latency went to faster instances elsewhere.

    Their estimates in the own data centre were far below the target already.
    """
    fast = load("fast", "b1")
    fast.service_time_ratio = 0.6
    slow = load("slow")
    slow.service_time_ratio = 1.4

    def chosen_ids(target_latency_ms):
        choices = [
            core.choose(
                [fast, slow],
                TOPOLOGY,
                600.0,
                target_latency_ms,
                1.5,
                (),
                False,
                random.Random(seed),
                0.0,
            )
            for seed in range(20)
        ]
        return {choice.load.instance.id for choice in choices}

    assert chosen_ids(4_000.0) == {"slow"}
    assert chosen_ids(900.0) == {"fast"}


def test_draining_and_excluded_instances_get_nothing():
    """A draining instance, or one that refused the request, must not get it."""
    draining = load("own", draining=True)
    assert choose([draining]) is None
    assert choose([load("own")], excluded={"own"}) is None


def test_full_instance_gets_nothing():
    """Some instances never respond to a request that they cannot queue."""
    full = load("own")
    full.on_report(2, 2, 0.0)
    assert choose([full]) is None
    assert choose([full], now=3_000.0) == "own"


def test_less_urgent_long_requests_do_not_queue_at_an_instance():
    """Requests of 240 ms in an instance's queue made urgent ones of 42 ms late."""
    busy = load("own")
    busy.in_flight = 2
    assert choose([busy], urgent=False, typical_service_time_ms=240.0) is None
    assert choose([busy], urgent=False) == "own"
    assert choose([busy]) == "own"


def test_service_time_ratio_is_independent_of_the_kind_of_request():
    """An instance that serves long requests must not count as slow for short ones."""
    long_requests, slow = load("long"), load("slow")
    for _ in range(30):
        long_requests.on_response(240.0, 0.0, 240.0, 0.0)
        slow.on_response(84.0, 0.0, 42.0, 0.0)
    assert long_requests.service_time_ratio < 1.1 < 1.8 < slow.service_time_ratio


def test_failing_instance_is_ejected_for_an_increasing_time():
    """A flapping instance must not get every request while it is up."""
    flaky = load("own")
    flaky.on_failure(0.0, connected=False)
    assert choose([flaky], now=100.0) is None
    assert choose([flaky], now=core.BASE_EJECTION_MS) == "own"
    flaky.on_failure(core.BASE_EJECTION_MS, connected=False)
    assert choose([flaky], now=2.5 * core.BASE_EJECTION_MS) is None


def test_single_broken_connection_does_not_eject_an_instance():
    """Idle connections break without a fault of the instance."""
    flaky = load("own")
    flaky.on_failure(0.0, connected=True)
    assert choose([flaky]) == "own"
    flaky.on_failure(1.0, connected=True)
    assert choose([flaky], now=2.0) is None


def test_slow_instance_is_avoided():
    """An instance that becomes slow makes its share of requests late."""
    slow, fast = load("slow"), load("fast")
    for _ in range(20):
        slow.on_response(600.0, 0.0, 80.0, 0.0)
    assert choose([slow, fast]) == "fast"


def test_failing_instance_is_avoided():
    """Fast error responses must not make an instance look fast."""
    failing, healthy = load("failing"), load("healthy")
    for _ in range(5):
        failing.on_error_response()
    assert choose([failing, healthy]) == "healthy"


def test_new_instance_gets_a_first_request():
    """An instance that gets no requests is paid for without use."""
    new = core.InstanceLoad(instance("new", "a2"), 0.0)
    busy = load("own")
    busy.in_flight = 3
    assert choose([busy, new]) == "new"


def test_load_is_even_among_equal_instances():
    """Four VMs that do not know of each other must still use all slots."""
    generator = random.Random(1)
    names = [f"i-{n}" for n in range(4)]
    loads_by_vm = [{name: load(name) for name in names} for _ in range(4)]
    total = dict.fromkeys(names, 0)
    for step in range(400):
        own_loads = generator.choice(loads_by_vm)
        choice = core.choose(
            own_loads.values(),
            TOPOLOGY,
            80.0,
            300.0,
            4.0,
            (),
            True,
            generator,
            10.0 * step,
        )
        name = choice.load.instance.id
        total[name] += 1
        own_loads[name].in_flight += 1
        if step % 4 == 3:
            for vm_loads in loads_by_vm:
                for observed in vm_loads.values():
                    observed.in_flight = 0
                    observed.on_response(80.0, 0.0, 80.0, 10.0 * step)
    assert max(total.values()) <= 1.6 * min(total.values())

"""Guard which instance gets a request; each test plays the load that it names."""

import random

from wasabivalve.placement import core

TOPOLOGY = core.Topology("a1", {"a1": "a", "a2": "a", "b1": "b"})


def instance(name, data_centre="a1", **changes):
    return core.RegisteredInstance(
        name, "desk", "10.0.0.1", 80, data_centre, 2, False, 0.0, 1, 1
    )._replace(**changes)


def load(name, data_centre="a1", **changes):
    known = core.InstanceLoad(instance(name, data_centre, **changes), 0.0)
    known.on_response(80.0, 0.0, 80.0, 0.0)
    return known


def choose(loads, kilobytes=4.0, excluded=(), now=0.0, urgent=True, typical_ms=80.0):
    choice = core.choose(
        loads,
        TOPOLOGY,
        typical_ms,
        300.0,
        kilobytes,
        excluded,
        urgent,
        random.Random(1),
        now,
    )
    return None if choice is None else choice.load.instance.id


def test_idle_instance_of_the_own_data_centre_goes_first():
    """Bytes between data centres cost money and time."""
    assert choose([load("far", "b1"), load("near", "a2"), load("own")]) == "own"


def test_busy_data_centre_spills_over():
    """A request must not be late for the sake of bytes."""
    own = load("own")
    own.in_flight = 3
    assert choose([own, load("near", "a2")], kilobytes=1.0) == "near"


def test_large_bodies_stay_longer():
    """What crosses is paid by size."""
    own = load("own")
    own.in_flight = 3
    assert choose([own, load("near", "a2")], kilobytes=0.1) == "near"
    assert choose([own, load("near", "a2")], kilobytes=9.0) == "own"


def test_answers_that_are_soon_enough_do_not_cross():
    """Long work with a late target crossed regions for some faster instance."""
    fast = load("fast", "b1")
    fast.service_time_ratio = 0.6
    slow = load("slow")
    slow.service_time_ratio = 1.4

    def chosen(target_ms):
        choices = [
            core.choose(
                [fast, slow],
                TOPOLOGY,
                600.0,
                target_ms,
                1.5,
                (),
                False,
                random.Random(seed),
                0.0,
            )
            for seed in range(20)
        ]
        return {choice.load.instance.id for choice in choices}

    assert chosen(4_000.0) == {"slow"}
    assert chosen(900.0) == {"fast"}


def test_draining_and_excluded_instances_get_nothing():
    """A leaving instance, or one that refused the request, must not get it."""
    leaving = load("own", draining=True)
    assert choose([leaving]) is None
    assert choose([load("own")], excluded={"own"}) is None


def test_full_instance_gets_nothing():
    """Some instances never answer a request that they cannot queue."""
    full = load("own")
    full.on_report(2, 2, 0.0)
    assert choose([full]) is None
    assert choose([full], now=3_000.0) == "own"


def test_less_urgent_work_does_not_queue_at_an_instance():
    """Reports of 240 ms in an instance's queue made invoices of 42 ms late."""
    busy = load("own")
    busy.in_flight = 2
    assert choose([busy], urgent=False, typical_ms=240.0) is None
    assert choose([busy], urgent=False) == "own"
    assert choose([busy]) == "own"


def test_slowness_is_told_apart_from_the_kind_of_request():
    """An instance that serves long requests must not count as slow for short ones."""
    long_work, slow = load("long"), load("slow")
    for _ in range(30):
        long_work.on_response(240.0, 0.0, 240.0, 0.0)
        slow.on_response(84.0, 0.0, 42.0, 0.0)
    assert long_work.service_time_ratio < 1.1 < 1.8 < slow.service_time_ratio


def test_failing_instance_is_left_out_for_a_growing_time():
    """An instance that goes down and up by turns must not get every request."""
    known = load("own")
    known.on_failure(0.0, connected=False)
    assert choose([known], now=100.0) is None
    assert choose([known], now=core.BASE_EJECTION_MS) == "own"
    known.on_failure(core.BASE_EJECTION_MS, connected=False)
    assert choose([known], now=2.5 * core.BASE_EJECTION_MS) is None


def test_one_broken_connection_leaves_an_instance_in():
    """Idle connections break without a fault of the instance."""
    known = load("own")
    known.on_failure(0.0, connected=True)
    assert choose([known]) == "own"
    known.on_failure(1.0, connected=True)
    assert choose([known], now=2.0) is None


def test_slow_instance_gets_less():
    """An instance that turns slow makes its share of requests late."""
    slow, quick = load("slow"), load("quick")
    for _ in range(20):
        slow.on_response(600.0, 0.0, 80.0, 0.0)
    assert choose([slow, quick]) == "quick"


def test_instance_that_fails_its_requests_gets_less():
    """Quick failures must not make an instance look good."""
    failing, sound = load("failing"), load("sound")
    for _ in range(5):
        failing.on_error_response()
    assert choose([failing, sound]) == "sound"


def test_joined_instance_gets_a_first_request():
    """An instance that gets nothing is paid for without use."""
    fresh = core.InstanceLoad(instance("fresh", "a2"), 0.0)
    known = load("own")
    known.in_flight = 3
    assert choose([known, fresh]) == "fresh"


def test_load_is_even_among_equal_instances():
    """Four VMs that choose alone must still use all slots."""
    generator = random.Random(1)
    names = [f"i-{n}" for n in range(4)]
    views = [{name: load(name) for name in names} for _ in range(4)]
    total = dict.fromkeys(names, 0)
    for step in range(400):
        own = generator.choice(views)
        choice = core.choose(
            own.values(), TOPOLOGY, 80.0, 300.0, 4.0, (), True, generator, 10.0 * step
        )
        name = choice.load.instance.id
        total[name] += 1
        own[name].in_flight += 1
        if step % 4 == 3:
            for one in views:
                for known in one.values():
                    known.in_flight = 0
                    known.on_response(80.0, 0.0, 80.0, 10.0 * step)
    assert max(total.values()) <= 1.6 * min(total.values())

"""Guard the choice of owner, instance and dispatcher."""

import random

from wasabivalve import ownership, routing

NEAR = routing.Locality("khomas-a", "khomas")
BESIDE = routing.Locality("khomas-b", "khomas")
FAR = routing.Locality("erongo-a", "erongo")
TOKEN = {"term": 4, "position": 0, "step": 1}
HALF = ownership.POSITION_COUNT // 2


def table(generation, server="slotbook-1"):
    return {
        "shard": "slotbook/0",
        "generation": generation,
        "provisional": False,
        "ranges": [
            {
                "start": HALF,
                "last": ownership.POSITION_COUNT - 1,
                "server": "",
                "token": TOKEN,
            },
            {"start": 0, "last": HALF - 1, "server": server, "token": TOKEN},
        ],
        "exceptions": [{"key": "hot", "server": "slotbook-9", "token": TOKEN}],
    }


def test_owner_is_found_by_exception_then_range():
    owners = routing.OwnerIndex(table(TOKEN))
    assert owners.owner_of_key("hot").server == "slotbook-9"
    assert owners.owner_at_position(0) == routing.Owner(
        "slotbook-1", ownership.FencingToken(4, 0, 1)
    )
    assert owners.owner_at_position(HALF) is None


def test_older_table_never_replaces_a_newer_one():
    """A late message would otherwise send requests to a former owner."""
    newer = routing.newest_owner_index(
        None, table({"term": 5, "position": 0, "step": 0})
    )
    assert routing.newest_owner_index(newer, table(TOKEN, "slotbook-2")) is newer


def test_overlapping_ranges_are_found():
    """Two owners for one position would depend on the order of the ranges."""
    message = table(TOKEN)
    message["ranges"][0]["start"] = HALF - 1
    assert len(routing.validate_owner_table(message)) == 1
    assert routing.validate_owner_table(table(TOKEN)) == ()


def test_dispatcher_is_in_the_data_centre_of_the_instance():
    vms = {"entry-1": NEAR, "entry-2": BESIDE, "entry-3": FAR}
    assert routing.choose_dispatcher("vanlog-1", NEAR, vms) == "entry-1"
    del vms["entry-1"]
    assert routing.choose_dispatcher("vanlog-1", NEAR, vms) == "entry-2"
    del vms["entry-2"]
    assert routing.choose_dispatcher("vanlog-1", NEAR, vms) == "entry-3"
    assert routing.choose_dispatcher("vanlog-1", NEAR, {}) is None


def choose(places, observations, now=0.0, **options):
    generator = random.Random(7)
    return {
        routing.choose_instance(NEAR, places, observations, generator, now, **options)
        for _ in range(200)
    }


def measured(latency_by_name, failed=()):
    observations = routing.InstanceStatistics()
    for name, latency in latency_by_name.items():
        for _ in range(10):
            observations.on_start(name, 0.0)
            observations.on_finish(name, latency, name in failed, 0.0)
    return observations


def test_nearest_place_is_used_until_it_is_full_or_excluded():
    places = {"a": NEAR, "b": BESIDE, "c": FAR}
    observations = routing.InstanceStatistics()
    assert choose(places, observations) == {"a"}
    observations.on_start("a", 0.0)
    assert choose(places, observations, max_in_flight=1) == {"b"}
    assert choose(places, observations, excluded=("a", "b")) == {"c"}
    assert choose(places, observations, excluded=("a", "b", "c")) == {None}


def test_outlier_is_ejected_and_tried_again():
    places = dict.fromkeys("abcd", NEAR)
    for observations in (
        measured({"a": 10, "b": 10, "c": 10, "d": 90}),
        measured(dict.fromkeys("abcd", 10), failed=("d",)),
    ):
        assert "d" not in choose(places, observations)
        later = routing.load_balancing.EJECTION_MS + 1
        assert observations.ejected("abcd", later) == frozenset()


def test_slowdown_of_all_ejects_none():
    """Ejecting most of a slow fleet would overload the rest."""
    all_slow = measured(dict.fromkeys("abcd", 5_000), failed=("a", "b", "c", "d"))
    assert all_slow.ejected("abcd", 0.0) == frozenset()
    half_slow = measured({"a": 10, "b": 10, "c": 10, "d": 900, "e": 900})
    assert len(half_slow.ejected("abcde", 0.0)) == 1


def test_reported_load_decides_only_a_tie():
    """A misleading load report must not outweigh what the VM itself measured."""
    places = {"a": NEAR, "b": NEAR}
    observations = measured({"a": 10, "b": 10})
    observations.on_report("a", 0.9, 0.0)
    observations.on_report("b", 0.1, 0.0)
    assert choose(places, observations) == {"b"}
    observations.on_start("b", 0.0)
    assert choose(places, observations) == {"a"}


def test_cold_instance_gets_less_until_warm():
    places = {"a": NEAR, "b": NEAR}
    observations = measured({"a": 10, "b": 10})
    observations.on_ready("b", 0.0)
    observations.on_start("a", 0.0)
    assert choose(places, observations) == {"a"}
    assert choose(places, observations, routing.load_balancing.SLOW_START_MS) == {"b"}


def test_identical_requests_reach_two_instances():
    """A request that crashes instances would otherwise reach all of them at once."""
    places = dict.fromkeys("abcdefgh", NEAR)
    chosen = choose(places, routing.InstanceStatistics(), affinity="digest")
    assert len(chosen) == 2
    rest = choose(
        places, routing.InstanceStatistics(), affinity="digest", excluded=chosen
    )
    assert len(rest) == 2
    assert len(choose(places, routing.InstanceStatistics())) == 8

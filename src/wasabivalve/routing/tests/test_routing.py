"""Test the choice of owner, instance and dispatcher."""

import random

from wasabivalve import ownership, routing

OWN_DATA_CENTRE = routing.Locality("khomas-a", "khomas")
SAME_REGION = routing.Locality("khomas-b", "khomas")
OTHER_REGION = routing.Locality("erongo-a", "erongo")
TOKEN = {"term": 4, "position": 0, "step": 1}
MIDDLE_POSITION = ownership.POSITION_COUNT // 2


def owner_table_message(generation, server="slotbook-1"):
    return {
        "shard": "slotbook/0",
        "generation": generation,
        "provisional": False,
        "ranges": [
            {
                "start": MIDDLE_POSITION,
                "last": ownership.POSITION_COUNT - 1,
                "server": "",
                "token": TOKEN,
            },
            {"start": 0, "last": MIDDLE_POSITION - 1, "server": server, "token": TOKEN},
        ],
        "exceptions": [{"key": "hot", "server": "slotbook-9", "token": TOKEN}],
    }


def test_owner_is_found_by_exception_then_range():
    owner_index = routing.OwnerIndex(owner_table_message(TOKEN))
    assert owner_index.owner_of_key("hot").server == "slotbook-9"
    assert owner_index.owner_at_position(0) == routing.Owner(
        "slotbook-1", ownership.FencingToken(4, 0, 1)
    )
    assert owner_index.owner_at_position(MIDDLE_POSITION) is None


def test_older_table_never_replaces_a_newer_one():
    """A late message would otherwise send requests to a former owner."""
    newer_index = routing.newest_owner_index(
        None, owner_table_message({"term": 5, "position": 0, "step": 0})
    )
    assert (
        routing.newest_owner_index(
            newer_index, owner_table_message(TOKEN, "slotbook-2")
        )
        is newer_index
    )


def test_overlapping_ranges_are_reported():
    """The owner of a position in two ranges would depend on their order."""
    message = owner_table_message(TOKEN)
    message["ranges"][0]["start"] = MIDDLE_POSITION - 1
    assert len(routing.validate_owner_table(message)) == 1
    assert routing.validate_owner_table(owner_table_message(TOKEN)) == ()


def test_dispatcher_is_in_the_data_centre_of_the_instance():
    locality_by_vm = {
        "entry-1": OWN_DATA_CENTRE,
        "entry-2": SAME_REGION,
        "entry-3": OTHER_REGION,
    }
    assert (
        routing.choose_dispatcher("vanlog-1", OWN_DATA_CENTRE, locality_by_vm)
        == "entry-1"
    )
    del locality_by_vm["entry-1"]
    assert (
        routing.choose_dispatcher("vanlog-1", OWN_DATA_CENTRE, locality_by_vm)
        == "entry-2"
    )
    del locality_by_vm["entry-2"]
    assert (
        routing.choose_dispatcher("vanlog-1", OWN_DATA_CENTRE, locality_by_vm)
        == "entry-3"
    )
    assert routing.choose_dispatcher("vanlog-1", OWN_DATA_CENTRE, {}) is None


def chosen_instances(locality_by_instance, statistics, now=0.0, **options):
    generator = random.Random(7)
    return {
        routing.choose_instance(
            OWN_DATA_CENTRE, locality_by_instance, statistics, generator, now, **options
        )
        for _ in range(200)
    }


def make_statistics(latency_by_name, failed=()):
    statistics = routing.InstanceStatistics()
    for name, latency in latency_by_name.items():
        for _ in range(10):
            statistics.on_start(name, 0.0)
            statistics.on_finish(name, latency, name in failed, 0.0)
    return statistics


def test_nearest_instance_is_used_until_it_is_full_or_excluded():
    locality_by_instance = {"a": OWN_DATA_CENTRE, "b": SAME_REGION, "c": OTHER_REGION}
    statistics = routing.InstanceStatistics()
    assert chosen_instances(locality_by_instance, statistics) == {"a"}
    statistics.on_start("a", 0.0)
    assert chosen_instances(locality_by_instance, statistics, max_in_flight=1) == {"b"}
    assert chosen_instances(locality_by_instance, statistics, excluded=("a", "b")) == {
        "c"
    }
    assert chosen_instances(
        locality_by_instance, statistics, excluded=("a", "b", "c")
    ) == {None}


def test_outlier_is_ejected_for_a_limited_time():
    locality_by_instance = dict.fromkeys("abcd", OWN_DATA_CENTRE)
    for statistics in (
        make_statistics({"a": 10, "b": 10, "c": 10, "d": 90}),
        make_statistics(dict.fromkeys("abcd", 10), failed=("d",)),
    ):
        assert "d" not in chosen_instances(locality_by_instance, statistics)
        later_ms = routing.load_balancing.EJECTION_MS + 1
        assert statistics.ejected("abcd", later_ms) == frozenset()


def test_slowdown_of_all_instances_ejects_none():
    """Ejecting most of a slow fleet would overload the rest."""
    all_slow = make_statistics(
        dict.fromkeys("abcd", 5_000), failed=("a", "b", "c", "d")
    )
    assert all_slow.ejected("abcd", 0.0) == frozenset()
    half_slow = make_statistics({"a": 10, "b": 10, "c": 10, "d": 900, "e": 900})
    assert len(half_slow.ejected("abcde", 0.0)) == 1


def test_reported_load_decides_only_between_equal_costs():
    """A wrong load report must not outweigh the measurements of the VM itself."""
    locality_by_instance = {"a": OWN_DATA_CENTRE, "b": OWN_DATA_CENTRE}
    statistics = make_statistics({"a": 10, "b": 10})
    statistics.on_report("a", 0.9, 0.0)
    statistics.on_report("b", 0.1, 0.0)
    assert chosen_instances(locality_by_instance, statistics) == {"b"}
    statistics.on_start("b", 0.0)
    assert chosen_instances(locality_by_instance, statistics) == {"a"}


def test_new_instance_gets_fewer_requests_during_slow_start():
    locality_by_instance = {"a": OWN_DATA_CENTRE, "b": OWN_DATA_CENTRE}
    statistics = make_statistics({"a": 10, "b": 10})
    statistics.on_ready("b", 0.0)
    statistics.on_start("a", 0.0)
    assert chosen_instances(locality_by_instance, statistics) == {"a"}
    assert chosen_instances(
        locality_by_instance, statistics, routing.load_balancing.SLOW_START_MS
    ) == {"b"}


def test_identical_requests_reach_two_instances():
    """A request that crashes instances would otherwise reach all of them at once."""
    locality_by_instance = dict.fromkeys("abcdefgh", OWN_DATA_CENTRE)
    chosen = chosen_instances(
        locality_by_instance, routing.InstanceStatistics(), affinity="digest"
    )
    assert len(chosen) == 2
    next_chosen = chosen_instances(
        locality_by_instance,
        routing.InstanceStatistics(),
        affinity="digest",
        excluded=chosen,
    )
    assert len(next_chosen) == 2
    assert (
        len(chosen_instances(locality_by_instance, routing.InstanceStatistics())) == 8
    )

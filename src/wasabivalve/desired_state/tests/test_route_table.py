"""Test which route and service handle a request."""

from collections import Counter

from wasabivalve.desired_state import core

LIMITS = core.CallerLimits(1_000, 1_000, 1_000.0, 1_000.0)


ONE_SERVICE = (core.WeightedService("desk", 1.0),)


def route(name, host, prefix, weighted_services=ONE_SERVICE):
    return core.RouteConfig(
        name, host, prefix, weighted_services, True, 2, 1_000.0, 300.0, 1
    )


def state(*routes):
    return core.DesiredState(1, routes, {}, LIMITS)


def test_longest_prefix_of_the_host_wins():
    """A match of a shorter prefix would send the request to the wrong service."""
    table = core.RouteTable(
        state(
            route("all", "h", "/"),
            route("a", "h", "/a/"),
            route("ab", "h", "/a/b/"),
            route("other", "g", "/a/b/c/"),
        )
    )
    assert table.find("h", "/a/b/c").name == "ab"
    assert table.find("h", "/a/bc").name == "a"
    assert table.find("h", "/a").name == "all"
    assert table.find("h", "/").name == "all"
    assert table.find("x", "/a/b/") is None


def test_path_without_a_matching_prefix_has_no_route():
    """A prefix matches whole segments only."""
    table = core.RouteTable(state(route("a", "h", "/a/")))
    assert table.find("h", "/ab/") is None
    assert table.find("h", "") is None


def test_split_matches_the_weights_in_every_short_sequence():
    """A random choice deviates from the weights over some hundred requests."""
    weighted_services = (
        core.WeightedService("x", 90.0),
        core.WeightedService("y", 10.0),
    )
    split = core.WeightedRoundRobin()
    split_route = route("r", "h", "/", weighted_services)
    for _ in range(5):
        request_count_by_service = Counter(split.choose(split_route) for _ in range(20))
        assert request_count_by_service == {"x": 18, "y": 2}


def test_service_without_weight_gets_no_requests():
    """Operators set the weight of a service to 0 to stop its traffic."""
    weighted_services = (core.WeightedService("x", 0.0), core.WeightedService("y", 1.0))
    split = core.WeightedRoundRobin()
    assert {
        split.choose(route("r", "h", "/", weighted_services)) for _ in range(9)
    } == {"y"}


def test_credits_of_removed_routes_are_deleted():
    """Thousands of changed routes must not exhaust the memory."""
    weighted_services = (core.WeightedService("x", 1.0), core.WeightedService("y", 1.0))
    split = core.WeightedRoundRobin()
    split.choose(route("r", "h", "/", weighted_services))
    split.retain_routes(state())
    assert not split._credits_by_route

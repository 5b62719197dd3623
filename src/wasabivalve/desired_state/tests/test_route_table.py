"""Guard which route and service a request gets."""

from collections import Counter

from wasabivalve.desired_state import core

LIMITS = core.CallerLimits(1_000, 1_000, 1_000.0, 1_000.0)


ONE_PART = (core.WeightedService("desk", 1.0),)


def route(name, host, prefix, parts=ONE_PART):
    return core.RouteConfig(name, host, prefix, parts, True, 2, 1_000.0, 300.0, 1)


def state(*routes):
    return core.DesiredState(1, routes, {}, LIMITS)


def test_longest_prefix_of_the_host_wins():
    """A request on a shorter prefix would run in the wrong service."""
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


def test_split_keeps_its_weights_in_every_short_run():
    """Random choice strays from the weights in windows of some hundred requests."""
    parts = (core.WeightedService("x", 90.0), core.WeightedService("y", 10.0))
    chooser = core.WeightedRoundRobin()
    one = route("r", "h", "/", parts)
    for _ in range(5):
        seen = Counter(chooser.choose(one) for _ in range(20))
        assert seen == {"x": 18, "y": 2}


def test_part_without_weight_gets_nothing():
    """A part that is set to 0 is being taken out of service."""
    parts = (core.WeightedService("x", 0.0), core.WeightedService("y", 1.0))
    chooser = core.WeightedRoundRobin()
    assert {chooser.choose(route("r", "h", "/", parts)) for _ in range(9)} == {"y"}


def test_removed_routes_leave_no_credits():
    """Thousands of changed routes must not fill the memory."""
    parts = (core.WeightedService("x", 1.0), core.WeightedService("y", 1.0))
    chooser = core.WeightedRoundRobin()
    chooser.choose(route("r", "h", "/", parts))
    chooser.retain_routes(state())
    assert not chooser._credit_by_route

"""Test which instances may serve a request."""

import pytest

from wasabivalve.placement import core, eligibility

REGIONS = {"a1": "a", "a2": "a", "b1": "b"}


def instance(data_centre, draining=False):
    return core.RegisteredInstance(
        "i-1", "desk", "h", 1, data_centre, 2, draining, 0.0, 1, 1
    )


@pytest.mark.parametrize(
    ("allowed_regions", "data_centres"),
    [
        ((), ["a1", "a2", "b1", "x1"]),
        (("a",), ["a1", "a2"]),
        (("a", "b"), ["a1", "a2", "b1"]),
        (("x",), []),
    ],
)
def test_instances_outside_the_regions_are_not_eligible(allowed_regions, data_centres):
    """Bookings reached a region that their route excludes."""
    assert [
        data_centre
        for data_centre in ("a1", "a2", "b1", "x1")
        if eligibility.may_serve(instance(data_centre), allowed_regions, REGIONS)
    ] == data_centres
    assert not eligibility.may_serve(instance("a1", True), allowed_regions, REGIONS)


def test_dispatcher_of_the_own_region_is_asked_first_only_if_it_is_allowed():
    """The dispatcher of a region that is excluded has no instance to offer."""
    assert eligibility.order_regions((), "b") == ["b"]
    assert eligibility.order_regions({"a", "b", "c"}, "b") == ["b", "a", "c"]
    assert eligibility.order_regions({"c", "a"}, "b") == ["a", "c"]


def test_keys_are_held_where_all_routes_may_be_served():
    """A key has one holder, and a route that excludes it is refused for that key."""
    a, b, both = frozenset("a"), frozenset("b"), frozenset("ab")
    assert eligibility.key_regions([], both) == eligibility.ANYWHERE
    assert eligibility.key_regions([a, eligibility.ANYWHERE], both) == frozenset()
    assert eligibility.key_regions([a, both], both) == a
    assert eligibility.key_regions([a, b], both) == both
    # Keys without any holder would be refused to every route.
    assert eligibility.key_regions([a, both], b) == both

"""Test that entries without effect and contradictory limits are found."""

import pytest

from wasabivalve.desired_state import consistency, core

LIMITS = core.CallerLimits(100, 1_000, 3_000.0, 15_000.0)
SERVICE = core.ServiceConfig("desk", 10, False)
ROUTE = core.RouteConfig(
    "r",
    "h",
    "/a/",
    (core.WeightedService("desk", 1.0),),
    True,
    2,
    1_000.0,
    300.0,
    1,
)


def check(routes=(ROUTE,), services=(SERVICE,), limits=(LIMITS,), regions=None, **more):
    configuration = consistency.Configuration(routes, services, limits, **more)
    return consistency.check(configuration, regions)


def places(problems):
    return [tuple(problem.place) for problem in problems]


def test_consistent_configuration_has_no_problem():
    """False findings would teach operators to ignore the check."""
    assert check(regions=("coast",)) == ()
    split = (core.WeightedService("desk", 0.5), core.WeightedService("other", 0.5))
    routes = (
        ROUTE._replace(weighted_services=split, allowed_regions=frozenset({"coast"})),
        ROUTE._replace(name="q", host="[::1]", path_prefix="/a/%20b/"),
    )
    assert check(routes, (SERVICE, SERVICE._replace(name="other"))) == ()


@pytest.mark.parametrize("host", ["", "h:80", "*.h", "H", "a b", "http://h", "ö"])
def test_host_that_no_request_has(host):
    """Requests to the host that was meant would be answered 404."""
    assert places(check((ROUTE._replace(host=host),))) == [("routes", 0, "host", None)]


@pytest.mark.parametrize("prefix", ["/a?b/", "/a#/", "/a b/", "/ö/"])
def test_prefix_that_no_path_has(prefix):
    """Paths are compared without the query and have only ASCII characters."""
    found = check((ROUTE._replace(path_prefix=prefix),))
    assert places(found) == [("routes", 0, "path_prefix", None)]


def test_earlier_route_of_the_same_host_and_prefix():
    """The later route replaces it without a trace."""
    (problem,) = check((ROUTE, ROUTE._replace(name="q")))
    assert problem.place == ("routes", 0, "path_prefix", None)
    assert "'q'" in problem.text
    (problem,) = check((ROUTE, ROUTE._replace(host="g")))
    assert problem.place == ("routes", 1, "name", None)


def test_services_that_are_missing_unused_or_replaced():
    """A wrong name leaves a route without a service and a service without requests."""
    others = (SERVICE, SERVICE._replace(name="dusk"))
    assert places(check(services=others)) == [("services", 1, "", None)]
    assert places(check(services=(SERVICE, SERVICE))) == [("services", 0, "name", None)]
    assert places(check(services=())) == [("routes", 0, "service", 0)]


def test_entries_that_could_not_be_decoded_may_be_used_or_provide():
    """An error in one entry must not cause further findings on sound ones."""
    for names in (None, frozenset({"desk"})):
        assert check(routes=(), services_of_rejected_routes=names) == ()
        assert check(services=(), rejected_services=names) == ()
    others = frozenset({"dusk"})
    assert len(check(routes=(), services_of_rejected_routes=others)) == 1
    assert len(check(services=(), rejected_services=others)) == 1


def test_part_of_a_split_without_weight():
    """Operators stop the traffic of a service so and may forget to remove it."""
    split = (core.WeightedService("x", 1.0), core.WeightedService("desk", 0.0))
    services = (SERVICE, SERVICE._replace(name="x"))
    found = check((ROUTE._replace(weighted_services=split),), services)
    assert places(found) == [("routes", 0, "weight", 1)]


@pytest.mark.parametrize(
    ("changes", "field"),
    [
        ({"target_latency_ms": 1_001.0}, "target_latency_ms"),
        ({"target_latency_ms": 0.0}, "target_latency_ms"),
        ({"timeout_ms": 0.0}, "timeout_ms"),
        ({"allowed_regions": frozenset({"coast", "sea"})}, "allowed_regions"),
    ],
)
def test_contradictions_of_routes(changes, field):
    """No request can be answered within such limits."""
    (problem,) = check((ROUTE._replace(**changes),), regions=("coast",))
    assert problem.category == consistency.CONTRADICTION
    assert problem.place.field == field


@pytest.mark.parametrize(
    ("changes", "field"),
    [
        ({"max_connections": 0}, "max_connections"),
        ({"warmup_per_s": 4.2}, "warmup_per_s"),
    ],
)
def test_contradictions_of_services(changes, field):
    """Instances would get no requests, or no bound while they are cold."""
    (problem,) = check(services=(SERVICE._replace(**changes),))
    assert problem.place.field == field


@pytest.mark.parametrize(
    ("changes", "field"),
    [
        ({"header_bytes": 1_001}, "header_bytes"),
        ({"header_bytes": 0}, "header_bytes"),
        ({"header_timeout_ms": 0.0}, "header_timeout_ms"),
        ({"idle_timeout_ms": 2_999.0}, "idle_timeout_ms"),
    ],
)
def test_contradictions_of_limits(changes, field):
    """One of two contradictory limits is without effect or excludes all callers."""
    (problem,) = check(limits=(LIMITS._replace(**changes),))
    assert problem.place.field == field
    assert places(check(limits=(LIMITS, LIMITS))) == [("limits", 0, "", None)]


def test_partitioned_service_with_routes_of_different_regions():
    """Requests for keys held in a region that only the other route allows fail."""
    narrow = ROUTE._replace(allowed_regions=frozenset({"coast"}))
    wide = ROUTE._replace(name="q", host="g")
    partitioned = SERVICE._replace(partitioned=True)
    (problem,) = check((narrow, wide), (partitioned,))
    assert problem.place == ("routes", 0, "allowed_regions", None)
    assert check((narrow, wide)) == ()
    assert check((narrow, narrow._replace(name="q", host="g")), (partitioned,)) == ()

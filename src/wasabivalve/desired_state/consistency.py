"""Find entries of a desired state that never match and limits that contradict."""

import collections
import re
from collections.abc import Collection, Iterable, Iterator
from typing import Literal, NamedTuple

from . import core

ERROR: Literal["error"] = "error"
NEVER_MATCHES: Literal["never_matches"] = "never_matches"
CONTRADICTION: Literal["contradiction"] = "contradiction"
Category = Literal["error", "never_matches", "contradiction"]
"""An error makes VMs ignore the whole document; they apply the others as they are."""

Subject = Literal["routes", "services", "limits"]

HOST_PATTERN = re.compile(r"[a-z0-9._~!$&'()+,;=%-]+|\[[0-9a-f:.]+\]")
"""Host of a request: in lower case and without a port (RFC 3986, 3.2.2).

The asterisk, which the RFC allows, is left out: no caller sends a wildcard.
"""

PATH_PATTERN = re.compile(r"[!-~]+")
"""Visible ASCII characters; the gateway refuses requests with any other."""


class Place(NamedTuple):
    """Name a field of the model, by the position of its entry among those of its kind.

    An empty ``field`` means the whole entry. ``part`` is an index into
    ``weighted_services``.
    """

    subject: Subject
    position: int
    field: str = ""
    part: int | None = None


class Problem(NamedTuple):
    """Hold one problem of a configuration and its place."""

    category: Category
    place: Place
    text: str


class Configuration(NamedTuple):
    """Hold the entries of a document in their order, also those that others replace.

    ``rejected_services`` are the names of services that could not be decoded, and
    ``services_of_rejected_routes`` those that routes which could not be decoded use.
    None means that not all of these names are known: what such an entry may use or
    provide is not reported as unused or missing.
    """

    routes: tuple[core.RouteConfig, ...]
    services: tuple[core.ServiceConfig, ...]
    limits: tuple[core.CallerLimits, ...]
    rejected_services: frozenset[str] | None = frozenset()
    services_of_rejected_routes: frozenset[str] | None = frozenset()


def check(
    configuration: Configuration, regions: Collection[str] | None = None
) -> tuple[Problem, ...]:
    """Return the problems of a configuration.

    ``regions`` are those of the deployment; without them, the names of regions are not
    checked.
    """
    return (
        *_find_replaced_routes(configuration.routes),
        *_find_unmatched_routes(configuration.routes),
        *_find_unusable_services(configuration),
        *_find_route_contradictions(configuration.routes),
        *_find_unknown_regions(configuration.routes, regions),
        *_find_region_conflicts(configuration),
        *_find_service_contradictions(configuration.services),
        *_find_limit_contradictions(configuration.limits),
    )


def _find_replaced_routes(routes: tuple[core.RouteConfig, ...]) -> Iterator[Problem]:
    # `core.RouteTable` keeps the last route of a host and prefix.
    last_by_key = {
        (route.host, route.path_prefix): index for index, route in enumerate(routes)
    }
    first_by_name: dict[str, int] = {}
    for index, route in enumerate(routes):
        last = last_by_key[route.host, route.path_prefix]
        if last != index:
            yield Problem(
                NEVER_MATCHES,
                Place("routes", index, "path_prefix"),
                f"route {route.name!r} gets no requests: route {routes[last].name!r} "
                "below it has the same host and prefix",
            )
        if first_by_name.setdefault(route.name, index) != index:
            yield Problem(
                CONTRADICTION,
                Place("routes", index, "name"),
                f"{route.name!r} is also the name of another route",
            )


def _find_unmatched_routes(routes: tuple[core.RouteConfig, ...]) -> Iterator[Problem]:
    for index, route in enumerate(routes):
        if not HOST_PATTERN.fullmatch(route.host):
            yield Problem(
                NEVER_MATCHES,
                Place("routes", index, "host"),
                f"{route.host!r} is the host of no request; expected one host name or "
                "address, without a port or wildcard",
            )
        if not PATH_PATTERN.fullmatch(route.path_prefix) or set("?#") & set(
            route.path_prefix
        ):
            yield Problem(
                NEVER_MATCHES,
                Place("routes", index, "path_prefix"),
                f"{route.path_prefix!r} begins no path; paths have only visible ASCII "
                "characters without ? and #",
            )
        if len(route.weighted_services) == 1:
            continue
        for part, weighted in enumerate(route.weighted_services):
            if weighted.weight <= 0.0:
                yield Problem(
                    NEVER_MATCHES,
                    Place("routes", index, "weight", part),
                    f"{weighted.weight:g} gives service {weighted.service!r} no "
                    "requests of the route",
                )


def _find_unusable_services(configuration: Configuration) -> Iterator[Problem]:
    used = set(configuration.services_of_rejected_routes or ())
    rejected = configuration.rejected_services
    last_by_name = {
        service.name: index for index, service in enumerate(configuration.services)
    }
    for index, route in enumerate(configuration.routes):
        for part, weighted in enumerate(route.weighted_services):
            used.add(weighted.service)
            is_configured = (
                rejected is None
                or weighted.service in rejected
                or weighted.service in last_by_name
            )
            if not is_configured:
                yield Problem(
                    NEVER_MATCHES,
                    Place("routes", index, "service", part),
                    f"service {weighted.service!r} is not configured",
                )
    for index, service in enumerate(configuration.services):
        if last_by_name[service.name] != index:
            yield Problem(
                NEVER_MATCHES,
                Place("services", index, "name"),
                f"{service.name!r} has no effect: a service below it has the same name",
            )
        elif (
            configuration.services_of_rejected_routes is not None
            and service.name not in used
        ):
            yield Problem(
                NEVER_MATCHES,
                Place("services", index),
                f"no route uses service {service.name!r}",
            )


def _find_route_contradictions(
    routes: tuple[core.RouteConfig, ...],
) -> Iterator[Problem]:
    for index, route in enumerate(routes):
        if route.timeout_ms <= 0.0:
            yield Problem(
                CONTRADICTION,
                Place("routes", index, "timeout_ms"),
                f"{_seconds(route.timeout_ms)} leaves no time to answer a request",
            )
        elif route.target_latency_ms > route.timeout_ms:
            yield Problem(
                CONTRADICTION,
                Place("routes", index, "target_latency_ms"),
                f"{_seconds(route.target_latency_ms)} is beyond the timeout of "
                f"{_seconds(route.timeout_ms)}",
            )
        if route.target_latency_ms <= 0.0:
            yield Problem(
                CONTRADICTION,
                Place("routes", index, "target_latency_ms"),
                f"{_seconds(route.target_latency_ms)} is a target that no answer meets",
            )


def _find_unknown_regions(
    routes: tuple[core.RouteConfig, ...], regions: Collection[str] | None
) -> Iterator[Problem]:
    if regions is None:
        return
    for index, route in enumerate(routes):
        unknown = sorted(route.allowed_regions - set(regions))
        if not unknown:
            continue
        effect = (
            "; no instance may serve the route"
            if len(unknown) == len(route.allowed_regions)
            else ""
        )
        yield Problem(
            CONTRADICTION,
            Place("routes", index, "allowed_regions"),
            f"the deployment has no region {_join(unknown)}, only "
            f"{_join(sorted(regions))}{effect}",
        )


def _find_region_conflicts(configuration: Configuration) -> Iterator[Problem]:
    """Find routes that exclude regions in which keys of their service are held.

    The holders of keys are in the regions of all routes to the service together.
    """
    partitioned = {
        service.name for service in configuration.services if service.partitioned
    }
    routes_by_service: dict[str, list[core.RouteConfig]] = collections.defaultdict(list)
    for route in configuration.routes:
        for weighted in route.weighted_services:
            routes_by_service[weighted.service].append(route)
    for index, route in enumerate(configuration.routes):
        for weighted in route.weighted_services:
            if weighted.service not in partitioned or not route.allowed_regions:
                continue
            wider = next(
                (
                    other
                    for other in routes_by_service[weighted.service]
                    if not other.allowed_regions
                    or other.allowed_regions - route.allowed_regions
                ),
                None,
            )
            if wider is not None:
                yield Problem(
                    CONTRADICTION,
                    Place("routes", index, "allowed_regions"),
                    f"service {weighted.service!r} is partitioned and route "
                    f"{wider.name!r} to it allows further regions; requests for keys "
                    "held there are refused",
                )


def _find_service_contradictions(
    services: tuple[core.ServiceConfig, ...],
) -> Iterator[Problem]:
    for index, service in enumerate(services):
        if service.max_connections < 1:
            yield Problem(
                CONTRADICTION,
                Place("services", index, "max_connections"),
                f"{service.max_connections} allows no connection to an instance",
            )
        if service.warmup_per_s > 0.0 and service.warmup_ms <= 0.0:
            yield Problem(
                CONTRADICTION,
                Place("services", index, "warmup_per_s"),
                f"{service.warmup_per_s:g} requests/s have no effect without a warm-up "
                "time",
            )


def _find_limit_contradictions(
    limits: tuple[core.CallerLimits, ...],
) -> Iterator[Problem]:
    for index, caller_limits in enumerate(limits):
        if index < len(limits) - 1:
            yield Problem(
                NEVER_MATCHES,
                Place("limits", index),
                "these limits have no effect: others below replace them",
            )
        yield from _compare_limits(index, caller_limits)


def _compare_limits(index: int, caller_limits: core.CallerLimits) -> Iterator[Problem]:
    if caller_limits.header_bytes < 1:
        yield Problem(
            CONTRADICTION,
            Place("limits", index, "header_bytes"),
            f"{caller_limits.header_bytes} bytes exclude every request",
        )
    if caller_limits.header_bytes > caller_limits.body_bytes:
        yield Problem(
            CONTRADICTION,
            Place("limits", index, "header_bytes"),
            f"{caller_limits.header_bytes} bytes are beyond the limit on bodies of "
            f"{caller_limits.body_bytes} bytes",
        )
    if caller_limits.header_timeout_ms <= 0.0:
        yield Problem(
            CONTRADICTION,
            Place("limits", index, "header_timeout_ms"),
            f"{_seconds(caller_limits.header_timeout_ms)} leaves no time to send a "
            "header",
        )
    if caller_limits.idle_timeout_ms < caller_limits.header_timeout_ms:
        yield Problem(
            CONTRADICTION,
            Place("limits", index, "idle_timeout_ms"),
            f"{_seconds(caller_limits.idle_timeout_ms)} is below the header timeout of "
            f"{_seconds(caller_limits.header_timeout_ms)}",
        )


def _seconds(duration_ms: float) -> str:
    return f"{duration_ms / 1000.0:g} s"


def _join(names: Iterable[str]) -> str:
    return ", ".join(map(repr, names))

"""Hold the routes in force and find the route of a request."""

from collections.abc import Mapping
from typing import NamedTuple


class WeightedService(NamedTuple):
    """Name one service of a route and its share of the requests."""

    service: str
    weight: float


class RouteConfig(NamedTuple):
    """Describe how requests below one path prefix of a host are handled.

    ``rank`` 0 is the most urgent; ``idempotent`` requests may run more than once.
    """

    name: str
    host: str
    path_prefix: str
    weighted_services: tuple[WeightedService, ...]
    idempotent: bool
    max_attempts: int
    timeout_ms: float
    target_latency_ms: float
    rank: int


class ServiceConfig(NamedTuple):
    """Describe a service; the instances of a ``partitioned`` one hold keys exclusively.

    An instance tells at ``health_path`` whether it is healthy, and its id.
    """

    name: str
    max_connections: int
    partitioned: bool
    health_path: str = ""


class CallerLimits(NamedTuple):
    """Bound what a caller may send and how long it may take or stay idle."""

    header_bytes: int
    body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class DesiredState(NamedTuple):
    """Hold one version of everything that operators set."""

    version: int
    routes: tuple[RouteConfig, ...]
    service_by_name: Mapping[str, ServiceConfig]
    limits: CallerLimits


class RouteTable:
    """Find routes by host and longest path prefix."""

    def __init__(self, state: DesiredState) -> None:
        self.state = state
        self._route_by_prefix_by_host: dict[str, dict[str, RouteConfig]] = {}
        self._most_urgent_by_service: dict[str, int] = {}
        for route in state.routes:
            for part in route.weighted_services:
                known = self._most_urgent_by_service.get(part.service, route.rank)
                self._most_urgent_by_service[part.service] = min(known, route.rank)
            by_prefix = self._route_by_prefix_by_host.setdefault(route.host, {})
            by_prefix[route.path_prefix] = route

    def is_most_urgent(self, route: RouteConfig, service: str) -> bool:
        """Return whether no route to a service is more urgent than this one."""
        return route.rank <= self._most_urgent_by_service.get(service, route.rank)

    def find(self, host: str, path: str) -> RouteConfig | None:
        """Return the route of a path without its query, or None."""
        by_prefix = self._route_by_prefix_by_host.get(host)
        if by_prefix is None:
            return None
        # Every prefix ends with a slash, so only these cuts can match.
        end = path.rfind("/")
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


class WeightedRoundRobin:
    """Divide the requests of each route among its parts by their weights.

    Smooth weighted round robin keeps every run of requests close to the weights; a
    random choice would stray from them in short windows.
    """

    def __init__(self) -> None:
        self._credit_by_route: dict[
            tuple[str, tuple[WeightedService, ...]], list[float]
        ] = {}

    def choose(self, route: RouteConfig) -> str:
        """Return the service that gets the next request of the route."""
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service
        # A change of the weights starts new credits.
        key = (route.name, route.weighted_services)
        credits = self._credit_by_route.setdefault(
            key, [0.0] * len(route.weighted_services)
        )
        total = 0.0
        for index, part in enumerate(route.weighted_services):
            credits[index] += part.weight
            total += part.weight
        best = max(range(len(credits)), key=credits.__getitem__)
        credits[best] -= total
        return route.weighted_services[best].service

    def retain_routes(self, state: DesiredState) -> None:
        """Drop the credits of routes that are no longer in force."""
        kept = {(route.name, route.weighted_services) for route in state.routes}
        for key in [one for one in self._credit_by_route if one not in kept]:
            del self._credit_by_route[key]

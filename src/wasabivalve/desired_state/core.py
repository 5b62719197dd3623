"""Hold the configured routes and find the route of a request."""

from collections.abc import Mapping
from typing import NamedTuple


class WeightedService(NamedTuple):
    """Name one service of a route and its weight in the split of the requests."""

    service: str
    weight: float


class RouteConfig(NamedTuple):
    """Describe how requests below one path prefix of a host are handled.

    ``rank`` 0 is the most urgent; ``idempotent`` requests may run more than once.
    Only instances in ``allowed_regions`` may serve them; empty allows all regions. One
    that ``has_large_responses`` must leave room for others on slow links.
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
    allowed_regions: frozenset[str] = frozenset()
    has_large_responses: bool = False


class ServiceConfig(NamedTuple):
    """Describe a service.

    Each instance of a ``partitioned`` service owns its keys exclusively. Every
    instance reports its health and its id at ``health_path``. An instance is cold for
    ``warmup_ms`` after a start and then tolerates ``warmup_per_s`` requests per second;
    0 means that instances need no warm-up, or that no such rate is known.
    """

    name: str
    max_connections: int
    partitioned: bool
    health_path: str = ""
    warmup_ms: float = 0.0
    warmup_per_s: float = 0.0


class CallerLimits(NamedTuple):
    """Limit the sizes of requests, and the times to send headers and to stay idle."""

    header_bytes: int
    body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class DesiredState(NamedTuple):
    """Hold one version of everything that operators configure."""

    version: int
    routes: tuple[RouteConfig, ...]
    service_by_name: Mapping[str, ServiceConfig]
    limits: CallerLimits


class RouteTable:
    """Find routes by host and longest path prefix."""

    def __init__(self, state: DesiredState) -> None:
        self.state = state
        self._route_by_prefix_by_host: dict[str, dict[str, RouteConfig]] = {}
        self._lowest_rank_by_service: dict[str, int] = {}
        for route in state.routes:
            for weighted in route.weighted_services:
                lowest = self._lowest_rank_by_service.get(weighted.service, route.rank)
                self._lowest_rank_by_service[weighted.service] = min(lowest, route.rank)
            route_by_prefix = self._route_by_prefix_by_host.setdefault(route.host, {})
            route_by_prefix[route.path_prefix] = route

    def is_most_urgent(self, route: RouteConfig, service: str) -> bool:
        """Return whether no route to a service is more urgent than this one."""
        return route.rank <= self._lowest_rank_by_service.get(service, route.rank)

    def find(self, host: str, path: str) -> RouteConfig | None:
        """Return the route of a path (without its query), or None."""
        route_by_prefix = self._route_by_prefix_by_host.get(host)
        if route_by_prefix is None:
            return None
        # Every prefix ends with a slash, so only cuts after a slash can match.
        end = path.rfind("/")
        while end >= 0:
            route = route_by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def may_run_twice(self, host: str, path: str) -> bool:
        """Return whether a request may run twice; one without a route never runs."""
        route = self.find(host, path)
        return route is None or route.idempotent


class WeightedRoundRobin:
    """Split the requests of each route between its services by their weights.

    Smooth weighted round robin keeps every sequence of requests close to the weights;
    a random choice would deviate from them in short windows.
    """

    def __init__(self) -> None:
        self._credits_by_route: dict[
            tuple[str, tuple[WeightedService, ...]], list[float]
        ] = {}

    def choose(self, route: RouteConfig) -> str:
        """Return the service that gets the next request of the route."""
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service
        # Changed weights start with new credits.
        key = (route.name, route.weighted_services)
        credits = self._credits_by_route.setdefault(
            key, [0.0] * len(route.weighted_services)
        )
        total_weight = 0.0
        for index, weighted in enumerate(route.weighted_services):
            credits[index] += weighted.weight
            total_weight += weighted.weight
        best_index = max(range(len(credits)), key=credits.__getitem__)
        credits[best_index] -= total_weight
        return route.weighted_services[best_index].service

    def retain_routes(self, state: DesiredState) -> None:
        """Remove the credits of routes that are not in ``state``."""
        retained = {(route.name, route.weighted_services) for route in state.routes}
        for key in [known for known in self._credits_by_route if known not in retained]:
            del self._credits_by_route[key]

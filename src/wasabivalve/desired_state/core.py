"""Hold the routes in force and find the route of a request."""

from collections.abc import Mapping
from typing import NamedTuple


class Part(NamedTuple):
    """Name one service of a route and its share of the requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """Describe how requests below one path prefix of a host are handled.

    ``rank`` 0 is the most urgent; ``idempotent`` requests may run more than once.
    """

    name: str
    host: str
    path_prefix: str
    parts: tuple[Part, ...]
    idempotent: bool
    most_attempts: int
    timeout_ms: float
    target_latency_ms: float
    rank: int


class Service(NamedTuple):
    """Describe a service; the instances of a ``divided`` one hold keys exclusively.

    An instance tells at ``health_path`` whether it is healthy, and its id.
    """

    name: str
    most_connections: int
    divided: bool
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
    routes: tuple[Route, ...]
    service_by_name: Mapping[str, Service]
    limits: CallerLimits


class RouteTable:
    """Find routes by host and longest path prefix."""

    def __init__(self, state: DesiredState) -> None:
        self.state = state
        self._route_by_prefix_by_host: dict[str, dict[str, Route]] = {}
        self._most_urgent_by_service: dict[str, int] = {}
        for route in state.routes:
            for part in route.parts:
                known = self._most_urgent_by_service.get(part.service, route.rank)
                self._most_urgent_by_service[part.service] = min(known, route.rank)
            by_prefix = self._route_by_prefix_by_host.setdefault(route.host, {})
            by_prefix[route.path_prefix] = route

    def is_most_urgent(self, route: Route, service: str) -> bool:
        """Return whether no route to a service is more urgent than this one."""
        return route.rank <= self._most_urgent_by_service.get(service, route.rank)

    def find(self, host: str, path: str) -> Route | None:
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


class SplitChooser:
    """Divide the requests of each route among its parts by their weights.

    Smooth weighted round robin keeps every run of requests close to the weights; a
    random choice would stray from them in short windows.
    """

    def __init__(self) -> None:
        self._credit_by_route: dict[tuple[str, tuple[Part, ...]], list[float]] = {}

    def choose(self, route: Route) -> str:
        """Return the service that gets the next request of the route."""
        if len(route.parts) == 1:
            return route.parts[0].service
        # A change of the weights starts new credits.
        key = (route.name, route.parts)
        credits = self._credit_by_route.setdefault(key, [0.0] * len(route.parts))
        total = 0.0
        for index, part in enumerate(route.parts):
            credits[index] += part.weight
            total += part.weight
        best = max(range(len(credits)), key=credits.__getitem__)
        credits[best] -= total
        return route.parts[best].service

    def forget_except(self, state: DesiredState) -> None:
        """Drop the credits of routes that are no longer in force."""
        kept = {(route.name, route.parts) for route in state.routes}
        for key in [one for one in self._credit_by_route if one not in kept]:
            del self._credit_by_route[key]

"""Routes, services and limits that operators have configured."""

from .core import (
    CallerLimits,
    DesiredState,
    RouteConfig,
    RouteTable,
    ServiceConfig,
    WeightedRoundRobin,
    WeightedService,
)

__all__ = [
    "CallerLimits",
    "DesiredState",
    "RouteConfig",
    "RouteTable",
    "ServiceConfig",
    "WeightedRoundRobin",
    "WeightedService",
]

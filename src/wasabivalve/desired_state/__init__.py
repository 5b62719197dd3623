"""Routes, services and limits that operators want in force."""

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

"""Routes, services and limits that operators want in force."""

from .core import (
    CallerLimits,
    DesiredState,
    Part,
    Route,
    RouteTable,
    Service,
    SplitChooser,
)

__all__ = [
    "CallerLimits",
    "DesiredState",
    "Part",
    "Route",
    "RouteTable",
    "Service",
    "SplitChooser",
]

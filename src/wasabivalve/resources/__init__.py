"""Declared resources: signed writes, replay, validation and lookups."""

from . import replay, rules, signing, specs, view, writes
from .replay import EMPTY, Applied, ConfigurationState, Resource, apply
from .view import Instance, KeyRange, Rank, Service, View

__all__ = [
    "EMPTY",
    "Applied",
    "ConfigurationState",
    "Instance",
    "KeyRange",
    "Rank",
    "Resource",
    "Service",
    "View",
    "apply",
    "replay",
    "rules",
    "signing",
    "specs",
    "view",
    "writes",
]

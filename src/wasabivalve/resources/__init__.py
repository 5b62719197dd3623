"""Declared resources: signed writes, replay, validation and lookups."""

from . import replay, rules, signing, specs, validation, view, writes
from .replay import EMPTY, Applied, ConfigurationState, Resource, apply
from .validation import Document, validate
from .view import Instance, KeyRange, Rank, Service, View

__all__ = [
    "EMPTY",
    "Applied",
    "ConfigurationState",
    "Document",
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
    "validate",
    "validation",
    "view",
    "writes",
]

"""Declared resources: signed writes, replay, validation, publishing and status."""

from . import (
    differences,
    planning,
    publishing,
    reading,
    replay,
    rules,
    signing,
    snapshots,
    specs,
    status,
    validation,
    view,
    writes,
)
from .planning import Change
from .publishing import Accepted, Pending, Refused, Unchanged, publish
from .reading import Current, Keys, Unreadable, advance, read_all
from .replay import EMPTY, Applied, ConfigurationState, Resource, apply
from .validation import Document, validate
from .view import Instance, KeyRange, Rank, Service, View

__all__ = [
    "EMPTY",
    "Accepted",
    "Applied",
    "Change",
    "ConfigurationState",
    "Current",
    "Document",
    "Instance",
    "KeyRange",
    "Keys",
    "Pending",
    "Rank",
    "Refused",
    "Resource",
    "Service",
    "Unchanged",
    "Unreadable",
    "View",
    "advance",
    "apply",
    "differences",
    "planning",
    "publish",
    "publishing",
    "read_all",
    "reading",
    "replay",
    "rules",
    "signing",
    "snapshots",
    "specs",
    "status",
    "validate",
    "validation",
    "view",
    "writes",
]

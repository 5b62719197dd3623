"""Configuration resources: signed writes, replay, validation, publishing, status."""

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
from .planning import ResourceChange
from .publishing import Accepted, Pending, Refused, Unchanged, publish
from .reading import (
    CurrentConfiguration,
    OperatorKeys,
    StreamUnreadable,
    read_all,
    read_to_end,
)
from .replay import (
    EMPTY_CONFIGURATION,
    ConfigurationRecordResult,
    ConfigurationState,
    Resource,
    apply,
)
from .validation import SourceDocument, validate
from .view import (
    ConfigurationView,
    ConfiguredInstance,
    ConfiguredKeyRange,
    ConfiguredRank,
    ConfiguredService,
)

__all__ = [
    "EMPTY_CONFIGURATION",
    "Accepted",
    "ConfigurationRecordResult",
    "ConfigurationState",
    "ConfigurationView",
    "ConfiguredInstance",
    "ConfiguredKeyRange",
    "ConfiguredRank",
    "ConfiguredService",
    "CurrentConfiguration",
    "OperatorKeys",
    "Pending",
    "Refused",
    "Resource",
    "ResourceChange",
    "SourceDocument",
    "StreamUnreadable",
    "Unchanged",
    "apply",
    "differences",
    "planning",
    "publish",
    "publishing",
    "read_all",
    "read_to_end",
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

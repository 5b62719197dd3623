"""Settings of an entry process."""

from .core import (
    Loaded,
    Rejected,
    check,
    check_document,
    load,
    merge_defaults,
    region_by_data_centre,
)

__all__ = [
    "Loaded",
    "Rejected",
    "check",
    "check_document",
    "load",
    "merge_defaults",
    "region_by_data_centre",
]

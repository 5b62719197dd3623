"""Settings of an entry process."""

from .core import (
    InvalidSettings,
    LoadedSettings,
    check,
    check_document,
    load,
    merge_defaults,
    region_by_data_centre,
)

__all__ = [
    "InvalidSettings",
    "LoadedSettings",
    "check",
    "check_document",
    "load",
    "merge_defaults",
    "region_by_data_centre",
]

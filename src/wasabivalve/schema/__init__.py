"""JSON Schemas of messages, records, resources and settings, and generated types."""

import json
from importlib import resources
from typing import Any

from . import (
    messages_generated,
    records_generated,
    resources_generated,
    settings_generated,
)

__all__ = [
    "load_schema",
    "messages_generated",
    "records_generated",
    "resources_generated",
    "settings_generated",
]


def load_schema(name: str) -> dict[str, Any]:
    """Return the JSON Schema with this name, such as ``settings``."""
    text = resources.files(__name__).joinpath(f"{name}.json").read_text()
    schema: dict[str, Any] = json.loads(text)
    return schema

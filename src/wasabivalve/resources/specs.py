"""Check the spec of a resource against the schema of its kind."""

import functools
import re
from collections.abc import Iterator
from typing import Any, NamedTuple

import jsonschema

from wasabivalve import schema

DEFINITION_BY_KIND = {
    "service": "ServiceSpec",
    "traffic_rank": "TrafficRankSpec",
    "key_range": "KeyRangeSpec",
    "drain_order": "DrainOrderSpec",
}
KINDS = tuple(DEFINITION_BY_KIND)


class DocumentProblem(NamedTuple):
    """Describe one problem of a document and its JSON path."""

    path: str
    problem: str


def _check_pattern(
    validator: Any, pattern: str, value: Any, definition: Any
) -> Iterator[jsonschema.ValidationError]:
    # In JSON Schema "$" matches only the end of a string; in Python it also matches
    # before a final line feed, so two names could differ by a line feed only.
    if isinstance(value, str) and not re.search(pattern.replace("$", r"\Z"), value):
        yield jsonschema.ValidationError(f"{value!r} does not match {pattern!r}")


_ResourceValidator = jsonschema.validators.extend(
    jsonschema.Draft202012Validator, {"pattern": _check_pattern}
)


@functools.cache
def _validator_for(definition: str) -> Any:
    root = schema.load_schema("resources")
    return _ResourceValidator({"$ref": f"#/$defs/{definition}", "$defs": root["$defs"]})


def check_definition(definition: str, value: Any) -> tuple[DocumentProblem, ...]:
    """Return the problems of a value, checked against one schema definition."""
    errors = _validator_for(definition).iter_errors(value)
    return tuple(
        sorted(DocumentProblem(error.json_path, error.message) for error in errors)
    )


def check_spec(kind: str, spec: Any) -> tuple[DocumentProblem, ...]:
    """Return the problems of a spec. Raises KeyError for an unknown kind."""
    return check_definition(DEFINITION_BY_KIND[kind], spec)


def check_name(name: Any) -> tuple[DocumentProblem, ...]:
    """Return the problems of a resource name."""
    document = {"kind": "service", "name": name, "spec": {}}
    return check_definition("ResourceDocument", document)

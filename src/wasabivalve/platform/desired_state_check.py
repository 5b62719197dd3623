"""Check a desired state before it is sent and compare it with the one in force."""

import collections
import difflib
from collections.abc import Collection, Iterator, Mapping
from typing import Any, NamedTuple

from wasabivalve import outcomes, resources
from wasabivalve.desired_state import consistency
from wasabivalve.desired_state import core as desired_state

from . import desired_state as decoder

FIELD_BY_MODEL_FIELD = {
    "name": "metadata.name",
    "host": "spec.host",
    "path_prefix": "spec.path_prefix",
    "idempotent": "spec.kind",
    "max_attempts": "spec.max_attempts",
    "timeout_ms": "spec.timeout_s",
    "target_latency_ms": "spec.target_latency_s",
    "rank": "spec.priority",
    "allowed_regions": "spec.allowed_regions",
    "has_large_responses": "spec.kind",
    "max_connections": "spec.max_connections",
    "partitioned": "spec.sharded",
    "health_path": "spec.health_path",
    "warmup_ms": "spec.warmup_s",
    "warmup_per_s": "spec.warmup_per_s",
    "header_bytes": "spec.max_header_bytes",
    "body_bytes": "spec.max_body_bytes",
    "header_timeout_ms": "spec.header_timeout_s",
    "idle_timeout_ms": "spec.idle_timeout_s",
}

ResourceKey = tuple[str, str, int]
"""Kind, name and the number of resources with both before it in the document."""


class CategorizedFinding(NamedTuple):
    """Hold a finding and its category."""

    category: consistency.Category
    finding: outcomes.Finding


class ResourceChange(NamedTuple):
    """Hold how a resource differs from the one in force."""

    action: str
    kind: str
    name: str
    differences: tuple[resources.differences.Difference, ...]


class CheckedDocument(NamedTuple):
    """Hold the findings on a document and its model; None if VMs would ignore it."""

    findings: tuple[CategorizedFinding, ...]
    state: desired_state.DesiredState | None


class ComparedDocuments(NamedTuple):
    """Hold what differs from the version in force, and findings on the comparison.

    A version is None if its document has none.
    """

    findings: tuple[CategorizedFinding, ...]
    version: int | None
    version_in_force: int | None
    changes: tuple[ResourceChange, ...]


def check(
    data: bytes, file: str, regions: Collection[str] | None = None
) -> CheckedDocument:
    """Return all findings on a document.

    ``regions`` are those of the deployment; without them, the names of regions are not
    checked.
    """
    try:
        document = decoder.parse(data)
    except decoder.MalformedDesiredState as error:
        return CheckedDocument((_make_error(file, "", str(error)),), None)
    decoded = decoder.decode_document(document)
    findings = [_make_error(file, *problem) for problem in decoded.problems]
    findings += [
        CategorizedFinding(
            problem.category,
            outcomes.Finding(file, _locate(decoded, problem.place), problem.text),
        )
        for problem in consistency.check(_make_configuration(decoded), regions)
    ]
    findings += _find_misspelt_kinds(document, file)
    state = None if decoded.problems else decoder.decode(data)
    return CheckedDocument(tuple(findings), state)


def compare(data: bytes, in_force_data: bytes, file: str) -> ComparedDocuments | None:
    """Return what differs from the document in force; None if one is not JSON."""
    try:
        document = decoder.parse(data)
        in_force = decoder.parse(in_force_data)
    except decoder.MalformedDesiredState:
        return None
    changes = tuple(_find_changes(_index(document), _index(in_force)))
    version, version_in_force = map(_read_version, (document, in_force))
    findings = tuple(_check_version(file, version, version_in_force, bool(changes)))
    return ComparedDocuments(findings, version, version_in_force, changes)


def _check_version(
    file: str, version: int | None, version_in_force: int | None, is_changed: bool
) -> Iterator[CategorizedFinding]:
    if version is None or version_in_force is None:
        return
    # VMs ignore a document whose version is not above the one that they know.
    if version < version_in_force or (version == version_in_force and is_changed):
        text = f"is {version}, expected more than {version_in_force}, the one in force"
        yield _make_error(file, "version", text)


def _make_error(file: str, path: str, text: str) -> CategorizedFinding:
    json_path = f"$.{path}" if path else "$"
    finding = outcomes.Finding(file, json_path, text)
    return CategorizedFinding(consistency.ERROR, finding)


def _find_misspelt_kinds(document: Any, file: str) -> Iterator[CategorizedFinding]:
    """Find kinds that resemble a known one; later versions may add any others."""
    for index, resource in enumerate(_list_resources(document)):
        kind = resource.get("resource_kind") if isinstance(resource, dict) else None
        if not isinstance(kind, str) or kind in decoder.KINDS:
            continue
        similar = difflib.get_close_matches(kind.lower(), decoder.KINDS, cutoff=0.8)
        if similar:
            path = f"$.resources[{index}].resource_kind"
            text = f"{kind!r} has no effect, expected {similar[0]!r}"
            yield CategorizedFinding(
                consistency.NEVER_MATCHES, outcomes.Finding(file, path, text)
            )


def _make_configuration(decoded: decoder.DecodedDocument) -> consistency.Configuration:
    return consistency.Configuration(
        tuple(located.value for located in decoded.routes),
        tuple(located.value for located in decoded.services),
        tuple(located.value for located in decoded.limits),
        _list_rejected_services(decoded.rejected),
        _list_services_of_rejected_routes(decoded.rejected),
    )


def _list_rejected_services(
    rejected: tuple[decoder.RejectedResource, ...],
) -> frozenset[str] | None:
    """Return the names of services with problems; None if one is unreadable."""
    names = set()
    for kind, value in rejected:
        if isinstance(value, desired_state.ServiceConfig) and value.name:
            names.add(value.name)
        elif kind in (decoder.SERVICES_KIND, ""):
            return None
    return frozenset(names)


def _list_services_of_rejected_routes(
    rejected: tuple[decoder.RejectedResource, ...],
) -> frozenset[str] | None:
    """Return the services of routes with problems; None if one is unreadable."""
    names: set[str] = set()
    for kind, value in rejected:
        if isinstance(value, desired_state.RouteConfig):
            used = {weighted.service for weighted in value.weighted_services}
            if not used or "" in used:
                return None
            names |= used
        elif kind in (decoder.ROUTES_KIND, ""):
            return None
    return frozenset(names)


def _locate(decoded: decoder.DecodedDocument, place: consistency.Place) -> str:
    """Return the JSON path of a place."""
    located_by_subject: dict[str, tuple[decoder.Located[Any], ...]] = {
        "routes": decoded.routes,
        "services": decoded.services,
        "limits": decoded.limits,
    }
    located = located_by_subject[place.subject][place.position]
    path = f"$.{located.path}"
    if place.part is not None:
        has_split = "traffic_split" in located.spec
        parent = f"traffic_split[{place.part}]." if has_split else ""
        return f"{path}.spec.{parent}{place.field}"
    return f"{path}.{FIELD_BY_MODEL_FIELD[place.field]}" if place.field else path


def _read_version(document: Any) -> int | None:
    version = document.get("version") if isinstance(document, dict) else None
    is_number = isinstance(version, int) and not isinstance(version, bool)
    return version if is_number else None


def _list_resources(document: Any) -> list[Any]:
    listed = document.get("resources") if isinstance(document, dict) else None
    return listed if isinstance(listed, list) else []


def _index(document: Any) -> dict[ResourceKey, Any]:
    """Return the specifications by resource; skip resources that have no kind."""
    count_by_key: collections.Counter[tuple[str, str]] = collections.Counter()
    spec_by_key: dict[ResourceKey, Any] = {}
    for resource in _list_resources(document):
        kind = resource.get("resource_kind") if isinstance(resource, dict) else None
        if not isinstance(kind, str):
            continue
        metadata = resource.get("metadata")
        name = metadata.get("name") if isinstance(metadata, dict) else None
        key = kind, name if isinstance(name, str) else ""
        spec_by_key[*key, count_by_key[key]] = resource.get("spec")
        count_by_key[key] += 1
    return spec_by_key


def _find_changes(
    new: Mapping[ResourceKey, Any], in_force: Mapping[ResourceKey, Any]
) -> Iterator[ResourceChange]:
    for key in sorted({*new, *in_force}):
        kind, name, _ = key
        if key not in in_force:
            yield ResourceChange("create", kind, name, ())
        elif key not in new:
            yield ResourceChange("delete", kind, name, ())
        else:
            found = resources.differences.between(new[key], in_force[key])
            if found:
                yield ResourceChange("update", kind, name, found)

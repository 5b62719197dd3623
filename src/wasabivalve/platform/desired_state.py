"""Decode the operator's desired state."""

from collections.abc import Mapping
from typing import Any, Generic, NamedTuple, TypeVar

from wasabivalve import untrusted_data
from wasabivalve.desired_state import core as desired_state

ROUTES_KIND = "routes"
SERVICES_KIND = "services"
LIMITS_KIND = "limits"
SAFE = "safe"
DOWNLOAD = "download"
"""Kinds of routes whose requests may run more than once; responses of the latter are
large."""

KINDS = (ROUTES_KIND, SERVICES_KIND, LIMITS_KIND)

Decoded = TypeVar("Decoded")
_Resource = (
    desired_state.RouteConfig | desired_state.ServiceConfig | desired_state.CallerLimits
)


class MalformedDesiredState(Exception):
    """Report what is wrong with a desired state, with the path of the field."""


class Problem(NamedTuple):
    """Hold one problem and the path of the field that has it, empty for the whole."""

    path: str
    text: str

    def __str__(self) -> str:
        """Return the path and the problem as one sentence."""
        return f"{self.path} {self.text}".lstrip()


class Located(NamedTuple, Generic[Decoded]):
    """Hold a decoded resource, its path in the document and its specification."""

    value: Decoded
    path: str
    spec: Mapping[str, Any]


class RejectedResource(NamedTuple):
    """Hold what could be read of a resource with problems.

    An empty ``kind`` means that it could not be read; None means that nothing else
    could. Fields of ``value`` that could not be read are empty or 0.
    """

    kind: str
    value: _Resource | None


class DecodedDocument(NamedTuple):
    """Hold the resources that could be decoded and all problems of the others."""

    version: int
    routes: tuple[Located[desired_state.RouteConfig], ...]
    services: tuple[Located[desired_state.ServiceConfig], ...]
    limits: tuple[Located[desired_state.CallerLimits], ...]
    rejected: tuple[RejectedResource, ...]
    problems: tuple[Problem, ...]


def decode(data: bytes) -> desired_state.DesiredState:
    """Return the desired state of an operator's document.

    Raise ``MalformedDesiredState`` if the document is not a valid desired state.
    """
    decoded = decode_document(parse(data))
    if decoded.problems:
        raise MalformedDesiredState(str(decoded.problems[0]))
    return desired_state.DesiredState(
        decoded.version,
        tuple(located.value for located in decoded.routes),
        {located.value.name: located.value for located in decoded.services},
        decoded.limits[-1].value,
    )


def parse(data: bytes) -> Any:
    """Return the JSON value of a document; raise ``MalformedDesiredState``."""
    try:
        return untrusted_data.decode_json(data)
    except untrusted_data.UndecodableError as error:
        raise MalformedDesiredState(f"not JSON: {error}") from error


def decode_document(document: Any) -> DecodedDocument:
    """Decode what is valid in a parsed document and collect all problems."""
    reader = _DocumentReader()
    version = reader.read_field(document, "version", int, "", 0)
    resources = reader.read_field(document, "resources", list, "", None)
    located_by_kind: dict[str, list[Located[Any]]] = {kind: [] for kind in KINDS}
    rejected: list[RejectedResource] = []
    for index, resource in enumerate(resources or ()):
        path = f"resources[{index}]"
        problem_count = len(reader.problems)
        kind = reader.read_field(resource, "resource_kind", str, path, "")
        spec = reader.read_field(resource, "spec", dict, path, None)
        value = _decode_resource(reader, kind, resource, path)
        if len(reader.problems) > problem_count:
            rejected.append(RejectedResource(kind, value))
        elif value is not None:
            located_by_kind[kind].append(Located(value, path, spec))
    has_limits = located_by_kind[LIMITS_KIND] or any(
        resource.kind in (LIMITS_KIND, "") for resource in rejected
    )
    if resources is not None and not has_limits:
        reader.add_problem("resources", f"has no resource of kind {LIMITS_KIND}")
    return DecodedDocument(
        version,
        tuple(located_by_kind[ROUTES_KIND]),
        tuple(located_by_kind[SERVICES_KIND]),
        tuple(located_by_kind[LIMITS_KIND]),
        tuple(rejected),
        tuple(reader.problems),
    )


class _DocumentReader:
    """Read fields and collect the problems, so that reading goes on after each."""

    def __init__(self) -> None:
        self.problems: list[Problem] = []

    def add_problem(self, path: str, text: str) -> None:
        """Add a problem."""
        self.problems.append(Problem(path, text))

    def read_field(
        self, mapping: Any, name: str, expected_type: Any, path: str, default: Any
    ) -> Any:
        """Return the value of a field, or the default after adding a problem."""
        field_path = f"{path}.{name}" if path else name
        if not isinstance(mapping, dict) or name not in mapping:
            self.add_problem(field_path, "is missing")
            return default
        value = mapping[name]
        if isinstance(value, bool) != (expected_type is bool) or not isinstance(
            value, expected_type
        ):
            self.add_problem(
                field_path,
                f"is {untrusted_data.excerpt(value)}, which has an unexpected type",
            )
            return default
        return value

    def read_number(self, mapping: Any, name: str, path: str) -> float:
        """Return the value of a number, or 0 after adding a problem."""
        value = self.read_field(mapping, name, (int, float), path, 0.0)
        try:
            return float(value)
        except OverflowError:
            self.add_problem(
                f"{path}.{name}",
                f"is {untrusted_data.excerpt(value)}, which is too large",
            )
            return 0.0

    def read_optional_number(self, spec: dict[str, Any], name: str, path: str) -> float:
        """Return a number that may be missing or null, which count as 0."""
        if spec.get(name) is None:
            return 0.0
        value = self.read_number(spec, name, path)
        # JSON has no infinite numbers, so only negative ones are excluded.
        if value < 0.0:
            self.add_problem(f"{path}.{name}", f"is {value:g}, expected 0 or more")
            return 0.0
        return value


def _decode_resource(
    reader: _DocumentReader, kind: str, resource: Any, path: str
) -> _Resource | None:
    """Return the resource, or None if its kind or its specification is unknown."""
    # Kinds that later versions add configure features that this one lacks.
    if kind not in KINDS:
        return None
    spec = resource.get("spec")
    has_spec = isinstance(spec, dict)
    if kind == LIMITS_KIND:
        return _decode_limits(reader, spec, f"{path}.spec") if has_spec else None
    metadata = reader.read_field(resource, "metadata", dict, path, None)
    name = ""
    if metadata is not None:
        name = reader.read_field(metadata, "name", str, f"{path}.metadata", "")
    if not has_spec:
        return None
    decode_spec = _decode_route if kind == ROUTES_KIND else _decode_service
    return decode_spec(reader, name, spec, f"{path}.spec")


def _decode_route(
    reader: _DocumentReader, name: str, spec: dict[str, Any], path: str
) -> desired_state.RouteConfig:
    path_prefix = reader.read_field(spec, "path_prefix", str, path, "/")
    if not (path_prefix.startswith("/") and path_prefix.endswith("/")):
        reader.add_problem(
            f"{path}.path_prefix",
            f"is {untrusted_data.excerpt(path_prefix)}, expected a leading and "
            "trailing /",
        )
    # Requests of these kinds may run more than once, those of any other at most once.
    kind = reader.read_field(spec, "kind", str, path, "")
    return desired_state.RouteConfig(
        name=name,
        host=reader.read_field(spec, "host", str, path, "").lower(),
        path_prefix=path_prefix,
        weighted_services=_decode_weighted_services(reader, spec, path),
        idempotent=kind in (SAFE, DOWNLOAD),
        max_attempts=max(1, int(reader.read_number(spec, "max_attempts", path))),
        timeout_ms=1000.0 * reader.read_number(spec, "timeout_s", path),
        target_latency_ms=1000.0 * reader.read_number(spec, "target_latency_s", path),
        rank=int(reader.read_number(spec, "priority", path)),
        allowed_regions=_decode_allowed_regions(reader, spec, path),
        has_large_responses=kind == DOWNLOAD,
    )


def _decode_allowed_regions(
    reader: _DocumentReader, spec: dict[str, Any], path: str
) -> frozenset[str]:
    """Return the regions of a route; missing, null and empty lists allow all."""
    if spec.get("allowed_regions") is None:
        return frozenset()
    regions = reader.read_field(spec, "allowed_regions", list, path, [])
    names = set()
    for index, region in enumerate(regions):
        if not isinstance(region, str) or not region:
            # A dropped entry could allow a region that the operator excludes.
            reader.add_problem(
                f"{path}.allowed_regions[{index}]",
                f"is {untrusted_data.excerpt(region)}, expected a name",
            )
        else:
            names.add(region)
    return frozenset(names)


def _decode_weighted_services(
    reader: _DocumentReader, spec: dict[str, Any], path: str
) -> tuple[desired_state.WeightedService, ...]:
    if "traffic_split" not in spec:
        service = reader.read_field(spec, "service", str, path, "")
        return (desired_state.WeightedService(service, 1.0),)
    problem_count = len(reader.problems)
    split = reader.read_field(spec, "traffic_split", list, path, [])
    weighted_services = tuple(
        desired_state.WeightedService(
            reader.read_field(
                part, "service", str, f"{path}.traffic_split[{index}]", ""
            ),
            reader.read_number(part, "weight", f"{path}.traffic_split[{index}]"),
        )
        for index, part in enumerate(split)
    )
    total_weight = sum(part.weight for part in weighted_services)
    if total_weight <= 0.0 and len(reader.problems) == problem_count:
        reader.add_problem(f"{path}.traffic_split", "has no positive total weight")
    return weighted_services


def _decode_service(
    reader: _DocumentReader, name: str, spec: dict[str, Any], path: str
) -> desired_state.ServiceConfig:
    return desired_state.ServiceConfig(
        name=name,
        max_connections=int(reader.read_number(spec, "max_connections", path)),
        # Each instance of a sharded service has exclusive leases of its keys.
        partitioned=spec.get("sharded") is True,
        health_path=_decode_health_path(reader, spec, path),
        warmup_ms=1000.0 * reader.read_optional_number(spec, "warmup_s", path),
        warmup_per_s=reader.read_optional_number(spec, "warmup_per_s", path),
    )


def _decode_health_path(
    reader: _DocumentReader, spec: dict[str, Any], path: str
) -> str:
    """Return the path of health probes; without one there are none."""
    if spec.get("health_path") is None:
        return ""
    health_path: str = reader.read_field(spec, "health_path", str, path, "")
    return health_path


def _decode_limits(
    reader: _DocumentReader, spec: dict[str, Any], path: str
) -> desired_state.CallerLimits:
    return desired_state.CallerLimits(
        header_bytes=int(reader.read_number(spec, "max_header_bytes", path)),
        body_bytes=int(reader.read_number(spec, "max_body_bytes", path)),
        header_timeout_ms=1000.0 * reader.read_number(spec, "header_timeout_s", path),
        idle_timeout_ms=1000.0 * reader.read_number(spec, "idle_timeout_s", path),
    )

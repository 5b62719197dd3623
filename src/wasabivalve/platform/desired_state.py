"""Decode the operator's desired state."""

import math
from typing import Any

import msgspec

from wasabivalve.desired_state import core as desired_state


class MalformedDesiredState(Exception):
    """Report what is wrong with a desired state, with the path of the field."""


def decode(data: bytes) -> desired_state.DesiredState:
    """Return the desired state of an operator's document.

    Raise ``MalformedDesiredState`` if the document is not a valid desired state.
    """
    try:
        document = msgspec.json.decode(data)
    except msgspec.DecodeError as error:
        raise MalformedDesiredState(f"not JSON: {error}") from error
    version = _read_field(document, "version", int, "")
    resources = _read_field(document, "resources", list, "")
    routes = []
    service_by_name = {}
    limits = None
    for index, resource in enumerate(resources):
        path = f"resources[{index}]"
        kind = _read_field(resource, "resource_kind", str, path)
        spec = _read_field(resource, "spec", dict, path)
        if kind == "limits":
            limits = _decode_limits(spec, f"{path}.spec")
            continue
        if kind not in ("routes", "services"):
            # Kinds that later versions add configure features that this one lacks.
            continue
        metadata = _read_field(resource, "metadata", dict, path)
        name = _read_field(metadata, "name", str, f"{path}.metadata")
        if kind == "routes":
            routes.append(_decode_route(name, spec, f"{path}.spec"))
        else:
            service_by_name[name] = _decode_service(name, spec, f"{path}.spec")
    if limits is None:
        raise MalformedDesiredState(
            "resources: expected a resource of kind limits, found none"
        )
    return desired_state.DesiredState(version, tuple(routes), service_by_name, limits)


def _read_field(mapping: Any, name: str, expected_type: Any, path: str) -> Any:
    if not isinstance(mapping, dict) or name not in mapping:
        raise MalformedDesiredState(f"{path}.{name} is missing")
    value = mapping[name]
    if isinstance(value, bool) != (expected_type is bool) or not isinstance(
        value, expected_type
    ):
        raise MalformedDesiredState(
            f"{path}.{name} is {value!r:.40}, which has an unexpected type"
        )
    return value


def _read_number(mapping: Any, name: str, path: str) -> float:
    return float(_read_field(mapping, name, (int, float), path))


def _read_optional_number(spec: dict[str, Any], name: str, path: str) -> float:
    """Return a number that may be missing or null, which count as 0."""
    if spec.get(name) is None:
        return 0.0
    value = _read_number(spec, name, path)
    if not 0.0 <= value < math.inf:
        raise MalformedDesiredState(f"{path}.{name} is {value!r}, expected 0 or more")
    return value


def _decode_route(
    name: str, spec: dict[str, Any], path: str
) -> desired_state.RouteConfig:
    path_prefix = _read_field(spec, "path_prefix", str, path)
    if not (path_prefix.startswith("/") and path_prefix.endswith("/")):
        raise MalformedDesiredState(
            f"{path}.path_prefix is {path_prefix!r}, expected a leading and trailing /"
        )
    # Requests of these kinds may run more than once, those of any other at most once.
    idempotent = _read_field(spec, "kind", str, path) in ("safe", "download")
    return desired_state.RouteConfig(
        name=name,
        host=_read_field(spec, "host", str, path).lower(),
        path_prefix=path_prefix,
        weighted_services=_decode_weighted_services(spec, path),
        idempotent=idempotent,
        max_attempts=max(1, int(_read_number(spec, "max_attempts", path))),
        timeout_ms=1000.0 * _read_number(spec, "timeout_s", path),
        target_latency_ms=1000.0 * _read_number(spec, "target_latency_s", path),
        rank=int(_read_number(spec, "priority", path)),
        allowed_regions=_decode_allowed_regions(spec, path),
    )


def _decode_allowed_regions(spec: dict[str, Any], path: str) -> frozenset[str]:
    """Return the regions of a route; missing, null and empty lists allow all."""
    if spec.get("allowed_regions") is None:
        return frozenset()
    regions = _read_field(spec, "allowed_regions", list, path)
    for index, region in enumerate(regions):
        if not isinstance(region, str) or not region:
            # A dropped entry could allow a region that the operator excludes.
            raise MalformedDesiredState(
                f"{path}.allowed_regions[{index}] is {region!r:.40}, expected a name"
            )
    return frozenset(regions)


def _decode_weighted_services(
    spec: dict[str, Any], path: str
) -> tuple[desired_state.WeightedService, ...]:
    if "traffic_split" not in spec:
        return (
            desired_state.WeightedService(_read_field(spec, "service", str, path), 1.0),
        )
    weighted_services = tuple(
        desired_state.WeightedService(
            _read_field(weighted_service, "service", str, path),
            _read_number(weighted_service, "weight", path),
        )
        for weighted_service in _read_field(spec, "traffic_split", list, path)
    )
    if (
        not weighted_services
        or sum(weighted_service.weight for weighted_service in weighted_services) <= 0.0
    ):
        raise MalformedDesiredState(
            f"{path}.traffic_split: expected a positive total weight"
        )
    return weighted_services


def _decode_service(
    name: str, spec: dict[str, Any], path: str
) -> desired_state.ServiceConfig:
    return desired_state.ServiceConfig(
        name=name,
        max_connections=int(_read_number(spec, "max_connections", path)),
        # Each instance of a sharded service has exclusive leases of its keys.
        partitioned=spec.get("sharded") is True,
        health_path=str(spec.get("health_path", "")),
        warmup_ms=1000.0 * _read_optional_number(spec, "warmup_s", path),
        warmup_per_s=_read_optional_number(spec, "warmup_per_s", path),
    )


def _decode_limits(spec: dict[str, Any], path: str) -> desired_state.CallerLimits:
    return desired_state.CallerLimits(
        header_bytes=int(_read_number(spec, "max_header_bytes", path)),
        body_bytes=int(_read_number(spec, "max_body_bytes", path)),
        header_timeout_ms=1000.0 * _read_number(spec, "header_timeout_s", path),
        idle_timeout_ms=1000.0 * _read_number(spec, "idle_timeout_s", path),
    )

"""Decode the operator's desired state."""

from typing import Any

import msgspec

from wasabivalve.desired_state import core as desired_state


class Malformed(Exception):
    """State what is wrong with a document, with its place."""


def decode(data: bytes) -> desired_state.DesiredState:
    """Return the desired state; raise ``Malformed`` for other documents."""
    try:
        document = msgspec.json.decode(data)
    except msgspec.DecodeError as error:
        raise Malformed(f"not JSON: {error}") from error
    version = _take(document, "version", int, "")
    resources = _take(document, "resources", list, "")
    routes = []
    service_by_name = {}
    limits = None
    for index, resource in enumerate(resources):
        place = f"resources[{index}]"
        kind = _take(resource, "resource_kind", str, place)
        spec = _take(resource, "spec", dict, place)
        if kind == "limits":
            limits = _decode_limits(spec, f"{place}.spec")
            continue
        if kind not in ("routes", "services"):
            # Later kinds of resources concern matters that this version lacks.
            continue
        metadata = _take(resource, "metadata", dict, place)
        name = _take(metadata, "name", str, f"{place}.metadata")
        if kind == "routes":
            routes.append(_decode_route(name, spec, f"{place}.spec"))
        else:
            service_by_name[name] = _decode_service(name, spec, f"{place}.spec")
    if limits is None:
        raise Malformed("resources: there are no limits")
    return desired_state.DesiredState(version, tuple(routes), service_by_name, limits)


def _take(table: Any, name: str, kind: Any, place: str) -> Any:
    if not isinstance(table, dict) or name not in table:
        raise Malformed(f"{place}.{name} is missing")
    value = table[name]
    if isinstance(value, bool) != (kind is bool) or not isinstance(value, kind):
        raise Malformed(f"{place}.{name} is {value!r:.40}")
    return value


def _number(table: Any, name: str, place: str) -> float:
    return float(_take(table, name, (int, float), place))


def _decode_route(
    name: str, spec: dict[str, Any], place: str
) -> desired_state.RouteConfig:
    prefix = _take(spec, "path_prefix", str, place)
    if not (prefix.startswith("/") and prefix.endswith("/")):
        raise Malformed(f"{place}.path_prefix is {prefix!r}")
    # ``safe`` requests may run more than once; every other kind at most once.
    idempotent = _take(spec, "kind", str, place) == "safe"
    return desired_state.RouteConfig(
        name=name,
        host=_take(spec, "host", str, place).lower(),
        path_prefix=prefix,
        weighted_services=_decode_parts(spec, place),
        idempotent=idempotent,
        max_attempts=max(1, int(_number(spec, "max_attempts", place))),
        timeout_ms=1000.0 * _number(spec, "timeout_s", place),
        target_latency_ms=1000.0 * _number(spec, "target_latency_s", place),
        rank=int(_number(spec, "priority", place)),
    )


def _decode_parts(
    spec: dict[str, Any], place: str
) -> tuple[desired_state.WeightedService, ...]:
    if "traffic_split" not in spec:
        return (desired_state.WeightedService(_take(spec, "service", str, place), 1.0),)
    parts = tuple(
        desired_state.WeightedService(
            _take(part, "service", str, place), _number(part, "weight", place)
        )
        for part in _take(spec, "traffic_split", list, place)
    )
    if not parts or sum(part.weight for part in parts) <= 0.0:
        raise Malformed(f"{place}.traffic_split has no weight")
    return parts


def _decode_service(
    name: str, spec: dict[str, Any], place: str
) -> desired_state.ServiceConfig:
    return desired_state.ServiceConfig(
        name=name,
        max_connections=int(_number(spec, "max_connections", place)),
        # ``sharded`` means that each instance holds its keys exclusively.
        partitioned=spec.get("sharded") is True,
        health_path=str(spec.get("health_path", "")),
    )


def _decode_limits(spec: dict[str, Any], place: str) -> desired_state.CallerLimits:
    return desired_state.CallerLimits(
        header_bytes=int(_number(spec, "max_header_bytes", place)),
        body_bytes=int(_number(spec, "max_body_bytes", place)),
        header_timeout_ms=1000.0 * _number(spec, "header_timeout_s", place),
        idle_timeout_ms=1000.0 * _number(spec, "idle_timeout_s", place),
    )

"""Build the immutable configuration lookups that the request path uses."""

import types
from collections.abc import Mapping
from typing import Any, NamedTuple

from . import replay

DEFAULT_MAX_CONNECTIONS = 110
DEFAULT_RANGES_PER_INSTANCE = 64
DEFAULT_IDEMPOTENT_METHODS = ("GET", "HEAD", "PUT", "DELETE")
DEFAULT_QUEUE_REQUESTS = 256
DEFAULT_QUEUE_BYTES = 8_388_608
DEFAULT_QUEUE_AGE_MS = 2_000
# One sixth of the 30 Mbit/s link, so that three ranks together leave half of it to
# control messages.
DEFAULT_LINK_BYTES_PER_S = 625_000


class ConfiguredInstance(NamedTuple):
    """Hold the address and data centre of one instance of a service."""

    name: str
    data_centre: str
    host: str
    port: int


class ConfiguredService(NamedTuple):
    """Hold the spec of a service with defaults filled in.

    ``slots`` is the number of requests that an instance runs concurrently and
    ``max_connections`` the number of connections that it accepts.
    """

    name: str
    revision: int
    partitioned: bool
    checks_fencing: bool
    slots: int
    max_connections: int
    instances: tuple[ConfiguredInstance, ...]
    idempotent_methods: frozenset[str]
    ranges_per_instance: int


class ConfiguredRank(NamedTuple):
    """Hold the spec of a traffic rank with defaults filled in.

    ``order`` is 0 for the most urgent rank. ``floor`` is the share of slots reserved
    for the rank under overload, ``objective`` the share of requests to be answered
    within ``target_ms``. The queue limits apply to the requests that wait for one
    instance, ``link_bytes_per_s`` to the links between regions.
    """

    name: str
    revision: int
    order: int
    floor: float
    target_ms: int
    objective: float
    queue_requests: int
    queue_bytes: int
    queue_age_ms: int
    link_bytes_per_s: int


class ConfiguredKeyRange(NamedTuple):
    """Hold the key positions [start, end) and the instances that may own them."""

    name: str
    revision: int
    service: str
    start: int
    end: int
    instances: tuple[str, ...]


class ConfigurationView(NamedTuple):
    """Hold the lookups of one configuration revision.

    ``drained_instances`` holds (service, instance) pairs. The ranges in
    ``key_ranges_by_service`` are sorted by start.
    """

    revision: int
    service_by_name: Mapping[str, ConfiguredService]
    rank_by_name: Mapping[str, ConfiguredRank]
    key_ranges_by_service: Mapping[str, tuple[ConfiguredKeyRange, ...]]
    drained_instances: frozenset[tuple[str, str]]
    drained_vms: frozenset[str]


def build(state: replay.ConfigurationState) -> ConfigurationView:
    """Return the lookups of a configuration state."""
    drain_orders = _resources_of_kind(state, "drain_order")
    return ConfigurationView(
        revision=state.revision,
        service_by_name=services(state),
        rank_by_name=ranks(state),
        key_ranges_by_service=key_ranges(state),
        drained_instances=frozenset(
            (order.spec["service"], order.spec["instance"])
            for order in drain_orders
            if "instance" in order.spec
        ),
        drained_vms=frozenset(
            order.spec["vm"] for order in drain_orders if "vm" in order.spec
        ),
    )


def services(state: replay.ConfigurationState) -> Mapping[str, ConfiguredService]:
    """Return the services by name."""
    return types.MappingProxyType(
        {
            resource.name: _build_service(resource)
            for resource in _resources_of_kind(state, "service")
        }
    )


def ranks(state: replay.ConfigurationState) -> Mapping[str, ConfiguredRank]:
    """Return the ranks by name, sorted by ``order`` with the most urgent first."""
    sorted_ranks = [
        _build_rank(resource) for resource in _resources_of_kind(state, "traffic_rank")
    ]
    sorted_ranks.sort(key=lambda rank: rank.order)
    return types.MappingProxyType({rank.name: rank for rank in sorted_ranks})


def key_ranges(
    state: replay.ConfigurationState,
) -> Mapping[str, tuple[ConfiguredKeyRange, ...]]:
    """Return the key ranges by service, sorted by start."""
    ranges_by_service: dict[str, list[ConfiguredKeyRange]] = {}
    for resource in _resources_of_kind(state, "key_range"):
        key_range = _build_key_range(resource)
        ranges_by_service.setdefault(key_range.service, []).append(key_range)
    return types.MappingProxyType(
        {
            service: tuple(sorted(ranges, key=lambda key_range: key_range.start))
            for service, ranges in ranges_by_service.items()
        }
    )


def _resources_of_kind(
    state: replay.ConfigurationState, kind: str
) -> list[replay.Resource]:
    return [
        state.resource_by_key[key]
        for key in sorted(state.resource_by_key)
        if key[0] == kind
    ]


# JSON Schema accepts 2.0 as an integer, so the functions below convert numbers.
def _build_service(resource: replay.Resource) -> ConfiguredService:
    spec = resource.spec
    methods = spec.get("idempotent_methods", DEFAULT_IDEMPOTENT_METHODS)
    return ConfiguredService(
        name=resource.name,
        revision=resource.revision,
        partitioned=spec["divided_by_key"],
        checks_fencing=spec.get("checks_fencing", True),
        slots=int(spec["slots"]),
        max_connections=int(spec.get("connections", DEFAULT_MAX_CONNECTIONS)),
        instances=tuple(_build_instance(instance) for instance in spec["instances"]),
        idempotent_methods=frozenset(methods),
        ranges_per_instance=int(
            spec.get("ranges_per_instance", DEFAULT_RANGES_PER_INSTANCE)
        ),
    )


def _build_instance(spec: Mapping[str, Any]) -> ConfiguredInstance:
    return ConfiguredInstance(
        spec["name"], spec["data_centre"], spec["host"], int(spec["port"])
    )


def _build_rank(resource: replay.Resource) -> ConfiguredRank:
    spec = resource.spec
    return ConfiguredRank(
        name=resource.name,
        revision=resource.revision,
        order=int(spec["order"]),
        floor=float(spec["floor"]),
        target_ms=int(spec["target_ms"]),
        objective=float(spec["objective"]),
        queue_requests=int(spec.get("queue_requests", DEFAULT_QUEUE_REQUESTS)),
        queue_bytes=int(spec.get("queue_bytes", DEFAULT_QUEUE_BYTES)),
        queue_age_ms=int(spec.get("queue_age_ms", DEFAULT_QUEUE_AGE_MS)),
        link_bytes_per_s=int(spec.get("link_bytes_per_s", DEFAULT_LINK_BYTES_PER_S)),
    )


def _build_key_range(resource: replay.Resource) -> ConfiguredKeyRange:
    spec = resource.spec
    return ConfiguredKeyRange(
        name=resource.name,
        revision=resource.revision,
        service=spec["service"],
        start=int(spec["start"], 16),
        end=int(spec["end"], 16),
        instances=tuple(spec["instances"]),
    )

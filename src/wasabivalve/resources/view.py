"""Give the request path immutable lookups of the configuration."""

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
# A sixth of the 30 Mbit/s link, so that three ranks leave half of it to control.
DEFAULT_LINK_BYTES_PER_S = 625_000


class ConfiguredInstance(NamedTuple):
    """Locate one instance of a service."""

    name: str
    data_centre: str
    host: str
    port: int


class ConfiguredService(NamedTuple):
    """Describe a service with the defaults of its spec filled in."""

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
    """Describe a traffic rank with the defaults of its spec filled in."""

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
    """Describe positions [start, end) and the instances that may own them."""

    name: str
    revision: int
    service: str
    start: int
    end: int
    instances: tuple[str, ...]


class ConfigurationView(NamedTuple):
    """Hold the lookups of one configuration revision.

    ``drained_instances`` holds (service, instance) pairs. ``key_ranges_by_service``
    holds the ranges of each service in order of start.
    """

    revision: int
    service_by_name: Mapping[str, ConfiguredService]
    rank_by_name: Mapping[str, ConfiguredRank]
    key_ranges_by_service: Mapping[str, tuple[ConfiguredKeyRange, ...]]
    drained_instances: frozenset[tuple[str, str]]
    drained_vms: frozenset[str]


def build(state: replay.ConfigurationState) -> ConfigurationView:
    """Return the lookups of a configuration state."""
    orders = _of_kind(state, "drain_order")
    return ConfigurationView(
        revision=state.revision,
        service_by_name=services(state),
        rank_by_name=ranks(state),
        key_ranges_by_service=key_ranges(state),
        drained_instances=frozenset(
            (row.spec["service"], row.spec["instance"])
            for row in orders
            if "instance" in row.spec
        ),
        drained_vms=frozenset(row.spec["vm"] for row in orders if "vm" in row.spec),
    )


def services(state: replay.ConfigurationState) -> Mapping[str, ConfiguredService]:
    """Return the services by name."""
    return types.MappingProxyType(
        {row.name: _service(row) for row in _of_kind(state, "service")}
    )


def ranks(state: replay.ConfigurationState) -> Mapping[str, ConfiguredRank]:
    """Return the ranks by name, the most urgent first."""
    found = [_rank(row) for row in _of_kind(state, "traffic_rank")]
    found.sort(key=lambda rank: rank.order)
    return types.MappingProxyType({rank.name: rank for rank in found})


def key_ranges(
    state: replay.ConfigurationState,
) -> Mapping[str, tuple[ConfiguredKeyRange, ...]]:
    """Return the key ranges of each service in order of start."""
    found: dict[str, list[ConfiguredKeyRange]] = {}
    for row in _of_kind(state, "key_range"):
        key_range = _key_range(row)
        found.setdefault(key_range.service, []).append(key_range)
    return types.MappingProxyType(
        {
            service: tuple(sorted(rows, key=lambda row: row.start))
            for service, rows in found.items()
        }
    )


def _of_kind(state: replay.ConfigurationState, kind: str) -> list[replay.Resource]:
    return [
        state.resource_by_key[key]
        for key in sorted(state.resource_by_key)
        if key[0] == kind
    ]


# JSON Schema counts 2.0 as an integer, hence the conversions below.
def _service(resource: replay.Resource) -> ConfiguredService:
    spec = resource.spec
    methods = spec.get("idempotent_methods", DEFAULT_IDEMPOTENT_METHODS)
    return ConfiguredService(
        name=resource.name,
        revision=resource.revision,
        partitioned=spec["divided_by_key"],
        checks_fencing=spec.get("checks_fencing", True),
        slots=int(spec["slots"]),
        max_connections=int(spec.get("connections", DEFAULT_MAX_CONNECTIONS)),
        instances=tuple(_instance(row) for row in spec["instances"]),
        idempotent_methods=frozenset(methods),
        ranges_per_instance=int(
            spec.get("ranges_per_instance", DEFAULT_RANGES_PER_INSTANCE)
        ),
    )


def _instance(row: Mapping[str, Any]) -> ConfiguredInstance:
    return ConfiguredInstance(
        row["name"], row["data_centre"], row["host"], int(row["port"])
    )


def _rank(resource: replay.Resource) -> ConfiguredRank:
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


def _key_range(resource: replay.Resource) -> ConfiguredKeyRange:
    spec = resource.spec
    return ConfiguredKeyRange(
        name=resource.name,
        revision=resource.revision,
        service=spec["service"],
        start=int(spec["start"], 16),
        end=int(spec["end"], 16),
        instances=tuple(spec["instances"]),
    )

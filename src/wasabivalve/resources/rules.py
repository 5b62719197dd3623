"""Check rules that involve several resources or several fields of one."""

import itertools
from collections.abc import Callable, Collection, Iterator, Mapping
from typing import Any, NamedTuple

ResourceKey = tuple[str, str]
SpecByKey = Mapping[ResourceKey, Mapping[str, Any]]

# Floors are decimal fractions; binary rounding can raise their sum above 1.
FLOOR_TOLERANCE = 1e-9


class RuleProblem(NamedTuple):
    """Describe one problem of a resource and its JSON path in the document."""

    key: ResourceKey
    path: str
    problem: str


Rule = Callable[[SpecByKey, Collection[ResourceKey]], Iterator[RuleProblem]]


def check(
    spec_by_key: SpecByKey, written_keys: Collection[ResourceKey]
) -> tuple[RuleProblem, ...]:
    """Return the problems of a set of resources whose specs fit their schemas.

    ``written_keys`` are the resources being written. A drain order is checked against
    the services only when it is written, so that a drained instance can be removed
    from its service while the drain order still exists.
    """
    rules: tuple[Rule, ...] = (
        _check_instances,
        _check_rank_orders,
        _check_floors,
        _check_key_ranges,
        _check_overlaps,
        _check_drain_orders,
    )
    return tuple(
        problem for rule in rules for problem in rule(spec_by_key, written_keys)
    )


def specs_of_kind(spec_by_key: SpecByKey, kind: str) -> dict[str, Mapping[str, Any]]:
    """Return the specs of one kind by name, in order of name."""
    return {
        name: spec_by_key[spec_kind, name]
        for spec_kind, name in sorted(spec_by_key)
        if spec_kind == kind
    }


def _check_instances(
    spec_by_key: SpecByKey, written_keys: Collection[ResourceKey]
) -> Iterator[RuleProblem]:
    for service, spec in specs_of_kind(spec_by_key, "service").items():
        names: set[str] = set()
        addresses: set[tuple[str, int]] = set()
        for index, instance in enumerate(spec["instances"]):
            path = f"$.spec.instances[{index}]"
            name = instance["name"]
            address = (instance["host"], instance["port"])
            if name in names:
                problem = f"instance {name!r} is named twice"
                yield RuleProblem(("service", service), f"{path}.name", problem)
            if address in addresses:
                problem = f"address {address[0]}:{address[1]} is used twice"
                yield RuleProblem(("service", service), path, problem)
            names.add(name)
            addresses.add(address)


def _check_rank_orders(
    spec_by_key: SpecByKey, written_keys: Collection[ResourceKey]
) -> Iterator[RuleProblem]:
    rank_by_order: dict[int, str] = {}
    for name, spec in specs_of_kind(spec_by_key, "traffic_rank").items():
        other = rank_by_order.setdefault(spec["order"], name)
        if other != name:
            key, other_key = _order_by_written(
                "traffic_rank", name, other, written_keys
            )
            problem = f"order {spec['order']} is also the order of rank"
            yield RuleProblem(key, "$.spec.order", f"{problem} {other_key[1]!r}")


def _order_by_written(
    kind: str, name: str, other: str, written_keys: Collection[ResourceKey]
) -> tuple[ResourceKey, ResourceKey]:
    # Of two conflicting resources, the finding is reported at the one being written.
    key, other_key = (kind, name), (kind, other)
    if key not in written_keys and other_key in written_keys:
        return other_key, key
    return key, other_key


def _check_floors(
    spec_by_key: SpecByKey, written_keys: Collection[ResourceKey]
) -> Iterator[RuleProblem]:
    ranks = specs_of_kind(spec_by_key, "traffic_rank")
    total = sum(spec["floor"] for spec in ranks.values())
    if total <= 1.0 + FLOOR_TOLERANCE:
        return
    for name, spec in ranks.items():
        if ("traffic_rank", name) in written_keys:
            problem = f"floor {spec['floor']:g} raises the sum of floors to {total:g}"
            yield RuleProblem(
                ("traffic_rank", name), "$.spec.floor", f"{problem}, above 1"
            )


def _check_key_ranges(
    spec_by_key: SpecByKey, written_keys: Collection[ResourceKey]
) -> Iterator[RuleProblem]:
    for name, spec in specs_of_kind(spec_by_key, "key_range").items():
        for path, problem in _key_range_problems(spec_by_key, spec):
            yield RuleProblem(("key_range", name), f"$.spec.{path}", problem)


def _key_range_problems(
    spec_by_key: SpecByKey, spec: Mapping[str, Any]
) -> Iterator[tuple[str, str]]:
    if not int(spec["start"], 16) < int(spec["end"], 16):
        yield "end", f"end {spec['end']} is not after start {spec['start']}"
    service = spec_by_key.get(("service", spec["service"]))
    if service is None:
        yield "service", f"service {spec['service']!r} does not exist"
        return
    if not service["divided_by_key"]:
        yield "service", f"service {spec['service']!r} is not partitioned by key"
    instance_names = {instance["name"] for instance in service["instances"]}
    listed_names: set[str] = set()
    for index, instance in enumerate(spec["instances"]):
        path = f"instances[{index}]"
        if instance not in instance_names:
            yield path, f"service {spec['service']!r} has no instance {instance!r}"
        if instance in listed_names:
            yield path, f"instance {instance!r} is named twice"
        listed_names.add(instance)


def _check_overlaps(
    spec_by_key: SpecByKey, written_keys: Collection[ResourceKey]
) -> Iterator[RuleProblem]:
    ranges = sorted(
        (spec["service"], int(spec["start"], 16), int(spec["end"], 16), name)
        for name, spec in specs_of_kind(spec_by_key, "key_range").items()
    )
    for service, group in itertools.groupby(ranges, key=lambda item: item[0]):
        last_end, last_name = -1, ""
        for _, start, end, name in group:
            if start < last_end:
                key, other = _order_by_written(
                    "key_range", name, last_name, written_keys
                )
                problem = f"overlaps key range {other[1]!r} of service {service!r}"
                yield RuleProblem(key, "$.spec.start", problem)
            if end > last_end:
                last_end, last_name = end, name


def _check_drain_orders(
    spec_by_key: SpecByKey, written_keys: Collection[ResourceKey]
) -> Iterator[RuleProblem]:
    for name, spec in specs_of_kind(spec_by_key, "drain_order").items():
        key = ("drain_order", name)
        if key not in written_keys:
            continue
        for path, problem in _drain_order_problems(spec_by_key, spec):
            yield RuleProblem(key, path, problem)


def _drain_order_problems(
    spec_by_key: SpecByKey, spec: Mapping[str, Any]
) -> Iterator[tuple[str, str]]:
    if set(spec) == {"vm"}:
        return
    if set(spec) != {"service", "instance"}:
        yield "$.spec", "expected either service and instance, or vm"
        return
    service = spec_by_key.get(("service", spec["service"]))
    if service is None:
        yield "$.spec.service", f"service {spec['service']!r} does not exist"
        return
    if spec["instance"] not in {instance["name"] for instance in service["instances"]}:
        problem = f"service {spec['service']!r} has no instance {spec['instance']!r}"
        yield "$.spec.instance", problem

"""Render configuration and observed state as text and as JSON objects."""

import json
from collections.abc import Iterable, Sequence
from typing import Any

from wasabivalve import resources
from wasabivalve.burn import rendering

MAX_VALUE_CHARS = 60


def format_table(header: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Return a table with aligned columns."""
    return "\n".join(rendering.align_columns([header, *rows]))


def format_value(value: Any) -> str:
    """Return a JSON value on one line, truncated to ``MAX_VALUE_CHARS``."""
    text = json.dumps(value, default=dict)
    return text if len(text) <= MAX_VALUE_CHARS else text[: MAX_VALUE_CHARS - 3] + "..."


def summarize_spec(resource: resources.Resource) -> str:
    """Return a one-line summary of a spec."""
    spec = resource.spec
    if resource.kind == "service":
        routing = "by key" if spec["divided_by_key"] else "any instance"
        return f"{len(spec['instances'])} instances, {spec['slots']} slots, {routing}"
    if resource.kind == "traffic_rank":
        return (
            f"order {spec['order']}, floor {spec['floor']:g}, "
            f"{spec['objective']:g} in {spec['target_ms']} ms"
        )
    if resource.kind == "key_range":
        return f"{spec['service']} [{spec['start']}, {spec['end']})"
    if "vm" in spec:
        return f"entry VM {spec['vm']}"
    return f"instance {spec['service']}/{spec['instance']}"


def make_document(resource: resources.Resource) -> dict[str, Any]:
    """Return a resource as a JSON object that `apply` accepts."""
    return {
        "kind": resource.kind,
        "name": resource.name,
        "revision": resource.revision,
        "spec": dict(resource.spec),
    }


def make_audit_document(resource: resources.Resource) -> dict[str, Any]:
    """Return the author and time of the last write as a JSON object."""
    return {
        "kind": resource.kind,
        "name": resource.name,
        "operator": resource.operator,
        "written_at": resource.written_at,
        "record_id": resource.record_id,
    }


def format_observed_state(
    resource: resources.Resource, status: resources.status.EntryStatus
) -> str:
    """Return on how many VMs a resource is in force, and the progress of a drain."""
    lagging_vms = resources.status.lagging_vms(status, resource.revision)
    vm_count = len({status["vm"], *status["vms"]})
    lagging_count = len(lagging_vms)
    text = (
        "in force"
        if not lagging_count
        else f"in force on {vm_count - lagging_count} of {vm_count} VMs"
    )
    if resource.kind != "drain_order":
        return text
    return f"{text}, {resources.status.drain_progress(status, resource.spec)}"


def format_status(
    status: resources.status.EntryStatus, state: resources.ConfigurationState
) -> list[str]:
    """Return lines on the revision that a status reflects and the lagging VMs."""
    lagging_vms = resources.status.lagging_vms(status, state.revision)
    lines = [
        f"status of {status['vm']} reflects revision "
        f"{status['configuration_revision']}; the log is at revision {state.revision}"
    ]
    if lagging_vms:
        names = ", ".join(f"{lag.vm} ({lag.reason})" for lag in lagging_vms)
        lines.append(f"lagging: {names}")
    else:
        lines.append("in force on all VMs")
    return lines


def make_status_document(
    status: resources.status.EntryStatus, state: resources.ConfigurationState
) -> dict[str, Any]:
    """Return a status and the lagging VMs as a JSON object."""
    return {
        "from": status["vm"],
        "reflects_revision": status["configuration_revision"],
        "lagging": [
            lag._asdict()
            for lag in resources.status.lagging_vms(status, state.revision)
        ],
        "observed": status,
    }


def format_differences(
    differences: Iterable[resources.differences.Difference], mine: str, theirs: str
) -> list[str]:
    """Return one line per difference."""
    return [
        f"  {difference.path}: {mine} {format_value(difference.mine)}, "
        f"{theirs} {format_value(difference.theirs)}"
        for difference in differences
    ]


def describe_change(entry: resources.reading.StreamEntry) -> str:
    """Return the effect of an accepted write."""
    if entry.record["deleted"]:
        return "deleted"
    return "updated" if entry.previous_resource else "created"


def compare_with_previous(
    entry: resources.reading.StreamEntry,
) -> tuple[resources.differences.Difference, ...]:
    """Return the differences between a write and the previous resource."""
    if entry.previous_resource is None or entry.record["deleted"]:
        return ()
    return resources.differences.between(
        entry.previous_resource.spec, entry.record["spec"]
    )

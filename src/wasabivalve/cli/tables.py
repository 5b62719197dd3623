"""Render configuration and observed state as text and as JSON objects."""

import json
from collections.abc import Iterable, Sequence
from typing import Any

from wasabivalve import resources
from wasabivalve.burn import rendering

VALUE_WIDTH = 60


def text(header: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Return a table with aligned columns."""
    return "\n".join(rendering.align_columns([header, *rows]))


def value_text(value: Any) -> str:
    """Return a JSON value on one line, cut to a fixed width."""
    shown = json.dumps(value, default=dict)
    return shown if len(shown) <= VALUE_WIDTH else shown[: VALUE_WIDTH - 3] + "..."


def summary(resource: resources.Resource) -> str:
    """Return the main members of a spec on one line."""
    spec = resource.spec
    if resource.kind == "service":
        form = "by key" if spec["divided_by_key"] else "any instance"
        return f"{len(spec['instances'])} instances, {spec['slots']} slots, {form}"
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


def document(resource: resources.Resource) -> dict[str, Any]:
    """Return a resource as a JSON object that `apply` reads back."""
    return {
        "kind": resource.kind,
        "name": resource.name,
        "revision": resource.revision,
        "spec": dict(resource.spec),
    }


def audit_document(resource: resources.Resource) -> dict[str, Any]:
    """Return who wrote a resource as a JSON object."""
    return {
        "kind": resource.kind,
        "name": resource.name,
        "operator": resource.operator,
        "written_at": resource.written_at,
        "record_id": resource.record_id,
    }


def observed_text(
    resource: resources.Resource, status: resources.status.EntryStatus
) -> str:
    """Return where a resource is in force, and the progress of a drain order."""
    lags = resources.status.lagging_vms(status, resource.revision)
    total = len({status["vm"], *status["vms"]})
    behind = len(lags)
    shown = "in force" if not behind else f"in force on {total - behind} of {total} VMs"
    if resource.kind != "drain_order":
        return shown
    return f"{shown}, {resources.status.drain_progress(status, resource.spec)}"


def status_lines(
    status: resources.status.EntryStatus, state: resources.ConfigurationState
) -> list[str]:
    """Return the revision that a status reflects, and the VMs that lag."""
    lags = resources.status.lagging_vms(status, state.revision)
    lines = [
        f"status of {status['vm']} reflects revision "
        f"{status['configuration_revision']}; the log is at revision {state.revision}"
    ]
    if lags:
        names = ", ".join(f"{lag.vm} ({lag.reason})" for lag in lags)
        lines.append(f"lagging: {names}")
    else:
        lines.append("in force on all VMs")
    return lines


def status_document(
    status: resources.status.EntryStatus, state: resources.ConfigurationState
) -> dict[str, Any]:
    """Return a status with the VMs that lag as a JSON object."""
    return {
        "from": status["vm"],
        "reflects_revision": status["configuration_revision"],
        "lagging": [
            lag._asdict()
            for lag in resources.status.lagging_vms(status, state.revision)
        ],
        "observed": status,
    }


def difference_lines(
    found: Iterable[resources.differences.Difference], mine: str, theirs: str
) -> list[str]:
    """Return one line for each difference."""
    return [
        f"  {row.path}: {mine} {value_text(row.mine)}, "
        f"{theirs} {value_text(row.theirs)}"
        for row in found
    ]


def change_text(entry: resources.reading.StreamEntry) -> str:
    """Return what an accepted write did."""
    if entry.record["deleted"]:
        return "deleted"
    return "updated" if entry.previous_resource else "created"


def change_differences(
    entry: resources.reading.StreamEntry,
) -> tuple[resources.differences.Difference, ...]:
    """Return how a write differs from the resource before it."""
    if entry.previous_resource is None or entry.record["deleted"]:
        return ()
    return resources.differences.between(
        entry.previous_resource.spec, entry.record["spec"]
    )

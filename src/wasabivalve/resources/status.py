"""Fetch the status of an entry VM and compare it with the configuration."""

import dataclasses
from collections.abc import Collection, Mapping
from typing import Any, NamedTuple, NotRequired, TypedDict

import msgspec
import urllib3

MAX_REPLY_BYTES = 16 * 1024 * 1024
# An older report does not describe the current state of the VM: VMs report at least
# every second, and a VM is suspected after 1 s without a message.
MAX_REPORT_AGE_MS = 3_000.0


class VmStatus(TypedDict):
    """Hold what the replying VM knows of one entry VM.

    ``age_ms`` is the age of the last report of that VM.
    """

    live: bool
    configuration_revision: int
    draining: bool
    age_ms: float


class EntryStatus(TypedDict):
    """Hold the status reply of an entry VM."""

    vm: str
    configuration_revision: int
    ready: bool
    draining: bool
    vms: dict[str, VmStatus]
    shards: NotRequired[dict[str, Any]]
    instances: NotRequired[dict[str, Any]]
    quarantine: NotRequired[list[Any]]


class LaggingVm(NamedTuple):
    """Hold a VM on which a revision is not confirmed to be in force, and the reason."""

    vm: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class StatusReported:
    """Hold the status that an entry VM reported."""

    status: EntryStatus


@dataclasses.dataclass(frozen=True, slots=True)
class StatusUnavailable:
    """Report why no status is available."""

    reason: str


def fetch(url: str, timeout_ms: float = 2_000.0) -> StatusReported | StatusUnavailable:
    """Request the status of the entry VM at a base URL."""
    pool = urllib3.PoolManager(retries=False)
    timeout = urllib3.Timeout(total=timeout_ms / 1_000)
    try:
        reply = pool.request(
            "GET", f"{url.rstrip('/')}/-/status", timeout=timeout, preload_content=False
        )
        body = reply.read(MAX_REPLY_BYTES)
        reply.close()
    except urllib3.exceptions.HTTPError as error:
        return StatusUnavailable(f"no reply: {error}")
    finally:
        pool.clear()
    if reply.status != 200:
        return StatusUnavailable(f"expected HTTP status 200, found {reply.status}")
    return parse(body)


def parse(body: bytes) -> StatusReported | StatusUnavailable:
    """Return the status in the body of a reply."""
    try:
        return StatusReported(msgspec.json.decode(body, type=EntryStatus))
    except (ValueError, RecursionError) as error:
        return StatusUnavailable(f"invalid reply: {error}")


def lagging_vms(
    status: EntryStatus, revision: int, expected_vms: Collection[str] = ()
) -> tuple[LaggingVm, ...]:
    """Return the VMs on which this revision is not confirmed to be in force."""
    reason_by_vm = {}
    if status["configuration_revision"] < revision:
        reason_by_vm[status["vm"]] = f"revision {status['configuration_revision']}"
    for vm, vm_status in status["vms"].items():
        reason = _lag_reason(vm_status, revision) if vm != status["vm"] else ""
        if reason:
            reason_by_vm[vm] = reason
    for vm in expected_vms:
        if vm not in status["vms"] and vm != status["vm"]:
            reason_by_vm[vm] = "never reported"
    return tuple(LaggingVm(vm, reason) for vm, reason in sorted(reason_by_vm.items()))


def _lag_reason(vm: VmStatus, revision: int) -> str:
    if vm["draining"] and not vm["live"]:
        # The VM was drained and stopped, so it carries no traffic.
        return ""
    if not vm["live"]:
        return f"not live, last report {vm['age_ms'] / 1_000:.1f} s ago"
    if vm["configuration_revision"] < revision:
        return f"revision {vm['configuration_revision']}"
    if vm["age_ms"] > MAX_REPORT_AGE_MS:
        return f"last report {vm['age_ms'] / 1_000:.1f} s ago"
    return ""


def drain_progress(status: EntryStatus, spec: Mapping[str, Any]) -> str:
    """Return the progress of a drain order with this spec.

    One of ``drained``, ``draining``, ``not draining`` and ``not reported``.
    """
    if "vm" in spec:
        return _vm_drain_progress(status, spec["vm"])
    instance = status.get("instances", {}).get(f"{spec['service']}/{spec['instance']}")
    if not isinstance(instance, Mapping) or "draining" not in instance:
        return "not reported"
    if not instance["draining"]:
        return "not draining"
    return "drained" if instance.get("in_flight") == 0 else "draining"


def _vm_drain_progress(status: EntryStatus, vm: str) -> str:
    if vm == status["vm"]:
        return "draining" if status["draining"] else "not draining"
    vm_status = status["vms"].get(vm)
    if vm_status is None:
        return "not reported"
    if vm_status["draining"]:
        return "draining" if vm_status["live"] else "drained"
    return "not draining"

"""Read the observed state from an entry VM."""

import dataclasses
from collections.abc import Collection, Mapping
from typing import Any, NamedTuple, NotRequired, TypedDict

import msgspec
import urllib3

MAX_REPLY_BYTES = 16 * 1024 * 1024
# A report older than this no longer shows what the VM does now: VMs report at least
# every second, and a VM is suspected after 1 s of silence.
MAX_REPORT_AGE_MS = 3_000.0


class VmStatus(TypedDict):
    """Hold what the asked VM knows of one entry VM."""

    live: bool
    configuration_revision: int
    draining: bool
    age_ms: float


class EntryStatus(TypedDict):
    """Hold the reply of an entry VM."""

    vm: str
    configuration_revision: int
    ready: bool
    draining: bool
    vms: dict[str, VmStatus]
    shards: NotRequired[dict[str, Any]]
    instances: NotRequired[dict[str, Any]]
    quarantine: NotRequired[list[Any]]


class LaggingVm(NamedTuple):
    """Name a VM that is not known to have a revision in force, and why."""

    vm: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class StatusReported:
    """Carry the status that an entry VM reported."""

    status: EntryStatus


@dataclasses.dataclass(frozen=True, slots=True)
class StatusUnavailable:
    """State why no status is known."""

    reason: str


def fetch(url: str, timeout_ms: float = 2_000.0) -> StatusReported | StatusUnavailable:
    """Ask the entry VM at a base URL for its status."""
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
        return StatusUnavailable(f"status {reply.status}")
    return parse(body)


def parse(body: bytes) -> StatusReported | StatusUnavailable:
    """Return the status in a reply."""
    try:
        return StatusReported(msgspec.json.decode(body, type=EntryStatus))
    except (ValueError, RecursionError) as error:
        return StatusUnavailable(f"damaged reply: {error}")


def lagging_vms(
    status: EntryStatus, revision: int, expected_vms: Collection[str] = ()
) -> tuple[LaggingVm, ...]:
    """Return the VMs that are not known to have this revision in force."""
    found = {}
    if status["configuration_revision"] < revision:
        found[status["vm"]] = f"revision {status['configuration_revision']}"
    for name, vm in status["vms"].items():
        problem = _lag(vm, revision) if name != status["vm"] else ""
        if problem:
            found[name] = problem
    for name in expected_vms:
        if name not in status["vms"] and name != status["vm"]:
            found[name] = "never reported"
    return tuple(LaggingVm(name, reason) for name, reason in sorted(found.items()))


def _lag(vm: VmStatus, revision: int) -> str:
    if vm["draining"] and not vm["live"]:
        # The VM left as planned and carries no traffic.
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
        return _vm_progress(status, spec["vm"])
    row = status.get("instances", {}).get(f"{spec['service']}/{spec['instance']}")
    if not isinstance(row, Mapping) or "draining" not in row:
        return "not reported"
    if not row["draining"]:
        return "not draining"
    return "drained" if row.get("in_flight") == 0 else "draining"


def _vm_progress(status: EntryStatus, vm: str) -> str:
    if vm == status["vm"]:
        return "draining" if status["draining"] else "not draining"
    row = status["vms"].get(vm)
    if row is None:
        return "not reported"
    if row["draining"]:
        return "draining" if row["live"] else "drained"
    return "not draining"

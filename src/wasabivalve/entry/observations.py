"""Exchange the progress of drains between entry VMs, so that any VM can report it."""

import threading
from collections.abc import Callable, Collection
from typing import Any, NamedTuple, TypedDict

import msgspec

from wasabivalve import peers, resources, untrusted_data
from wasabivalve.schema import messages_generated

from . import clock, dispatch

REPORT_INTERVAL_MS = 500.0
# An older report does not describe the current state.
MAX_REPORT_AGE_MS = 2_000.0


class InFlightReport(TypedDict):
    """Report how many requests of one VM are in flight at a drained instance."""

    instance: str
    in_flight: int


class DrainStatus(TypedDict):
    """Describe the drain of an instance; ``missing`` VMs have not reported."""

    draining: bool
    in_flight: int | None
    missing: list[str]


class _VmReport(NamedTuple):
    in_flight_by_instance: dict[str, int]
    revision: int
    received_at: float


class DrainObservations:
    """Store the reports of all entry VMs; thread-safe."""

    def __init__(
        self,
        vm: str,
        bus: peers.Bus,
        current_view: Callable[[], resources.ConfigurationView | None],
        in_flight_count: Callable[[str], int],
    ):
        self._vm = vm
        self._bus = bus
        self._current_view = current_view
        self._in_flight_count = in_flight_count
        self._lock = threading.Lock()
        self._report_by_vm: dict[str, _VmReport] = {}
        self._sequence = 0
        self._next_report_at = 0.0

    def tick(self) -> None:
        """Broadcast the report of this VM if it is due and any instance is drained."""
        now, view = clock.monotonic_ms(), self._current_view()
        if now < self._next_report_at or view is None or not view.drained_instances:
            return
        self._next_report_at = now + REPORT_INTERVAL_MS
        counts = {
            name: self._in_flight_count(name) for name in drained_instance_names(view)
        }
        with self._lock:
            self._report_by_vm[self._vm] = _VmReport(counts, view.revision, now)
        self._sequence += 1
        entries: list[InFlightReport] = [
            {"instance": name, "in_flight": count} for name, count in counts.items()
        ]
        message: messages_generated.Observation = {
            "vm": self._vm,
            "sequence": self._sequence,
            "configuration_revision": view.revision,
            "entries": msgspec.json.encode(entries),
        }
        self._bus.broadcast("observation", message)

    def on_observation(self, incoming: peers.IncomingMessage) -> None:
        """Store the report of a peer; ignore one that cannot be decoded."""
        message: messages_generated.Observation = incoming.message
        try:
            rows = untrusted_data.decode_json(message["entries"], list[InFlightReport])
        except untrusted_data.UndecodableError:
            return
        counts = {row["instance"]: row["in_flight"] for row in rows}
        report = _VmReport(
            counts, message["configuration_revision"], clock.monotonic_ms()
        )
        with self._lock:
            self._report_by_vm[incoming.sender] = report

    def instances(self, live_vms: Collection[str]) -> dict[str, Any]:
        """Return the drain status of each drained instance by ``service/instance``."""
        view = self._current_view()
        if view is None:
            return {}
        min_received_at = clock.monotonic_ms() - MAX_REPORT_AGE_MS
        with self._lock:
            recent_report_by_vm = {
                vm: report
                for vm, report in self._report_by_vm.items()
                if vm in live_vms and report.received_at >= min_received_at
            }
        return {
            name: _drain_status(name, live_vms, recent_report_by_vm)
            for name in sorted(drained_instance_names(view))
        }


def drained_instance_names(view: resources.ConfigurationView) -> list[str]:
    """Return the names of drained instances as ``service/instance``."""
    return [str(dispatch.InstanceName(*pair)) for pair in view.drained_instances]


def _drain_status(
    name: str, live_vms: Collection[str], recent_report_by_vm: dict[str, _VmReport]
) -> DrainStatus:
    # A VM that does not name the instance has not applied the drain order yet.
    counts = {
        vm: report.in_flight_by_instance[name]
        for vm, report in recent_report_by_vm.items()
        if name in report.in_flight_by_instance
    }
    missing = sorted(set(live_vms) - counts.keys())
    in_flight = None if missing else sum(counts.values())
    return {"draining": True, "in_flight": in_flight, "missing": missing}

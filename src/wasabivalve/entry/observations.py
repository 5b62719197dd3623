"""Share what each entry VM observes, so that any VM can report it."""

import threading
from collections.abc import Callable, Collection
from typing import Any, NamedTuple, TypedDict

import msgspec

from wasabivalve import peers, resources
from wasabivalve.schema import messages_generated

from . import clock, dispatch

REPORT_INTERVAL_MS = 500.0
# An older report says nothing about the present.
MAX_REPORT_AGE_MS = 2_000.0


class InFlightReport(TypedDict):
    """Tell how many requests of one VM are in flight at a drained instance."""

    instance: str
    in_flight: int


class DrainStatus(TypedDict):
    """Tell how far an instance is drained; ``missing`` VMs have not reported."""

    draining: bool
    in_flight: int | None
    missing: list[str]


class _Report(NamedTuple):
    in_flight_by_instance: dict[str, int]
    revision: int
    received_at: float


class DrainObservations:
    """Hold the reports of all entry VMs; safe to use from threads."""

    def __init__(
        self,
        vm: str,
        bus: peers.Bus,
        view: Callable[[], resources.ConfigurationView | None],
        in_flight: Callable[[str], int],
    ):
        self._vm = vm
        self._bus = bus
        self._view = view
        self._in_flight = in_flight
        self._lock = threading.Lock()
        self._report_by_vm: dict[str, _Report] = {}
        self._sequence = 0
        self._next_at = 0.0

    def tick(self) -> None:
        """Report this VM's observations when they are due."""
        now, view = clock.monotonic_ms(), self._view()
        if now < self._next_at or view is None or not view.drained_instances:
            return
        self._next_at = now + REPORT_INTERVAL_MS
        counts = {name: self._in_flight(name) for name in drained_instance_names(view)}
        with self._lock:
            self._report_by_vm[self._vm] = _Report(counts, view.revision, now)
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
        """Take in the report of a peer; a damaged one is ignored."""
        message: messages_generated.Observation = incoming.message
        try:
            rows = msgspec.json.decode(message["entries"], type=list[InFlightReport])
        except msgspec.DecodeError:
            return
        counts = {row["instance"]: row["in_flight"] for row in rows}
        report = _Report(
            counts, message["configuration_revision"], clock.monotonic_ms()
        )
        with self._lock:
            self._report_by_vm[incoming.sender] = report

    def instances(self, live_vms: Collection[str]) -> dict[str, Any]:
        """Return the status of each drained instance by ``service/instance``."""
        view = self._view()
        if view is None:
            return {}
        oldest = clock.monotonic_ms() - MAX_REPORT_AGE_MS
        with self._lock:
            recent = {
                vm: report
                for vm, report in self._report_by_vm.items()
                if vm in live_vms and report.received_at >= oldest
            }
        return {
            name: _status(name, live_vms, recent)
            for name in sorted(drained_instance_names(view))
        }


def drained_instance_names(view: resources.ConfigurationView) -> list[str]:
    """Return the drained instances as ``service/instance``."""
    return [str(dispatch.InstanceName(*pair)) for pair in view.drained_instances]


def _status(
    name: str, live_vms: Collection[str], recent: dict[str, _Report]
) -> DrainStatus:
    # A VM that does not name the instance has not put the order in force yet.
    counts = {
        vm: report.in_flight_by_instance[name]
        for vm, report in recent.items()
        if name in report.in_flight_by_instance
    }
    missing = sorted(set(live_vms) - counts.keys())
    in_flight = None if missing else sum(counts.values())
    return {"draining": True, "in_flight": in_flight, "missing": missing}

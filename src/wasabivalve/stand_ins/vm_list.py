"""Simulate the platform's VM list, which lags behind the actual state."""

import collections
import dataclasses
import re
import threading
import time
from collections.abc import Callable
from typing import Any, Literal, NamedTuple, NotRequired, TypedDict

from . import fault_values, http_server, json_http

THREAD_COUNT = 8
VM_PATH_PATTERN = re.compile(r"/vms/([A-Za-z0-9_.-]{1,64})")


class VmListEntry(TypedDict):
    """Represent one VM in the list."""

    name: str
    address: str
    data_centre: str
    state: Literal["live", "leaving"]


class _VmDocument(TypedDict):
    address: NotRequired[str]
    data_centre: NotRequired[str]
    state: NotRequired[Literal["live", "leaving"]]


class _VmChange(NamedTuple):
    at_ms: float
    name: str
    entry: VmListEntry | None


@dataclasses.dataclass(frozen=True, slots=True)
class VmListFaults:
    """Configure the lag of the list in ms and whether it is unavailable."""

    lag_ms: fault_values.DurationMs = 0.0
    down: bool = False


class VmList:
    """Serve the VMs as they were ``lag_ms`` ago."""

    def __init__(
        self,
        host: str = "127.0.0.1",
        port: int = 0,
        lag_ms: float = 0.0,
        clock: Callable[[], float] = time.monotonic,
    ):
        """Initialize with the lag in ms and a clock in seconds."""
        self._clock = clock
        self._faults = VmListFaults(lag_ms)
        self._lock = threading.Lock()
        self._pending_changes: collections.deque[_VmChange] = collections.deque()
        self._visible_by_name: dict[str, VmListEntry] = {}
        self._server = http_server.HttpServer(self._handle, host, port, THREAD_COUNT)

    @property
    def url(self) -> str:
        """Return the base URL."""
        return self._server.url

    def start(self) -> None:
        """Listen and serve; raise OSError if the port is in use."""
        self._server.start()

    def close(self, grace_ms: float = 2000.0) -> None:
        """Wait ``grace_ms`` for running requests and stop."""
        self._server.close(grace_ms)

    def set_faults(self, **changes: Any) -> None:
        """Change some fields of `VmListFaults`; raise BadRequest if one is invalid."""
        with self._lock:
            self._faults = json_http.update_faults(self._faults, changes)

    def put(
        self,
        name: str,
        address: str = "",
        data_centre: str = "",
        state: Literal["live", "leaving"] = "live",
    ) -> None:
        """Add a VM or replace its entry, visible after the lag."""
        entry: VmListEntry = {
            "name": name,
            "address": address,
            "data_centre": data_centre,
            "state": state,
        }
        self._schedule_change(name, entry)

    def remove(self, name: str) -> None:
        """Remove a VM, visible after the lag."""
        self._schedule_change(name, None)

    def visible_vms(self) -> tuple[VmListEntry, ...]:
        """Return the VMs that a reader sees now, sorted by name."""
        with self._lock:
            visible_until_ms = self._clock() * 1000 - self._faults.lag_ms
            while (
                self._pending_changes
                and self._pending_changes[0].at_ms <= visible_until_ms
            ):
                _apply_change(self._visible_by_name, self._pending_changes.popleft())
            return tuple(entry for _, entry in sorted(self._visible_by_name.items()))

    def _schedule_change(self, name: str, entry: VmListEntry | None) -> None:
        with self._lock:
            self._pending_changes.append(_VmChange(self._clock() * 1000, name, entry))

    def _handle(
        self, request: http_server.StandInRequest
    ) -> http_server.StandInResponse:
        try:
            return self._route(request)
        except json_http.BadRequest as error:
            return json_http.error_response(400, str(error))

    def _route(
        self, request: http_server.StandInRequest
    ) -> http_server.StandInResponse:
        if request.path == "/faults":
            if request.method == "POST":
                self.set_faults(**json_http.decode_body(request.body, dict[str, Any]))
            return json_http.json_response(dataclasses.asdict(self._faults))
        if self._faults.down:
            return json_http.error_response(503, "the VM list is down")
        if request.path == "/vms" and request.method == "GET":
            return json_http.json_response({"vms": self.visible_vms()})
        match = VM_PATH_PATTERN.fullmatch(request.path)
        if match and request.method == "PUT":
            self.put(match[1], **json_http.decode_body(request.body, _VmDocument))
            return json_http.json_response({"name": match[1]})
        if match and request.method == "DELETE":
            self.remove(match[1])
            return json_http.json_response({"name": match[1]})
        return json_http.error_response(404, f"no {request.method} {request.path!r}")


def _apply_change(entry_by_name: dict[str, VmListEntry], change: _VmChange) -> None:
    if change.entry is None:
        entry_by_name.pop(change.name, None)
    else:
        entry_by_name[change.name] = change.entry

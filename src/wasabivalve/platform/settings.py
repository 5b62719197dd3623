"""Read the settings file of a process."""

import os
import pathlib
import tomllib
from collections.abc import Mapping
from typing import Any, NamedTuple

from wasabivalve import outcomes
from wasabivalve.vm_link import vm_directory

VARIABLE = "WASABIVALVE_CONFIG"

METRICS_PORT_VARIABLE = "WASABIVALVE_METRICS_PORT"
"""Set by the deploy file, which names the same port to the platform."""

DEFAULT_METRICS_PORT = 9464


class Address(NamedTuple):
    """Hold an IP address and a port."""

    host: str
    port: int


class Settings(NamedTuple):
    """Hold what the platform tells a process; times are in ms."""

    vm: str
    data_centre: str
    region_by_data_centre: Mapping[str, str]
    callers: Address
    readiness: Address
    store: Address
    link: Address
    link_mbps: float
    metrics: Address
    grace_ms: float
    repeat_share: float
    repeat_window_ms: float
    repeat_allowance: float
    hold_max_ms: float
    group_ttl_ms: float

    @property
    def vm_entry(self) -> vm_directory.VmRegistration:
        """Return what other VMs are told about this one."""
        return vm_directory.VmRegistration(
            self.link.host, self.link.port, self.data_centre, self.link_mbps
        )


class Rejected(NamedTuple):
    """List everything that is wrong with a settings file."""

    findings: tuple[outcomes.Finding, ...]


class _Reader:
    """Take values out of a table and collect findings with their places."""

    def __init__(self, file: str, table: Mapping[str, Any]) -> None:
        self._file = file
        self._table = table
        self.findings: list[outcomes.Finding] = []

    def find(self, path: str, problem: str) -> None:
        """Add a finding."""
        self.findings.append(outcomes.Finding(self._file, path, problem))

    def value(self, path: str, kind: type) -> Any:
        """Return the value at a path, or None with a finding."""
        value: Any = self._table
        for name in path.split("."):
            if not isinstance(value, dict) or name not in value:
                self.find(path, "is missing")
                return None
            value = value[name]
        if isinstance(value, bool) or not isinstance(value, kind):
            self.find(path, f"is {value!r}, not of type {kind.__name__}")
            return None
        return value

    def address(self, path: str) -> Address:
        """Return the address at a path."""
        value = self.value(path, str)
        host, _, port = (value or "").rpartition(":")
        if value is not None and not (host and port.isdigit()):
            self.find(path, f"is {value!r}, not an IP address with a port")
        return Address(host, int(port) if port.isdigit() else 0)

    def first_port(self) -> int:
        """Return the first port that VMs may use among themselves."""
        ports = self.value("internal_ports", list)
        if ports is None:
            return 0
        if not ports or not isinstance(ports[0], int):
            self.find("internal_ports", f"is {ports!r}, not a range of ports")
            return 0
        return int(ports[0])

    def metrics_port(self) -> int:
        """Return the port for metrics from the environment."""
        text = os.environ.get(METRICS_PORT_VARIABLE, str(DEFAULT_METRICS_PORT))
        if not text.isdigit():
            self.find(METRICS_PORT_VARIABLE, f"is {text!r}, not a port")
            return DEFAULT_METRICS_PORT
        return int(text)

    def bounds(self) -> dict[str, float]:
        """Return the figures of the list of ``name=value`` texts."""
        figures = {}
        for index, text in enumerate(self.value("bounds", list) or []):
            name, _, value = str(text).partition("=")
            try:
                figures[name] = float(value)
            except ValueError:
                if value not in ("true", "false"):
                    self.find(f"bounds[{index}]", f"{text!r} holds no number")
        return figures


def load(path: pathlib.Path) -> Settings | Rejected:
    """Return the settings of a file, or all findings; unknown fields are ignored."""
    try:
        table = tomllib.loads(path.read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        return Rejected((outcomes.Finding(str(path), "", str(error)),))
    reader = _Reader(str(path), table)
    bounds = reader.bounds()

    def bound(name: str) -> float:
        if name not in bounds:
            reader.find("bounds", f"{name} is missing")
        return bounds.get(name, 0.0)

    regions = reader.value("zones", dict) or {}
    settings = Settings(
        vm=reader.value("node", str) or "",
        data_centre=reader.value("zone", str) or "",
        region_by_data_centre={str(zone): str(regions[zone]) for zone in regions},
        callers=reader.address("listen.front"),
        readiness=reader.address("listen.ready_address"),
        store=reader.address("platform.address"),
        link=Address(reader.value("ip", str) or "", reader.first_port()),
        link_mbps=float(reader.value("limits.link_mbps", (int, float)) or 0.0),  # type: ignore[arg-type]
        metrics=Address(reader.value("ip", str) or "", reader.metrics_port()),
        grace_ms=1000.0 * bound("grace_s"),
        repeat_share=bound("retry_budget_ratio"),
        repeat_window_ms=1000.0 * bound("budget_window_s"),
        repeat_allowance=bound("budget_slack"),
        hold_max_ms=1000.0 * bound("hold_max_s"),
        group_ttl_ms=1000.0 * (reader.value("platform.ttl_min_s", (int, float)) or 1.0),  # type: ignore[arg-type]
    )
    if reader.findings:
        return Rejected(tuple(reader.findings))
    return settings

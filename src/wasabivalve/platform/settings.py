"""Read the settings file of a process."""

import math
import os
import pathlib
import tomllib
from collections.abc import Mapping
from typing import Any, NamedTuple

from wasabivalve import outcomes, ramp_up, untrusted_data
from wasabivalve.gateway import receiving
from wasabivalve.vm_link import vm_directory

SETTINGS_PATH_VARIABLE = "WASABIVALVE_CONFIG"

METRICS_PORT_VARIABLE = "WASABIVALVE_METRICS_PORT"
"""Set by the deploy file, which announces the same port to the platform."""

DEFAULT_METRICS_PORT = 9464

RECEIVE_BUFFER_SHARE_VARIABLE = "WASABIVALVE_RECEIVE_BUFFER_SHARE"
DEFAULT_RECEIVE_BUFFER_SHARE = 0.3
"""Share of the memory of a VM for what it holds for callers and instances.

A copy of a response that is being written and the buffers of sockets come on top of it.
"""

MIN_RECEIVE_BUFFER_BYTES = 72_000_000
MAX_RECEIVE_BUFFER_SHARE = 0.4
"""A VM of 200 MB must hold one body of 64 MiB, the largest that the platform allows.

It may take this share of a VM for it; the program itself takes 60 MB.
"""

MAX_RESPONSE_BODY_MB_VARIABLE = "WASABIVALVE_MAX_RESPONSE_BODY_MB"
DEFAULT_MAX_RESPONSE_BODY_MB = 32.0

MAX_RESPONSE_HEAD_KB_VARIABLE = "WASABIVALVE_MAX_RESPONSE_HEAD_KB"
DEFAULT_MAX_RESPONSE_HEAD_KB = 64.0

BYTES_PER_MB = 1_000_000

MAX_PORT = 65_535


class HostPort(NamedTuple):
    """Hold an IP address and a port to listen on or to connect to."""

    host: str
    port: int


class VmSettings(NamedTuple):
    """Hold the settings of an entry VM; times are in ms.

    ``max_staleness_ms`` is the time within which a change that the store has confirmed
    must be in effect. ``warmup_bounds`` is None on a deployment that has none.
    """

    vm: str
    data_centre: str
    region_by_data_centre: Mapping[str, str]
    caller_listen_address: HostPort
    readiness_listen_address: HostPort
    store_address: HostPort
    vm_link_address: HostPort
    link_mbps: float
    metrics_listen_address: HostPort
    grace_ms: float
    retry_share: float
    retry_window_ms: float
    retry_allowance: float
    max_lease_ms: float
    max_staleness_ms: float
    min_group_ttl_ms: float
    message_limits: receiving.MessageLimits
    receive_buffer_bytes: int
    warmup_bounds: ramp_up.WarmupBounds | None = None
    max_descriptors: float = math.inf

    @property
    def vm_registration(self) -> vm_directory.VmRegistration:
        """Return the registration of this VM for the other VMs."""
        return vm_directory.VmRegistration(
            self.vm_link_address.host,
            self.vm_link_address.port,
            self.data_centre,
            self.link_mbps,
        )


def receive_buffer_bytes(memory_bytes: float, share: float) -> int:
    """Return the bytes that a VM may hold for callers and instances."""
    one_body_bytes = min(
        MIN_RECEIVE_BUFFER_BYTES, MAX_RECEIVE_BUFFER_SHARE * memory_bytes
    )
    return int(max(share * memory_bytes, one_body_bytes))


class RejectedSettings(NamedTuple):
    """Hold all findings about a settings file that was rejected."""

    findings: tuple[outcomes.Finding, ...]


class _SettingsReader:
    """Read values of a TOML table and collect findings with their paths."""

    def __init__(self, file: str, table: Mapping[str, Any]) -> None:
        self._file = file
        self._table = table
        self.findings: list[outcomes.Finding] = []

    def add_finding(self, path: str, problem: str) -> None:
        """Add a finding."""
        self.findings.append(outcomes.Finding(self._file, path, problem))

    def read_value(self, path: str, expected_type: type | tuple[type, ...]) -> Any:
        """Return the value at a dotted path, or None after adding a finding."""
        value: Any = self._table
        for name in path.split("."):
            if not isinstance(value, dict) or name not in value:
                self.add_finding(path, "is missing")
                return None
            value = value[name]
        if isinstance(value, bool) or not isinstance(value, expected_type):
            types = (
                expected_type if isinstance(expected_type, tuple) else (expected_type,)
            )
            names = " or ".join(type_.__name__ for type_ in types)
            shown = untrusted_data.excerpt(value)
            self.add_finding(path, f"is {shown}, expected type {names}")
            return None
        return value

    def read_address(self, path: str) -> HostPort:
        """Return the address at a dotted path; its port is 0 after a finding."""
        value = self.read_value(path, str)
        host, _, port = (value or "").rpartition(":")
        number = untrusted_data.decode_digits(port, MAX_PORT)
        if value is not None and (not host or number is None):
            shown = untrusted_data.excerpt(value)
            self.add_finding(path, f"is {shown}, expected IP:PORT")
        return HostPort(host, number or 0)

    def read_vm_link_port(self) -> int:
        """Return the first internal port, on which this VM listens for other VMs."""
        ports = self.read_value("internal_ports", list)
        if ports is None:
            return 0
        if not ports or isinstance(ports[0], bool) or not isinstance(ports[0], int):
            self.add_finding(
                "internal_ports",
                f"is {untrusted_data.excerpt(ports)}, expected a range of ports "
                "[FIRST, LAST]",
            )
            return 0
        return int(ports[0])

    def read_metrics_port(self) -> int:
        """Return the metrics port from the environment, or the default port."""
        text = os.environ.get(METRICS_PORT_VARIABLE, str(DEFAULT_METRICS_PORT))
        port = untrusted_data.decode_digits(text, MAX_PORT)
        if port is None:
            shown = untrusted_data.excerpt(text)
            self.add_finding(
                METRICS_PORT_VARIABLE, f"is {shown}, expected a port number"
            )
            return DEFAULT_METRICS_PORT
        return port

    def read_positive_variable(self, name: str, default: float) -> float:
        """Return a positive number from the environment, or the default."""
        text = os.environ.get(name, str(default))
        try:
            value = float(text)
        except ValueError:
            value = 0.0
        if not 0.0 < value < math.inf:
            shown = untrusted_data.excerpt(text)
            self.add_finding(name, f"is {shown}, expected a positive number")
            return default
        return value

    def read_number(self, path: str, default: float) -> float:
        """Return the number at a dotted path, or the default after a finding."""
        value = self.read_value(path, (int, float))
        try:
            return default if value is None else float(value)
        except OverflowError:
            shown = untrusted_data.excerpt(value)
            self.add_finding(path, f"is {shown}, which is too large")
            return default

    def read_optional_number(self, path: str, default: float) -> float:
        """Return the number at a dotted path, or the default if there is none."""
        table, _, name = path.rpartition(".")
        if name not in self._table.get(table, {}):
            return default
        return self.read_number(path, default)

    def read_bounds(self) -> dict[str, float]:
        """Return the numbers in ``bounds``, a list of ``name=value`` strings."""
        value_by_bound = {}
        for index, text in enumerate(self.read_value("bounds", list) or []):
            if not isinstance(text, str):
                shown = untrusted_data.excerpt(text)
                self.add_finding(f"bounds[{index}]", f"is {shown}, expected a text")
                continue
            name, _, value = text.partition("=")
            try:
                value_by_bound[name] = float(value)
            except ValueError:
                if value not in ("true", "false"):
                    self.add_finding(
                        f"bounds[{index}]",
                        f"is {untrusted_data.excerpt(text)}, expected NAME=NUMBER",
                    )
        return value_by_bound


def _read_warmup(value_by_bound: dict[str, float]) -> ramp_up.WarmupBounds | None:
    if (
        "warmup_overshoot" not in value_by_bound
        and "warmup_slack" not in value_by_bound
    ):
        return None
    return ramp_up.WarmupBounds(
        value_by_bound.get("warmup_overshoot", 1.0),
        value_by_bound.get("warmup_slack", 0.0),
    )


def load(path: pathlib.Path) -> VmSettings | RejectedSettings:
    """Return the settings of a file, or all findings; unknown fields are ignored.

    Values that the file gives in s are converted to ms.
    """
    try:
        table = tomllib.loads(path.read_text())
    except (OSError, ValueError, RecursionError) as error:
        # Long numbers and deep nesting raise other errors than bad syntax.
        return RejectedSettings((outcomes.Finding(str(path), "", str(error)),))
    reader = _SettingsReader(str(path), table)
    value_by_bound = reader.read_bounds()

    def read_bound(name: str) -> float:
        if name not in value_by_bound:
            reader.add_finding("bounds", f"{name} is missing")
        return value_by_bound.get(name, 0.0)

    regions = reader.read_value("zones", dict) or {}
    for zone, region in regions.items():
        if not isinstance(region, str):
            shown = untrusted_data.excerpt(region)
            reader.add_finding(f"zones.{zone}", f"is {shown}, expected a name")
    vm_settings = VmSettings(
        vm=reader.read_value("node", str) or "",
        data_centre=reader.read_value("zone", str) or "",
        region_by_data_centre=regions,
        caller_listen_address=reader.read_address("listen.front"),
        readiness_listen_address=reader.read_address("listen.ready_address"),
        store_address=reader.read_address("platform.address"),
        vm_link_address=HostPort(
            reader.read_value("ip", str) or "", reader.read_vm_link_port()
        ),
        link_mbps=reader.read_number("limits.link_mbps", 0.0),
        metrics_listen_address=HostPort(
            reader.read_value("ip", str) or "", reader.read_metrics_port()
        ),
        grace_ms=1000.0 * read_bound("grace_s"),
        retry_share=read_bound("retry_budget_ratio"),
        retry_window_ms=1000.0 * read_bound("budget_window_s"),
        retry_allowance=read_bound("budget_slack"),
        max_lease_ms=1000.0 * read_bound("hold_max_s"),
        max_staleness_ms=1000.0
        * min(read_bound("drain_s"), read_bound("config_apply_s")),
        min_group_ttl_ms=1000.0
        * (reader.read_number("platform.ttl_min_s", 1.0) or 1.0),
        message_limits=receiving.MessageLimits(
            overhead_bytes=int(
                receiving.KIB
                * reader.read_positive_variable(
                    MAX_RESPONSE_HEAD_KB_VARIABLE, DEFAULT_MAX_RESPONSE_HEAD_KB
                )
            ),
            body_bytes=int(
                receiving.MIB
                * reader.read_positive_variable(
                    MAX_RESPONSE_BODY_MB_VARIABLE, DEFAULT_MAX_RESPONSE_BODY_MB
                )
            ),
        ),
        receive_buffer_bytes=receive_buffer_bytes(
            BYTES_PER_MB * reader.read_number("limits.memory_mb", 0.0),
            reader.read_positive_variable(
                RECEIVE_BUFFER_SHARE_VARIABLE, DEFAULT_RECEIVE_BUFFER_SHARE
            ),
        ),
    )
    vm_settings = vm_settings._replace(
        warmup_bounds=_read_warmup(value_by_bound),
        max_descriptors=reader.read_optional_number("limits.max_fds", math.inf),
    )
    if reader.findings:
        return RejectedSettings(tuple(reader.findings))
    return vm_settings

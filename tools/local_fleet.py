"""Start a small deployment as separate processes on loopback."""

import contextlib
import json
import pathlib
import signal
import socket
import subprocess
import sys
import time
from typing import Any, NamedTuple

import urllib3
import zmq

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 25.0
OPERATOR = "operator-1"
OPERATOR_KEY = "5a" * 32


class ServiceShape(NamedTuple):
    """Describe a service of the deployment."""

    name: str
    instances: int
    slots: int
    divided_by_key: bool = False
    checks_fencing: bool = True
    service_time_ms: float = 5.0


class FleetShape(NamedTuple):
    """Describe a deployment; data centres are taken in turn."""

    regions: dict[str, tuple[str, ...]]
    services: tuple[ServiceShape, ...]
    ranks: dict[str, dict[str, Any]]
    entries: int


class Instance(NamedTuple):
    """Locate an instance of a service."""

    service: str
    name: str
    port: int


RANKS = {
    "urgent": {
        "order": 0,
        "floor": 0.0,
        "target_ms": 100,
        "objective": 0.99,
        "queue_age_ms": 1_500,
    },
    "standard": {
        "order": 1,
        "floor": 0.15,
        "target_ms": 500,
        "objective": 0.98,
        "queue_age_ms": 1_500,
    },
    "bulk": {
        "order": 2,
        "floor": 0.1,
        "target_ms": 2_000,
        "objective": 0.95,
        "queue_age_ms": 1_500,
    },
}
KAOKOVELD_SMALL = FleetShape(
    regions={
        "khomas": ("khomas-a", "khomas-b"),
        "erongo": ("erongo-a", "erongo-b"),
    },
    services=(
        ServiceShape("slotbook", 3, 2, divided_by_key=True),
        ServiceShape("vanlog", 2, 2),
        ServiceShape("billdesk", 2, 2),
        ServiceShape("linencount", 2, 2),
    ),
    ranks=RANKS,
    entries=3,
)


def free_ports(count: int) -> list[int]:
    """Return ports that are free now."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for each in sockets:
            each.bind(("127.0.0.1", 0))
        return [each.getsockname()[1] for each in sockets]


class Fleet:
    """Hold the processes of one deployment."""

    def __init__(self, shape: FleetShape, directory: pathlib.Path):
        self.shape = shape
        self.directory = directory
        self.process_by_name: dict[str, subprocess.Popen[bytes]] = {}
        self.instances: tuple[Instance, ...] = ()
        self.entry_port_by_vm: dict[str, int] = {}
        self.log_url = ""
        self._http = urllib3.PoolManager(retries=False, timeout=2.0)

    def start(self) -> None:
        """Start the log, upstreams and entry VMs, and apply the resources."""
        (log_port,) = free_ports(1)
        self.log_url = f"http://127.0.0.1:{log_port}"
        self._spawn("log", "stand-in", "log", "--port", str(log_port))
        self._wait_for_port(log_port)
        self._start_upstreams()
        self._write_settings()
        self._apply_resources()
        for vm in self.entry_port_by_vm:
            self.start_entry(vm)
        for vm in self.entry_port_by_vm:
            self.wait_until_ready(vm)

    def start_entry(self, vm: str) -> None:
        """Start one entry VM."""
        path = self.directory / f"{vm}.json"
        self._spawn(vm, "entry", "--settings", str(path), "--log-level", "WARNING")

    def wait_until_ready(self, vm: str) -> None:
        """Wait until an entry VM takes traffic; raise TimeoutError if it does not."""
        url = f"http://127.0.0.1:{self.entry_port_by_vm[vm]}/-/ready"
        ends_at = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < ends_at:
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                if self._http.request("GET", url).status == 200:
                    return
            time.sleep(0.05)
        raise TimeoutError(f"{vm} did not become ready")

    def kill(self, name: str) -> None:
        """End a process at once."""
        self.process_by_name[name].kill()
        self.process_by_name[name].wait()

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self.process_by_name[name].send_signal(number)

    def stop(self, name: str) -> int:
        """Stop a process gracefully and return its exit status."""
        self.process_by_name[name].terminate()
        return self.process_by_name[name].wait(STOP_TIMEOUT_S)

    def close(self) -> None:
        """End every process that still runs."""
        for process in self.process_by_name.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.process_by_name.values():
            process.wait()
        self._http.clear()

    def history_path(self, instance: Instance) -> pathlib.Path:
        """Return the file in which an upstream records its runs."""
        return self.directory / f"{instance.name}.history.jsonl"

    def _spawn(self, name: str, *arguments: str) -> None:
        output = (self.directory / f"{name}.out").open("ab")
        self.process_by_name[name] = subprocess.Popen(
            [sys.executable, "-m", "wasabivalve", *arguments],
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=subprocess.STDOUT,
        )
        output.close()

    def _start_upstreams(self) -> None:
        total = sum(service.instances for service in self.shape.services)
        ports = iter(free_ports(total))
        instances = []
        for service in self.shape.services:
            for index in range(service.instances):
                name = f"{service.name}-{index + 1}"
                instance = Instance(service.name, name, next(ports))
                instances.append(instance)
                self.start_upstream(instance)
        self.instances = tuple(instances)
        for instance in instances:
            self._wait_for_port(instance.port)

    def start_upstream(self, instance: Instance) -> None:
        """Start one upstream process."""
        shape_by_name = {service.name: service for service in self.shape.services}
        service = shape_by_name[instance.service]
        arguments = [
            *("stand-in", "upstream", "--name", instance.name),
            *("--service", instance.service, "--port", str(instance.port)),
            *("--slots", str(service.slots)),
            *("--service-time-ms", str(service.service_time_ms)),
            *("--history-file", str(self.history_path(instance))),
        ]
        if service.divided_by_key:
            arguments.append("--divided-by-key")
        if not service.checks_fencing:
            arguments.append("--ignores-fencing")
        self._spawn(instance.name, *arguments)

    def _data_centre(self, index: int) -> str:
        columns = zip(*self.shape.regions.values(), strict=True)
        names = [name for row in columns for name in row]
        return names[index % len(names)]

    def _write_settings(self) -> None:
        count = self.shape.entries
        ports = free_ports(2 * count)
        keys = [zmq.curve_keypair() for _ in range(count)]
        peers = [
            {
                "vm": f"entry-{index + 1}",
                "data_centre": self._data_centre(index),
                "host": "127.0.0.1",
                "port": ports[index],
                "public_key": keys[index][0].decode(),
            }
            for index in range(count)
        ]
        for index, peer in enumerate(peers):
            settings = {
                "vm": peer["vm"],
                "data_centre": peer["data_centre"],
                "regions": self.shape.regions,
                "callers": {"host": "127.0.0.1", "port": ports[count + index]},
                "peer": {
                    "host": "127.0.0.1",
                    "port": ports[index],
                    "public_key": peer["public_key"],
                    "secret_key": keys[index][1].decode(),
                },
                "peers": peers,
                "log": {"url": self.log_url},
                "operator_keys": {OPERATOR: OPERATOR_KEY},
            }
            path = self.directory / f"{peer['vm']}.json"
            path.write_text(json.dumps(settings, indent=2))
            self.entry_port_by_vm[str(peer["vm"])] = ports[count + index]

    def _resources(self) -> list[dict[str, Any]]:
        documents: list[dict[str, Any]] = [
            {"kind": "traffic_rank", "name": name, "spec": spec}
            for name, spec in self.shape.ranks.items()
        ]
        for service in self.shape.services:
            rows = [row for row in self.instances if row.service == service.name]
            spec = {
                "divided_by_key": service.divided_by_key,
                "checks_fencing": service.checks_fencing,
                "slots": service.slots,
                "instances": [
                    {
                        "name": row.name,
                        "data_centre": self._data_centre(index),
                        "host": "127.0.0.1",
                        "port": row.port,
                    }
                    for index, row in enumerate(rows)
                ],
            }
            documents.append({"kind": "service", "name": service.name, "spec": spec})
        return documents

    def _apply_resources(self) -> None:
        path = self.directory / "resources.json"
        path.write_text(json.dumps(self._resources(), indent=2))
        key_path = self.directory / "operator.key"
        key_path.write_text(OPERATOR_KEY)
        subprocess.run(
            [
                *(sys.executable, "-m", "wasabivalve", "apply", str(path)),
                *("--log", self.log_url),
                *("--operator", OPERATOR, "--key-file", str(key_path)),
            ],
            check=True,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
        )

    def _wait_for_port(self, port: int) -> None:
        ends_at = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < ends_at:
            with contextlib.suppress(OSError):
                socket.create_connection(("127.0.0.1", port), 0.2).close()
                return
            time.sleep(0.05)
        raise TimeoutError(f"nothing listens on port {port}")

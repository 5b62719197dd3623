"""Start a deployment of wasabivalve as separate processes on loopback."""

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


class ServiceOptions(NamedTuple):
    """Set the size and behaviour of one service of a fleet."""

    name: str
    instance_count: int
    slots: int
    partitioned: bool = False
    checks_fencing: bool = True
    service_time_ms: float = 5.0


class FleetOptions(NamedTuple):
    """Set the size of a fleet; processes are assigned to data centres in rotation."""

    data_centres_by_region: dict[str, tuple[str, ...]]
    services: tuple[ServiceOptions, ...]
    rank_spec_by_name: dict[str, dict[str, Any]]
    entry_vm_count: int


class UpstreamProcess(NamedTuple):
    """Identify one upstream process and its port on loopback."""

    service: str
    name: str
    port: int


RANK_SPEC_BY_NAME = {
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
SMALL_FLEET = FleetOptions(
    data_centres_by_region={
        "khomas": ("khomas-a", "khomas-b"),
        "erongo": ("erongo-a", "erongo-b"),
    },
    services=(
        ServiceOptions("slotbook", 3, 2, partitioned=True),
        ServiceOptions("vanlog", 2, 2),
        ServiceOptions("billdesk", 2, 2),
        ServiceOptions("linencount", 2, 2),
    ),
    rank_spec_by_name=RANK_SPEC_BY_NAME,
    entry_vm_count=3,
)


def find_free_ports(count: int) -> list[int]:
    """Return ports of loopback that no process has bound at the time of the call."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for port_socket in sockets:
            port_socket.bind(("127.0.0.1", 0))
        return [port_socket.getsockname()[1] for port_socket in sockets]


class Fleet:
    """Start, signal and end the processes of one deployment."""

    def __init__(self, options: FleetOptions, directory: pathlib.Path):
        self.options = options
        self.directory = directory
        self.process_by_name: dict[str, subprocess.Popen[bytes]] = {}
        self.instances: tuple[UpstreamProcess, ...] = ()
        self.entry_port_by_vm: dict[str, int] = {}
        self.log_url = ""
        self._http = urllib3.PoolManager(retries=False, timeout=2.0)

    def start(self) -> None:
        """Start the log, upstreams and entry VMs, and apply the resources.

        Raise TimeoutError if a process does not become available.
        """
        (log_port,) = find_free_ports(1)
        self.log_url = f"http://127.0.0.1:{log_port}"
        self._start_process("log", "stand-in", "log", "--port", str(log_port))
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
        self._start_process(
            vm, "entry", "--settings", str(path), "--log-level", "WARNING"
        )

    def wait_until_ready(self, vm: str) -> None:
        """Wait until an entry VM reports ready; raise TimeoutError if it does not."""
        url = f"http://127.0.0.1:{self.entry_port_by_vm[vm]}/-/ready"
        deadline_at = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline_at:
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                if self._http.request("GET", url).status == 200:
                    return
            time.sleep(0.05)
        raise TimeoutError(f"entry VM {vm} did not become ready in time")

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL and wait for its end."""
        self.process_by_name[name].kill()
        self.process_by_name[name].wait()

    def signal(self, name: str, signal_number: signal.Signals) -> None:
        """Send a signal to a process."""
        self.process_by_name[name].send_signal(signal_number)

    def stop(self, name: str) -> int:
        """Stop a process with SIGTERM and return its exit status.

        Raise subprocess.TimeoutExpired if it still runs after STOP_TIMEOUT_S.
        """
        self.process_by_name[name].terminate()
        return self.process_by_name[name].wait(STOP_TIMEOUT_S)

    def close(self) -> None:
        """Kill every process that still runs, also paused ones."""
        for process in self.process_by_name.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.process_by_name.values():
            process.wait()
        self._http.clear()

    def history_path(self, instance: UpstreamProcess) -> pathlib.Path:
        """Return the file in which an upstream records its runs."""
        return self.directory / f"{instance.name}.history.jsonl"

    def _start_process(self, name: str, *arguments: str) -> None:
        output = (self.directory / f"{name}.out").open("ab")
        self.process_by_name[name] = subprocess.Popen(
            [sys.executable, "-m", "wasabivalve", *arguments],
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=subprocess.STDOUT,
        )
        output.close()

    def _start_upstreams(self) -> None:
        instance_count = sum(
            service.instance_count for service in self.options.services
        )
        ports = iter(find_free_ports(instance_count))
        instances = []
        for service in self.options.services:
            for index in range(service.instance_count):
                name = f"{service.name}-{index + 1}"
                instance = UpstreamProcess(service.name, name, next(ports))
                instances.append(instance)
                self.start_upstream(instance)
        self.instances = tuple(instances)
        for instance in instances:
            self._wait_for_port(instance.port)

    def start_upstream(self, instance: UpstreamProcess) -> None:
        """Start one upstream process."""
        options_by_service = {
            service.name: service for service in self.options.services
        }
        service = options_by_service[instance.service]
        arguments = [
            *("stand-in", "upstream", "--name", instance.name),
            *("--service", instance.service, "--port", str(instance.port)),
            *("--slots", str(service.slots)),
            *("--service-time-ms", str(service.service_time_ms)),
            *("--history-file", str(self.history_path(instance))),
        ]
        if service.partitioned:
            arguments.append("--divided-by-key")
        if not service.checks_fencing:
            arguments.append("--ignores-fencing")
        self._start_process(instance.name, *arguments)

    def _data_centre_of_index(self, index: int) -> str:
        centre_groups = zip(*self.options.data_centres_by_region.values(), strict=True)
        names = [name for group in centre_groups for name in group]
        return names[index % len(names)]

    def _write_settings(self) -> None:
        count = self.options.entry_vm_count
        ports = find_free_ports(2 * count)
        key_pairs = [zmq.curve_keypair() for _ in range(count)]
        peers = [
            {
                "vm": f"entry-{index + 1}",
                "data_centre": self._data_centre_of_index(index),
                "host": "127.0.0.1",
                "port": ports[index],
                "public_key": key_pairs[index][0].decode(),
            }
            for index in range(count)
        ]
        for index, peer in enumerate(peers):
            settings = {
                "vm": peer["vm"],
                "data_centre": peer["data_centre"],
                "regions": self.options.data_centres_by_region,
                "callers": {"host": "127.0.0.1", "port": ports[count + index]},
                "peer": {
                    "host": "127.0.0.1",
                    "port": ports[index],
                    "public_key": peer["public_key"],
                    "secret_key": key_pairs[index][1].decode(),
                },
                "peers": peers,
                "log": {"url": self.log_url},
                "operator_keys": {OPERATOR: OPERATOR_KEY},
            }
            path = self.directory / f"{peer['vm']}.json"
            path.write_text(json.dumps(settings, indent=2))
            self.entry_port_by_vm[str(peer["vm"])] = ports[count + index]

    def _build_resources(self) -> list[dict[str, Any]]:
        documents: list[dict[str, Any]] = [
            {"kind": "traffic_rank", "name": name, "spec": spec}
            for name, spec in self.options.rank_spec_by_name.items()
        ]
        for service in self.options.services:
            instances = [
                instance
                for instance in self.instances
                if instance.service == service.name
            ]
            spec = {
                "divided_by_key": service.partitioned,
                "checks_fencing": service.checks_fencing,
                "slots": service.slots,
                "instances": [
                    {
                        "name": instance.name,
                        "data_centre": self._data_centre_of_index(index),
                        "host": "127.0.0.1",
                        "port": instance.port,
                    }
                    for index, instance in enumerate(instances)
                ],
            }
            documents.append({"kind": "service", "name": service.name, "spec": spec})
        return documents

    def _apply_resources(self) -> None:
        path = self.directory / "resources.json"
        path.write_text(json.dumps(self._build_resources(), indent=2))
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
        deadline_at = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline_at:
            with contextlib.suppress(OSError):
                socket.create_connection(("127.0.0.1", port), 0.2).close()
                return
            time.sleep(0.05)
        raise TimeoutError(f"no process listens on port {port} in time")

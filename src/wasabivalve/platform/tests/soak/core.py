"""Run one seed: VMs as processes under overlapping random faults, with checks.

The checks run during the faults and after them.
"""

import asyncio
import itertools
import pathlib
import random
import signal
import tempfile
from typing import NamedTuple

import msgspec

from wasabivalve.platform.tests import store_stand_in
from wasabivalve.platform.tests.soak import (
    fault_relay,
    instances,
    slow_caller,
    vm_process,
)

VM_COUNT = 3
CALLER_COUNT = 12
SLOW_CALLER_COUNT = 4
SLOW_BYTES_PER_S = 170_000
"""Rate at which a large answer takes longer than a VM stays in rotation, not its grace.
"""

GRACE_PERIOD_S = 3.0
DRAIN_TIMEOUT_S = 2.5
DESIRED_STATE_TIMEOUT_S = 2.5
SETTLING_TIME_S = 3.0
"""Time after a disturbance of a VM until its timing bounds are checked again."""

RECOVERY_TIMEOUT_S = 15.0
"""Time after the last fault within which requests must be served again."""

CRASH_PROPAGATION_S = 3.0
"""Time after the third end of an instance until all VMs must refuse a request."""

MAX_LATE_ENDS = 3
"""Ends of instances under a request after that time."""

RARE_PREFIX = "/safe/rare"
"""Paths of requests that run at instances which restart, and end none."""

RESPONSE_TIMEOUT_S = 4.0


class SoakReport(NamedTuple):
    """Hold the faults and requests of a run, and the violated rules it found."""

    seed: int
    faults: tuple[str, ...]
    request_count: int
    success_count: int
    problems: tuple[str, ...]


class ResponseOutcome(NamedTuple):
    """Hold the response to a request; status 0 means that there was none."""

    status: int
    body: bytes
    signed: bool
    closing: bool


class SoakRun:
    """Run the VMs, the stand-ins, the callers and the faults of one seed."""

    def __init__(self, seed, folder, all_faults=True):
        self.random = random.Random(seed)
        self.run_tracker = instances.RunTracker()
        self.store = store_stand_in.StoreStandIn()
        # Seeds without the later faults keep a store that names no era.
        self.store.era = 1 if all_faults else 0
        self.relays = []
        self.vms = []
        self.instances = []
        self.faults = []
        self.request_count = 0
        self.success_count = 0
        self.refused_ids = set()
        self.rare_paths = []
        self.version = 1
        self.published_at = 0.0
        self.finished = False
        self._folder = folder
        self._all_faults = all_faults
        self._request_numbers = itertools.count(1)
        self._sequences = itertools.count(1)
        self._draining_names = set()

    def now(self):
        """Return the time of the event loop in s."""
        return asyncio.get_running_loop().time()

    async def start(self, ports):
        """Start the store, the instances and the processes of the VMs."""
        await self.store.start()
        self.publish_desired_state()
        for number in range(6):
            service = "keyed" if number < 3 else "plain"
            instance = instances.SoakInstance(
                f"i-{number}", service, self.run_tracker, self.random
            )
            await instance.start()
            instance.relay = await self._start_relay(instance.port)
            instance.on_restarted = self.register_restarted
            self.instances.append(instance)
            self.register_instance(instance)
        for number in range(VM_COUNT):
            vm_ports = ports[4 * number : 4 * number + 4]
            data_centre = ("east", "west")[number % 2]
            relay = await self._start_relay(self.store.port)
            vm = vm_process.VMProcess(
                f"vm-{number}", data_centre, vm_ports, relay, self._folder
            )
            self.vms.append(vm)
            await vm.start()
            vm.disturbed_until = self.now() + SETTLING_TIME_S

    async def close(self):
        """End the processes of this run and close its servers."""
        for vm in self.vms:
            vm.signal(signal.SIGCONT)
            await vm.kill()
        for server in [*self.relays, *self.instances, self.store]:
            server.close()
        # The tasks of the relays end once they detect that their connections closed.
        await asyncio.sleep(0.1)

    async def _start_relay(self, port):
        relay = fault_relay.FaultRelay(port)
        await relay.start()
        self.relays.append(relay)
        return relay

    def register_instance(self, instance, state="ready"):
        """Write the entry of an instance to the store."""
        document = {
            "service": instance.service,
            "address": f"127.0.0.1:{instance.relay.port}",
            "zone": "east",
            "version": "v1",
            "slots": 4,
            "state": state,
            "warmup_left_s": 0,
            "sequence": next(self._sequences),
            "born": instance.born,
        }
        self.store.put("keyed.servers", instance.name, msgspec.json.encode(document))

    def register_restarted(self, instance):
        """Register the new incarnation of an instance that a request has ended."""
        if instance.name not in self._draining_names and not self.finished:
            self.register_instance(instance)

    def publish_desired_state(self):
        """Write a desired state, in which only one route contains the version."""

        def route(prefix, kind, service):
            return {
                "host": "h",
                "path_prefix": prefix,
                "kind": kind,
                "timeout_s": 1.5,
                "target_latency_s": 0.3,
                "priority": 0,
                "service": service,
                "max_attempts": 2,
            }

        rows = [
            ("routes", "safe", route("/safe/", "safe", "plain")),
            ("routes", "unsafe", route("/unsafe/", "unsafe", "plain")),
            ("routes", "keyed", route("/keyed/", "safe", "keyed")),
            ("routes", "newest", route(f"/v{self.version}/", "safe", "plain")),
            ("services", "plain", {"max_connections": 200}),
            ("services", "keyed", {"max_connections": 200, "sharded": True}),
            (
                "limits",
                "",
                {
                    "max_header_bytes": 9_000,
                    "max_body_bytes": 9_000,
                    "header_timeout_s": 3,
                    "idle_timeout_s": 15,
                },
            ),
        ]
        resources = [
            {"resource_kind": kind, "metadata": {"name": name}, "spec": spec}
            for kind, name, spec in rows
        ]
        document = {"version": self.version, "resources": resources}
        self.store.put("keyed.op", "config", msgspec.json.encode(document))
        self.published_at = self.now()

    # Callers.

    async def run_caller(self, number):
        """Send requests one after the other, and reconnect when a connection ends."""
        connection = None
        while not self.finished:
            vm = self.random.choice(self.vms)
            if connection is None:
                try:
                    connection = await asyncio.open_connection(
                        "127.0.0.1", vm.caller_port
                    )
                except OSError:
                    await asyncio.sleep(0.05)
                    continue
                connected_vm = vm
            outcome = await self._request(connection, connected_vm)
            if outcome.closing:
                connection[1].transport.abort()
                connection = None
            await asyncio.sleep(self.random.uniform(0.01, 0.06))

    async def _request(self, connection, vm):
        kind = self.random.choice(("safe", "unsafe", "keyed"))
        request_id = f"r{next(self._request_numbers)}"
        path = f"/{kind}/x"
        key = self.random.randrange(instances.KEY_COUNT)
        method = "POST" if kind == "unsafe" else "GET"
        reader, writer = connection
        writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: h\r\nRequest-Id: {request_id}\r\n"
            f"Deadline-Ms: 2000\r\nShard-Key: {key}\r\n"
            "Content-Length: 0\r\n\r\n".encode()
        )
        self.request_count += 1
        sent_at = self.now()
        outcome = await read_outcome(reader)
        self._check(request_id, path, vm, sent_at, outcome)
        return outcome

    def _check(self, request_id, path, vm, sent_at, outcome):
        if outcome.status == 200:
            self.success_count += 1
            if outcome.body != f"{request_id} {path}".encode() or not outcome.signed:
                self.record_problem(f"{request_id} got {outcome.body!r} for {path}")
        elif outcome.status in (408, 421, 429, 503) and not outcome.signed:
            self.refused_ids.add(request_id)
        elif outcome.status == 0:
            stopping = vm.stopping_since
            ran = request_id in self.run_tracker.runs_by_id
            if stopping is not None and ran and vm.killed_at < sent_at:
                self.record_problem(
                    f"{request_id} was cut by {vm.name}, which was stopping"
                )

    async def run_slow_caller(self, number):
        """Read large answers slowly, over kept connections."""
        generator = random.Random(number)
        caller = None
        while not self.finished:
            if caller is None:
                vm = generator.choice(self.vms)
                caller = slow_caller.SlowCaller(vm.caller_port, SLOW_BYTES_PER_S)
                if not await caller.start():
                    caller = None
                    await asyncio.sleep(0.05)
                    continue
            request_id = f"s{next(self._request_numbers)}"
            sent_at = self.now()
            end = await caller.request(instances.LARGE_PATH, request_id)
            self.request_count += 1
            # A stop excuses no answer that was asked for before it.
            was_stopped = sent_at < vm.last_stopped_at
            ran = request_id in self.run_tracker.runs_by_id
            if end == slow_caller.AnswerEnd.WHOLE:
                self.success_count += 1
            elif (
                end == slow_caller.AnswerEnd.CUT
                and was_stopped
                and ran
                and vm.killed_at < sent_at
            ):
                self.record_problem(f"{request_id} was cut by a stop of {vm.name}")
            if end != slow_caller.AnswerEnd.WHOLE:
                caller.close()
                caller = None
        if caller is not None:
            caller.close()

    async def check_versions(self):
        """Check that undisturbed VMs serve the route of the newest version in time."""
        while not self.finished:
            await asyncio.sleep(0.25)
            version, since = self.version, self.published_at
            if self.now() < since + DESIRED_STATE_TIMEOUT_S:
                continue
            for vm in self.vms:
                if vm.disturbed_until > since or vm.pid is None:
                    continue
                status = await send_request(
                    vm.caller_port, f"/v{version}/x", f"v{self.now()}"
                )
                still_valid = vm.disturbed_until <= since and version == self.version
                if status == 404 and still_valid:
                    self.record_problem(f"{vm.name} does not know version {version}")

    def record_problem(self, text):
        """Record a violated rule."""
        self.run_tracker.problems.append(f"{self.now():.2f} {text}")

    # Faults.

    def mark_disturbed(self, vm, duration_s):
        """Suspend the checks of timing bounds for a VM."""
        vm.disturbed_until = max(
            vm.disturbed_until, self.now() + duration_s + SETTLING_TIME_S
        )

    def mark_all_disturbed(self, duration_s):
        """Suspend the checks of timing bounds for all VMs."""
        for vm in self.vms:
            self.mark_disturbed(vm, duration_s)

    async def kill_vm(self, vm):
        """Kill the process of a VM and start it again."""
        self.mark_disturbed(vm, 1.0)
        await vm.kill()
        await asyncio.sleep(0.3)
        await vm.start()
        self.mark_disturbed(vm, 1.0)

    async def kill_all_vms(self, vm):
        """Kill the processes of all VMs at once and start them again."""
        await asyncio.gather(*(self.kill_vm(each_vm) for each_vm in self.vms))

    async def terminate_vm(self, vm):
        """Stop the process of a VM by SIGTERM and start it again."""
        self.mark_disturbed(vm, GRACE_PERIOD_S + 1.0)
        if not await vm.stop(GRACE_PERIOD_S):
            self.record_problem(f"{vm.name} did not end within its grace period")
        await asyncio.sleep(0.2)
        await vm.start()
        self.mark_disturbed(vm, 1.0)

    async def suspend_vm(self, vm):
        """Suspend the process of a VM for a random time."""
        duration_s = self.random.uniform(0.3, 6.0)
        self.mark_all_disturbed(duration_s)
        vm.signal(signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        vm.signal(signal.SIGCONT)
        for instance in self.instances:
            instance.relay.healed_at = self.now()

    async def reload_settings(self, vm):
        """Send SIGHUP to a VM, which reloads its settings."""
        vm.signal(signal.SIGHUP)

    async def disrupt_store_connections(self, vm):
        """Disrupt the connections between a VM and the store in one of several ways."""
        duration_s = self.random.uniform(0.5, 8.0)
        self.mark_disturbed(vm, duration_s)
        disruption = self.random.choice(("to", "from", "delay", "reset", "silence"))
        await self._disrupt(vm.store_relay, disruption, duration_s)

    async def refuse_store_calls(self, vm):
        """Make the store refuse all calls for a random time."""
        duration_s = self.random.uniform(0.5, 5.0)
        self.mark_all_disturbed(duration_s)
        self.store.refuses_calls = True
        await asyncio.sleep(duration_s)
        self.store.refuses_calls = False

    async def restore_store(self, vm):
        """Restore the store from a copy that is some seconds old.

        The operator and the instances write again what they wrote.
        """
        end_by_topic = self.store.copy_end_offsets()
        await asyncio.sleep(self.random.uniform(0.2, 4.0))
        self.mark_all_disturbed(3.0)
        self.store.refuses_calls = True
        await asyncio.sleep(self.random.uniform(0.05, 0.5))
        self.store.restore(end_by_topic)
        self.store.refuses_calls = False
        await asyncio.sleep(self.random.uniform(0.0, 1.5))
        for instance in self.instances:
            is_draining = instance.name in self._draining_names
            self.register_instance(instance, "draining" if is_draining else "ready")
        self.publish_desired_state()

    async def drop_store_responses(self, vm):
        """Make the store carry out a few calls without a response."""
        self.mark_all_disturbed(2.0)
        self.store.responses_to_drop += self.random.randrange(1, 6)

    async def disrupt_instance_connections(self, vm):
        """Disrupt the connections to an instance in one of several ways."""
        instance = self.random.choice(self.instances)
        disruption = self.random.choice(("to", "from", "delay", "reset", "silence"))
        await self._disrupt(instance.relay, disruption, self.random.uniform(0.5, 6.0))

    async def restart_instance(self, vm):
        """Restart an instance under its id, as a new incarnation."""
        instance = self.random.choice(self.instances)
        instance.restart()
        await asyncio.sleep(self.random.uniform(0.1, 1.0))
        if instance.name not in self._draining_names:
            self.register_instance(instance)

    async def drain_instance(self, vm):
        """Register an instance as draining; it serves for a while longer.

        At least two other instances of its service keep serving.
        """
        remaining = [
            instance
            for instance in self.instances
            if instance.name not in self._draining_names
        ]
        if sum(instance.service == remaining[0].service for instance in remaining) < 3:
            return
        draining = remaining[0]
        self._draining_names.add(draining.name)
        self.register_instance(draining, "draining")
        if all(vm.disturbed_until <= self.now() for vm in self.vms):
            self.run_tracker.drained_at[draining.name] = self.now() + DRAIN_TIMEOUT_S
        await asyncio.sleep(DRAIN_TIMEOUT_S)

    async def send_crashing_request(self, vm):
        """Send a request that ends instances again and again, through all VMs."""
        path = f"{instances.POISON_PREFIX}-{next(self._request_numbers)}"
        await self._send_repeatedly(path, self.random.randrange(8, 25), 1)

    async def send_changing_request(self, vm):
        """Send a request that is answered before it begins to end instances."""
        path = f"{instances.CHANGING_PREFIX}-{next(self._request_numbers)}"
        caller_count = self.random.choice((1, 10))
        await self._send_repeatedly(path, self.random.randrange(1, 6), caller_count)
        self.run_tracker.ending_paths.add(path)
        await self._send_repeatedly(path, self.random.randrange(12, 40), caller_count)

    async def _send_repeatedly(self, path, count, caller_count):
        for _ in range(count):
            request_id = f"p{next(self._request_numbers)}"
            port = self.random.choice(self.vms).caller_port
            host = f"127.0.0.{2 + self.random.randrange(caller_count)}"
            await send_request(port, path, request_id, host)
            await asyncio.sleep(self.random.uniform(0.05, 0.5))

    async def restart_under_rare_path(self, vm):
        """Restart several instances at once that run a path which few callers use."""
        path = f"{RARE_PREFIX}-{next(self._request_numbers)}"
        self.rare_paths.append(path)
        sends = [
            asyncio.create_task(
                send_request(
                    self.random.choice(self.vms).caller_port,
                    path,
                    f"q{next(self._request_numbers)}",
                )
            )
            for _ in range(4)
        ]
        await asyncio.sleep(instances.SERVICE_TIME_RANGE_S[0])
        restarting = [
            instance
            for instance in self.instances
            if instance.service == "plain" and instance.name not in self._draining_names
        ]
        for instance in restarting:
            instance.restart()
        await asyncio.sleep(self.random.uniform(0.1, 0.6))
        for instance in restarting:
            self.register_restarted(instance)
        await asyncio.gather(*sends)

    async def change_desired_state(self, vm):
        """Publish a new version of the desired state."""
        self.version += self.random.randrange(1, 4)
        self.publish_desired_state()

    async def _disrupt(self, relay, disruption, duration_s):
        if disruption == "reset":
            relay.reset()
        elif disruption == "silence":
            relay.silence()
        elif disruption == "delay":
            relay.delay_s = self.random.uniform(0.01, 0.3)
        else:
            relay.blocked_directions = frozenset((disruption,))
        await asyncio.sleep(duration_s)
        relay.heal()

    async def inject_faults(self, duration_s):
        """Start random faults that overlap, and wait until all have ended."""
        fault_kinds = (
            self.kill_vm,
            self.kill_all_vms,
            self.terminate_vm,
            self.suspend_vm,
            self.reload_settings,
            self.disrupt_store_connections,
            self.refuse_store_calls,
            self.drop_store_responses,
            self.disrupt_instance_connections,
            self.restart_instance,
            self.drain_instance,
            self.change_desired_state,
            self.change_desired_state,
            self.send_crashing_request,
        )
        if self._all_faults:
            fault_kinds += (
                self.send_changing_request,
                self.restart_under_rare_path,
                self.restore_store,
            )
        # Each process has at most one fault that affects it directly at a time.
        busy_vms = set()
        running = []
        ends_at = self.now() + duration_s

        process_faults = {
            self.kill_vm,
            self.terminate_vm,
            self.suspend_vm,
            self.reload_settings,
        }
        while self.now() < ends_at:
            fault, vm = self.random.choice(fault_kinds), self.random.choice(self.vms)
            hits_all_vms = fault == self.kill_all_vms
            if (hits_all_vms and busy_vms) or (
                fault in process_faults and vm.name in busy_vms
            ):
                await asyncio.sleep(0.05)
                continue
            if fault in process_faults or hits_all_vms:
                busy_vms |= (
                    {each_vm.name for each_vm in self.vms}
                    if hits_all_vms
                    else {vm.name}
                )
            self.faults.append(fault.__name__)
            running.append(
                asyncio.create_task(
                    self._run_fault(fault, vm, busy_vms, process_faults)
                )
            )
            await asyncio.sleep(self.random.uniform(0.1, 1.5))
        await asyncio.gather(*running)

    async def _run_fault(self, fault, vm, busy_vms, process_faults):
        await fault(vm)
        if fault == self.kill_all_vms:
            busy_vms.clear()
        elif fault in process_faults:
            busy_vms.discard(vm.name)

    async def check_recovery(self):
        """Check that requests of all kinds are served again in time."""
        ends_at = self.now() + RECOVERY_TIMEOUT_S
        unserved_paths = ["/safe/x", "/unsafe/x", "/keyed/x", *self.rare_paths]
        while unserved_paths and self.now() < ends_at:
            for vm in self.vms:
                served = [
                    path
                    for path in unserved_paths
                    if await send_request(
                        vm.caller_port, path, f"end{next(self._request_numbers)}"
                    )
                    == 200
                ]
                unserved_paths = [path for path in unserved_paths if path not in served]
            await asyncio.sleep(0.2)
        if unserved_paths:
            self.record_problem(
                f"not served {RECOVERY_TIMEOUT_S} s after the faults: {unserved_paths}"
            )

    def check_crashing_requests(self):
        """Check that no request ended instances long after it had ended three."""
        for path, ended_at in self.run_tracker.ended_at_by_path.items():
            if len(ended_at) < 3:
                continue
            late_from = sorted(ended_at)[2] + CRASH_PROPAGATION_S
            late_count = sum(at > late_from for at in ended_at)
            if late_count > MAX_LATE_ENDS:
                self.record_problem(f"{path} ended {late_count} instances too late")

    def check_refused_requests(self):
        """Check that no unsafe request ran that was refused as not run."""
        for request_id in self.refused_ids & set(self.run_tracker.runs_by_id):
            if request_id in self.run_tracker.unsafe_ids:
                self.record_problem(f"{request_id} was refused as not run, and ran")


async def read_outcome(reader):
    """Read a response from a connection of a caller and return its outcome."""
    try:
        async with asyncio.timeout(RESPONSE_TIMEOUT_S):
            head = await reader.readuntil(b"\r\n\r\n")
            lines = head.decode("latin-1").split("\r\n")
            headers = {
                name.lower(): value.strip()
                for name, _, value in (
                    line.partition(":") for line in lines[1:] if line
                )
            }
            body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (OSError, EOFError, TimeoutError, asyncio.LimitOverrunError):
        return ResponseOutcome(0, b"", False, True)
    closing = headers.get("connection", "") == "close"
    status = int(lines[0].split()[1])
    return ResponseOutcome(status, body, "response-signature" in headers, closing)


async def send_request(port, path, request_id, local_host="127.0.0.1"):
    """Return the status of one request on a new connection, 0 without a response."""
    try:
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", port, local_addr=(local_host, 0)
        )
    except OSError:
        return 0
    writer.write(
        f"GET {path} HTTP/1.1\r\nHost: h\r\nRequest-Id: {request_id}\r\n"
        "Deadline-Ms: 1000\r\nShard-Key: 7\r\nConnection: close\r\n\r\n".encode()
    )
    outcome = await read_outcome(reader)
    writer.transport.abort()
    return outcome.status


async def run_soak(seed, duration_s, ports, folder, all_faults):
    """Run one seed and return its report."""
    soak = SoakRun(seed, folder, all_faults)
    caller_tasks = []
    try:
        await soak.start(ports)
        await soak.check_recovery()
        caller_tasks = [
            asyncio.create_task(soak.run_caller(number))
            for number in range(CALLER_COUNT)
        ]
        if all_faults:
            caller_tasks += [
                asyncio.create_task(soak.run_slow_caller(number))
                for number in range(SLOW_CALLER_COUNT)
            ]
        caller_tasks.append(asyncio.create_task(soak.check_versions()))
        await soak.inject_faults(duration_s)
        await soak.check_recovery()
        soak.finished = True
        await asyncio.gather(*caller_tasks)
        soak.check_refused_requests()
        soak.check_crashing_requests()
    finally:
        for task in caller_tasks:
            task.cancel()
        await soak.close()
    for vm in soak.vms:
        if "WV0005" in vm.log_text():
            soak.run_tracker.problems.append(
                f"{vm.name} logged an unexpected exception"
            )
    return SoakReport(
        seed,
        tuple(soak.faults),
        soak.request_count,
        soak.success_count,
        tuple(soak.run_tracker.problems),
    )


def run_seed(seed, duration_s, ports, all_faults=True):
    """Run one seed in a temporary folder, which is kept if a rule was violated.

    Without ``all_faults`` a seed gives the schedule that it gave before two kinds of
    faults were added.
    """
    folder = tempfile.mkdtemp(prefix=f"wasabivalve-soak-{seed}-")
    report = asyncio.run(run_soak(seed, duration_s, ports, folder, all_faults))
    if not report.problems:
        for file in pathlib.Path(folder).iterdir():
            file.unlink()
        pathlib.Path(folder).rmdir()
    return report

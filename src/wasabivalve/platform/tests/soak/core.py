"""Play one seed: VMs as processes, faults that overlap, checks all the while."""

import asyncio
import itertools
import pathlib
import random
import signal
import tempfile
from typing import NamedTuple

import msgspec

from wasabivalve.platform.tests import store_stand_in
from wasabivalve.platform.tests.soak import fault_relay, instances, vm_process

VMS = 3
CALLERS = 12
GRACE_S = 3.0
DRAIN_S = 2.5
CONFIG_S = 2.5
CALM_S = 3.0
"""Time after a disturbance from which bounds hold again."""

RECOVERY_S = 15.0
"""Time after the last fault by which requests are served again."""

READY_S = 15.0
ANSWER_S = 4.0


class Report(NamedTuple):
    """Hold what a run did and which rules it saw broken."""

    seed: int
    faults: tuple[str, ...]
    requests: int
    answered: int
    problems: tuple[str, ...]


class Outcome(NamedTuple):
    """Hold the answer to a request; status 0 where its connection ended without."""

    status: int
    body: bytes
    signed: bool
    closing: bool


class Soak:
    """Hold everything of one run."""

    def __init__(self, seed, folder):
        self.random = random.Random(seed)
        self.book = instances.Book()
        self.store = store_stand_in.StoreStandIn()
        self.relays = []
        self.vms = []
        self.instances = []
        self.faults = []
        self.requests = 0
        self.answered = 0
        self.refused_ids = set()
        self.version = 1
        self.version_at = 0.0
        self.over = False
        self._folder = folder
        self._numbers = itertools.count(1)
        self._sequences = itertools.count(1)
        self._left = set()

    def now(self):
        """Return the time of the loop in s."""
        return asyncio.get_running_loop().time()

    async def start(self, ports):
        """Start the store, the instances and the VMs, and wait until one is ready."""
        await self.store.start()
        self.publish()
        for number in range(6):
            service = "keyed" if number < 3 else "plain"
            one = instances.SoakInstance(f"i-{number}", service, self.book, self.random)
            await one.start()
            one.relay = await self._relay(one.port)
            self.instances.append(one)
            self.register(one)
        for number in range(VMS):
            own = ports[4 * number : 4 * number + 4]
            data_centre = ("east", "west")[number % 2]
            relay = await self._relay(self.store.port)
            vm = vm_process.VMProcess(
                f"vm-{number}", data_centre, own, relay, self._folder
            )
            self.vms.append(vm)
            await vm.start()
            vm.disturbed_until = self.now() + CALM_S

    async def close(self):
        """End all processes of this run, and all that listens."""
        for vm in self.vms:
            vm.signal(signal.SIGCONT)
            await vm.kill()
        for one in [*self.relays, *self.instances, self.store]:
            one.close()
        # The tasks of the relays end once they see that their connections closed.
        await asyncio.sleep(0.1)

    async def _relay(self, port):
        relay = fault_relay.FaultRelay(port)
        await relay.start()
        self.relays.append(relay)
        return relay

    def register(self, instance, state="ready"):
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

    def publish(self):
        """Write a desired state whose only changed route names its version."""

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
        self.version_at = self.now()

    # Callers.

    async def call(self, number):
        """Send requests one after the other, over one connection while it lasts."""
        connection = None
        while not self.over:
            vm = self.random.choice(self.vms)
            if connection is None:
                try:
                    connection = await asyncio.open_connection("127.0.0.1", vm.callers)
                except OSError:
                    await asyncio.sleep(0.05)
                    continue
                at = vm
            outcome = await self._request(connection, at)
            if outcome.closing:
                connection[1].transport.abort()
                connection = None
            await asyncio.sleep(self.random.uniform(0.01, 0.06))

    async def _request(self, connection, vm):
        kind = self.random.choice(("safe", "unsafe", "keyed"))
        request_id = f"r{next(self._numbers)}"
        path = f"/{kind}/x"
        key = self.random.randrange(instances.KEYS)
        method = "POST" if kind == "unsafe" else "GET"
        reader, writer = connection
        writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: h\r\nRequest-Id: {request_id}\r\n"
            f"Deadline-Ms: 2000\r\nShard-Key: {key}\r\n"
            "Content-Length: 0\r\n\r\n".encode()
        )
        self.requests += 1
        sent_at = self.now()
        outcome = await read_outcome(reader)
        self._check(request_id, path, vm, sent_at, outcome)
        return outcome

    def _check(self, request_id, path, vm, sent_at, outcome):
        if outcome.status == 200:
            self.answered += 1
            if outcome.body != f"{request_id} {path}".encode() or not outcome.signed:
                self.problem(f"{request_id} got {outcome.body!r} for {path}")
        elif outcome.status in (408, 421, 429, 503) and not outcome.signed:
            self.refused_ids.add(request_id)
        elif outcome.status == 0:
            stopping = vm.stopping_since
            ran = request_id in self.book.runs_by_id
            if stopping is not None and ran and vm.killed_at < sent_at:
                self.problem(f"{request_id} was cut by {vm.name}, which was stopping")

    async def watch_versions(self):
        """Check that VMs without a disturbance serve the newest route in time."""
        while not self.over:
            await asyncio.sleep(0.25)
            version, since = self.version, self.version_at
            if self.now() < since + CONFIG_S:
                continue
            for vm in self.vms:
                if vm.disturbed_until > since or vm.pid is None:
                    continue
                status = await ask(vm.callers, f"/v{version}/x", f"v{self.now()}")
                calm = vm.disturbed_until <= since and version == self.version
                if status == 404 and calm:
                    self.problem(f"{vm.name} does not know version {version}")

    def problem(self, text):
        """Note a broken rule."""
        self.book.problems.append(f"{self.now():.2f} {text}")

    # Faults.

    def disturb(self, vm, duration_s):
        """Note that bounds do not hold for a VM for now."""
        vm.disturbed_until = max(vm.disturbed_until, self.now() + duration_s + CALM_S)

    def disturb_all(self, duration_s):
        """Note that bounds hold for no VM for now."""
        for vm in self.vms:
            self.disturb(vm, duration_s)

    async def kill(self, vm):
        """Kill a process and start it again."""
        self.disturb(vm, 1.0)
        await vm.kill()
        await asyncio.sleep(0.3)
        await vm.start()
        self.disturb(vm, 1.0)

    async def kill_all(self, vm):
        """Kill all processes at once and start them again."""
        await asyncio.gather(*(self.kill(one) for one in self.vms))

    async def terminate(self, vm):
        """Stop a process as planned and start it again."""
        self.disturb(vm, GRACE_S + 1.0)
        if not await vm.stop(GRACE_S):
            self.problem(f"{vm.name} did not end within its grace time")
        await asyncio.sleep(0.2)
        await vm.start()
        self.disturb(vm, 1.0)

    async def pause(self, vm):
        """Suspend a process for some time."""
        duration_s = self.random.uniform(0.3, 6.0)
        self.disturb_all(duration_s)
        vm.signal(signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        vm.signal(signal.SIGCONT)
        for one in self.instances:
            one.relay.healed_at = self.now()

    async def reload(self, vm):
        """Send SIGHUP."""
        vm.signal(signal.SIGHUP)

    async def cut_store(self, vm):
        """Hold what a VM sends to the store, or what comes from there, or reset it."""
        duration_s = self.random.uniform(0.5, 8.0)
        self.disturb(vm, duration_s)
        how = self.random.choice(("to", "from", "delay", "reset", "silence"))
        await self._harm(vm.store_relay, how, duration_s)

    async def refuse(self, vm):
        """Let the store refuse all calls."""
        duration_s = self.random.uniform(0.5, 5.0)
        self.disturb_all(duration_s)
        self.store.refusing = True
        await asyncio.sleep(duration_s)
        self.store.refusing = False

    async def lose_answers(self, vm):
        """Let the store carry out calls without answering them."""
        self.disturb_all(2.0)
        self.store.losing += self.random.randrange(1, 6)

    async def cut_instance(self, vm):
        """Harm the connections to an instance."""
        one = self.random.choice(self.instances)
        how = self.random.choice(("to", "from", "delay", "reset", "silence"))
        await self._harm(one.relay, how, self.random.uniform(0.5, 6.0))

    async def restart_instance(self, vm):
        """Let an instance crash and come back under its id, as a new life."""
        one = self.random.choice(self.instances)
        one.restart()
        await asyncio.sleep(self.random.uniform(0.1, 1.0))
        if one.name not in self._left:
            self.register(one)

    async def drain(self, vm):
        """Let an instance report that it drains, and serve for a while longer."""
        staying = [one for one in self.instances if one.name not in self._left]
        if sum(one.service == staying[0].service for one in staying) < 3:
            return
        one = staying[0]
        self._left.add(one.name)
        self.register(one, "draining")
        if all(vm.disturbed_until <= self.now() for vm in self.vms):
            self.book.drained_at[one.name] = self.now() + DRAIN_S
        await asyncio.sleep(DRAIN_S)

    async def change(self, vm):
        """Publish a new version of the desired state."""
        self.version += self.random.randrange(1, 4)
        self.publish()

    async def _harm(self, relay, how, duration_s):
        if how == "reset":
            relay.reset()
        elif how == "silence":
            relay.silence()
        elif how == "delay":
            relay.delay_s = self.random.uniform(0.01, 0.3)
        else:
            relay.held = frozenset((how,))
        await asyncio.sleep(duration_s)
        relay.heal()

    async def play(self, duration_s):
        """Start faults at random, in series that overlap, and wait for their ends."""
        kinds = (
            self.kill,
            self.kill_all,
            self.terminate,
            self.pause,
            self.reload,
            self.cut_store,
            self.refuse,
            self.lose_answers,
            self.cut_instance,
            self.restart_instance,
            self.drain,
            self.change,
            self.change,
        )
        # One process gets one fault of its own at a time.
        busy = set()
        running = []
        ends_at = self.now() + duration_s

        own = {self.kill, self.terminate, self.pause, self.reload}
        while self.now() < ends_at:
            fault, vm = self.random.choice(kinds), self.random.choice(self.vms)
            alone = fault == self.kill_all
            if (alone and busy) or (fault in own and vm.name in busy):
                await asyncio.sleep(0.05)
                continue
            if fault in own or alone:
                busy |= {one.name for one in self.vms} if alone else {vm.name}
            self.faults.append(fault.__name__)
            running.append(asyncio.create_task(self._run(fault, vm, busy, own)))
            await asyncio.sleep(self.random.uniform(0.1, 1.5))
        await asyncio.gather(*running)

    async def _run(self, fault, vm, busy, own):
        await fault(vm)
        if fault == self.kill_all:
            busy.clear()
        elif fault in own:
            busy.discard(vm.name)

    async def recover(self):
        """Check that requests of all kinds are served again in time."""
        ends_at = self.now() + RECOVERY_S
        wanted = ["/safe/x", "/unsafe/x", "/keyed/x"]
        while wanted and self.now() < ends_at:
            for vm in self.vms:
                served = [
                    path
                    for path in wanted
                    if await ask(vm.callers, path, f"end{next(self._numbers)}") == 200
                ]
                wanted = [path for path in wanted if path not in served]
            await asyncio.sleep(0.2)
        if wanted:
            self.problem(f"not served {RECOVERY_S} s after the faults: {wanted}")

    def finish(self):
        """Check what only the end shows."""
        for request_id in self.refused_ids & set(self.book.runs_by_id):
            if request_id in self.book.unsafe_ids:
                self.problem(f"{request_id} was refused as not run, and ran")


async def read_outcome(reader):
    """Return the outcome of a request on a connection of a caller."""
    try:
        async with asyncio.timeout(ANSWER_S):
            head = await reader.readuntil(b"\r\n\r\n")
            lines = head.decode("latin-1").split("\r\n")
            fields = {
                name.lower(): value.strip()
                for name, _, value in (
                    line.partition(":") for line in lines[1:] if line
                )
            }
            body = await reader.readexactly(int(fields.get("content-length", 0)))
    except (OSError, EOFError, TimeoutError, asyncio.LimitOverrunError):
        return Outcome(0, b"", False, True)
    closing = fields.get("connection", "") == "close"
    status = int(lines[0].split()[1])
    return Outcome(status, body, "response-signature" in fields, closing)


async def ask(port, path, request_id):
    """Return the status of one request on a new connection, 0 without an answer."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return 0
    writer.write(
        f"GET {path} HTTP/1.1\r\nHost: h\r\nRequest-Id: {request_id}\r\n"
        "Deadline-Ms: 1000\r\nShard-Key: 7\r\nConnection: close\r\n\r\n".encode()
    )
    outcome = await read_outcome(reader)
    writer.transport.abort()
    return outcome.status


async def play(seed, duration_s, ports, folder):
    """Play one seed and return its report."""
    soak = Soak(seed, folder)
    callers = []
    try:
        await soak.start(ports)
        await soak.recover()
        callers = [asyncio.create_task(soak.call(one)) for one in range(CALLERS)]
        callers.append(asyncio.create_task(soak.watch_versions()))
        await soak.play(duration_s)
        await soak.recover()
        soak.over = True
        await asyncio.gather(*callers)
        soak.finish()
    finally:
        for caller in callers:
            caller.cancel()
        await soak.close()
    for vm in soak.vms:
        if "WV0005" in vm.log_text():
            soak.book.problems.append(f"{vm.name} logged an unexpected exception")
    return Report(
        seed,
        tuple(soak.faults),
        soak.requests,
        soak.answered,
        tuple(soak.book.problems),
    )


def run(seed, duration_s, ports):
    """Run one seed in a folder of its own, which stays when a rule was broken."""
    folder = tempfile.mkdtemp(prefix=f"wasabivalve-soak-{seed}-")
    report = asyncio.run(play(seed, duration_s, ports, folder))
    if not report.problems:
        for file in pathlib.Path(folder).iterdir():
            file.unlink()
        pathlib.Path(folder).rmdir()
    return report

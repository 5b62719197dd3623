"""Stop entry VMs while callers still read, with real processes.

The callers read small amounts at a time, as over a long and narrow link, so that most
of an answer waits in the VM.
"""

import asyncio
import contextlib
import signal

import pytest

from wasabivalve.platform.tests import ports, store_stand_in, test_entry_vm
from wasabivalve.platform.tests.soak import slow_caller, vm_process

pytestmark = pytest.mark.processes

GRACE_S = 6
BODY = b"0123456789abcdef" * 45_000
READ_BYTES_PER_S = 160_000
"""Rate at which an answer takes longer than a VM stays in rotation, not its grace."""

ROUTE_TIMEOUT_S = 8
STOP_AFTER_S = 0.3
IDLE_STOP_S = 4.0
"""Bound of a stop for which nobody waits; 2.6 s of it are for leaving rotation."""

LENGTH = b"content-length: %d\r\n\r\n" % len(BODY) + BODY
CHUNKED = (
    b"transfer-encoding: chunked\r\n\r\n%x\r\n" % len(BODY) + BODY + b"\r\n0\r\n\r\n"
)
ANSWER_BY_PATH = {
    "/plain/held": (b"404 No", LENGTH),
    "/plain/streamed": (b"200 OK", LENGTH),
    "/plain/chunked": (b"200 OK", CHUNKED),
    "/plain/endless": (b"200 OK", b"connection: close\r\n\r\n" + BODY),
    "/plain/small": (b"200 OK", b"content-length: 4\r\n\r\ndone"),
}

KINDS = (
    "held",
    "streamed",
    "chunked",
    "endless",
    "closing",
    "pipelined",
    "late",
    "crossing",
)
"""Ways to ask for an answer; the last two send a request behind it during the stop."""

SUCCESS_KINDS = ("streamed", "chunked", "endless")
REQUEST_DELAY_S_BY_KIND = {"late": 1.0, "crossing": 2.8}


class Instance:
    """Answer requests by their path."""

    service = "plain"

    async def start(self):
        """Listen on a free port of loopback."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self):
        """Stop listening."""
        self._server.close()

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                path = head.split()[1]
                request_id = head.lower().partition("request-id: ")[2].split("\r\n")[0]
                status, rest = ANSWER_BY_PATH[path]
                fields = f"request-id: {request_id}\r\nresponse-signature: s.1\r\n"
                writer.write(b"HTTP/1.1 " + status + b"\r\n" + fields.encode() + rest)
                await writer.drain()
                if path == "/plain/endless":
                    break
        writer.close()


class Caller:
    """Send requests over one connection and read slowly all that comes back."""

    def __init__(self, port):
        self._loop = asyncio.get_running_loop()
        self._port = port
        self.received = bytearray()
        self.end = None

    async def start(self, *paths, headers=""):
        """Connect and send requests for paths."""
        self._socket = await slow_caller.connect(self._port)
        await self.send(*paths, headers=headers)

    async def send(self, *paths, headers=""):
        """Send requests at once."""
        data = "".join(
            f"GET {path} HTTP/1.1\r\nHost: h\r\nRequest-Id: r{number}\r\n"
            f"Deadline-Ms: {1000 * ROUTE_TIMEOUT_S}\r\n{headers}\r\n"
            for number, path in enumerate(paths)
        )
        await self._loop.sock_sendall(self._socket, data.encode())

    async def read(self, bytes_per_s=READ_BYTES_PER_S):
        """Read until the connection ends, which ``end`` says how."""
        try:
            while data := await self._loop.sock_recv(self._socket, 4_096):
                self.received += data
                await asyncio.sleep(len(data) / bytes_per_s)
            self.end = "closed"
        except ConnectionError:
            self.end = "reset"
        finally:
            self._socket.close()

    def answers(self):
        """Return the status and the body of each answer that came whole."""
        data, answers = bytes(self.received), []
        while data:
            head, separator, data = data.partition(b"\r\n\r\n")
            head = head.lower()
            if b"transfer-encoding: chunked" in head:
                body = bytearray()
                while (size := int(data.partition(b"\r\n")[0] or b"0", 16)) > 0:
                    data = data.partition(b"\r\n")[2]
                    body += data[:size]
                    data = data[size + 2 :]
                whole = data.startswith(b"0\r\n\r\n")
                data = data[5:]
            elif b"content-length: " in head:
                size = int(head.partition(b"content-length: ")[2].split(b"\r\n")[0])
                body, data = data[:size], data[size:]
                whole = len(body) == size
            else:
                body, data = data, b""
                whole = self.end == "closed"
            if separator and whole:
                answers.append((int(head.split()[1]), bytes(body)))
        return answers


class Deployment:
    """Run VMs as processes beside a store and an instance."""

    def __init__(self, folder):
        self._folder = folder
        self._store = store_stand_in.StoreStandIn()
        self._instance = Instance()
        self.vms = []

    async def start(self, following_count):
        """Start all, the VM that leads first."""
        await self._store.start()
        await self._instance.start()
        entry = test_entry_vm.encode_entry(self._instance, slots=40)
        self._store.put("keyed.servers", "i-0", entry)
        state = test_entry_vm.encode_desired_state(1, timeout_s=ROUTE_TIMEOUT_S)
        self._store.put("keyed.op", "config", state)
        await self._start_vms(["leading"])
        await self._start_vms(
            [f"following-{index}" for index in range(following_count)]
        )

    async def _start_vms(self, names):
        """Start VMs and wait until they serve and the first one of all leads."""
        vm_ports = ports.free_ports(4 * len(names))
        vms = [
            vm_process.VMProcess(
                name,
                "east",
                vm_ports[4 * index : 4 * index + 4],
                self._store,
                self._folder,
                GRACE_S,
            )
            for index, name in enumerate(names)
        ]
        self.vms += vms
        for vm in vms:
            await vm.start()
        for vm in vms:
            while not await self._serves(vm):
                await asyncio.sleep(0.05)
        while "WV0310" not in self.vms[0].log_text():
            await asyncio.sleep(0.05)

    async def _serves(self, vm):
        """Return whether a VM serves a request."""
        caller = Caller(vm.caller_port)
        try:
            await caller.start("/plain/small", headers="Connection: close\r\n")
        except ConnectionError:
            return False
        await caller.read(1e9)
        return caller.answers() == [(200, b"done")]

    async def close(self):
        """End all."""
        for vm in self.vms:
            await vm.kill()
        self._instance.close()
        self._store.close()


async def stop(vm):
    """Stop a VM with two signals and return the time it took in s."""
    loop = asyncio.get_running_loop()
    stopping = asyncio.create_task(vm.stop(GRACE_S))
    started_at = loop.time()
    await asyncio.sleep(1.0)
    vm.signal(signal.SIGTERM)
    assert await stopping, "the process was still running after its grace period"
    return loop.time() - started_at


def run_scenario(scenario, folder, following_count=1):
    async def main():
        deployment = Deployment(folder)
        try:
            async with asyncio.timeout(40.0):
                await deployment.start(following_count)
                await scenario(*deployment.vms)
        except TimeoutError as error:
            logs = "\n".join(vm.log_text()[-1_500:] for vm in deployment.vms)
            raise AssertionError(f"logs of the VMs:\n{logs}") from error
        finally:
            await deployment.close()

    asyncio.run(main())


async def read_around_a_stop(vm, kind):
    """Stop a VM while a caller reads, and return the caller."""
    paths = {
        "endless": ["/plain/endless"],
        "streamed": ["/plain/streamed"],
        "chunked": ["/plain/chunked"],
        "pipelined": ["/plain/held", "/nowhere", "/plain/small"],
    }.get(kind, ["/plain/held"])
    caller = Caller(vm.caller_port)
    headers = "Connection: close\r\n" if kind == "closing" else ""
    await caller.start(*paths, headers=headers)
    reading = asyncio.create_task(caller.read())
    await asyncio.sleep(STOP_AFTER_S)
    stopping = asyncio.create_task(stop(vm))
    if kind in REQUEST_DELAY_S_BY_KIND:
        await asyncio.sleep(REQUEST_DELAY_S_BY_KIND[kind])
        await caller.send("/plain/small")
    await reading
    await stopping
    return caller


def test_planned_stop_cuts_no_answer_that_is_still_being_read(tmp_path):
    """A VM ended once its transports held the ends of its answers (LOST)."""

    async def scenario(leading, *following):
        callers = await asyncio.gather(
            *(
                read_around_a_stop(vm, kind)
                for vm, kind in zip(following, KINDS, strict=True)
            )
        )
        first_answers = {
            kind: caller.answers()[:1]
            for kind, caller in zip(KINDS, callers, strict=True)
        }
        assert first_answers == {
            kind: [(200 if kind in SUCCESS_KINDS else 404, BODY)] for kind in KINDS
        }
        answer_counts = {
            kind: len(caller.answers())
            for kind, caller in zip(KINDS, callers, strict=True)
        }
        # Requests that were read before the last answer are answered as well.
        assert answer_counts["pipelined"] == 3 and answer_counts["late"] == 2

    run_scenario(scenario, tmp_path, following_count=len(KINDS))


def test_planned_stop_of_the_leading_vm_cuts_no_answer(tmp_path):
    """The leading VM ends as soon as another one leads, whatever is unsent (LOST)."""

    async def scenario(leading, following):
        caller = await read_around_a_stop(leading, "held")
        assert caller.answers() == [(404, BODY)]

    run_scenario(scenario, tmp_path)


def test_stop_for_which_nobody_waits_is_short(tmp_path):
    """Kept connections that are idle must not hold a stop."""

    async def scenario(leading, following):
        callers = [Caller(following.caller_port) for _ in range(5)]
        for caller in callers:
            await caller.start("/plain/small")
        reads = [asyncio.create_task(caller.read()) for caller in callers]
        await asyncio.sleep(STOP_AFTER_S)
        assert await stop(following) < IDLE_STOP_S
        await asyncio.gather(*reads)

    run_scenario(scenario, tmp_path)


def test_caller_that_reads_nothing_does_not_hold_a_stop_beyond_its_grace(tmp_path):
    """An answer that the stop has to cut must not look whole (MIXED)."""

    async def scenario(leading, following):
        callers = [Caller(following.caller_port) for _ in range(3)]
        for path, caller in zip(ANSWER_BY_PATH, callers, strict=False):
            await caller.start(path)
        endless = Caller(following.caller_port)
        await endless.start("/plain/endless")
        await asyncio.sleep(STOP_AFTER_S)
        assert await stop(following) <= GRACE_S
        for caller in (*callers, endless):
            await caller.read(1e9)
        assert endless.end == "reset"
        assert [caller.answers() for caller in (*callers, endless)] == [[]] * 4

    run_scenario(scenario, tmp_path)


def test_killed_vm_leaves_no_part_of_an_answer_that_looks_whole(tmp_path):
    """The kernel ended connections in order whose end was the answer's (MIXED)."""

    async def scenario(leading, following):
        caller, whole_caller = (Caller(following.caller_port) for _ in range(2))
        await caller.start("/plain/endless")
        await whole_caller.start("/plain/endless")
        await whole_caller.read(1e9)
        reading = asyncio.create_task(caller.read())
        await asyncio.sleep(STOP_AFTER_S)
        await following.kill()
        await reading
        assert caller.received and caller.answers() == []
        assert whole_caller.answers() == [(200, BODY)]

    run_scenario(scenario, tmp_path)

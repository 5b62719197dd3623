"""Test requests that are sent before earlier ones were answered, over loopback."""

import asyncio
import contextlib
import socket

import pytest

from wasabivalve.gateway import receiving, response_order
from wasabivalve.gateway.tests import gateway_harness

OK_HEAD = b"HTTP/1.1 200 OK\r\nrequest-id: @id\r\nproof: p\r\n"
OK = OK_HEAD + b"content-length: 4\r\n\r\ndone"
UNFRAMED = OK_HEAD + b"\r\nend@cut"


class HoldingUpstream(gateway_harness.ScriptedUpstream):
    """Respond to each request when the test gives its response."""

    def __init__(self):
        super().__init__([])
        self._response_by_id = {}

    def respond(self, *request_ids, response=OK):
        """Respond to requests, also to those that come later."""
        for request_id in request_ids:
            self._response(request_id.encode()).set_result(response)

    def _response(self, request_id):
        loop = asyncio.get_running_loop()
        return self._response_by_id.setdefault(request_id, loop.create_future())

    async def _serve_requests(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                request_id = head.partition(b"request-id: ")[2].partition(b"\r\n")[0]
                if b"content-length: 1" in head:
                    await reader.readexactly(1)
                self.requests.append(request_id.decode())
                ended = asyncio.create_task(reader.read(1))
                response = self._response(request_id)
                await asyncio.wait([ended, response], return_when="FIRST_COMPLETED")
                if ended.done():
                    self.aborted_requests += 1
                    return
                ended.cancel()
                await asyncio.wait([ended])
                data = response.result().replace(b"@id", request_id)
                writer.write(data.removesuffix(b"@cut"))
                if data.endswith(b"@cut"):
                    return

    def instance(self, name="i-1", **changes):
        """Return an instance that serves all requests of a test at once."""
        return super().instance(name, slots=50, **changes)


class Caller:
    """Pipeline requests on one connection to a gateway."""

    def __init__(self, harness):
        self._harness = harness

    async def __aenter__(self):
        """Open the connection."""
        self.reader, self.writer = await asyncio.open_connection(
            "127.0.0.1", self._harness.port
        )
        return self

    async def __aexit__(self, *error):
        """Close the connection."""
        self.writer.close()

    def send(self, *request_ids, path="/safe/x", headers="", version="1.1"):
        """Send requests at once, each with its id."""
        self.writer.write(
            b"".join(
                f"GET {path} HTTP/{version}\r\nhost: h\r\nrequest-id: {request_id}\r\n"
                f"{headers}\r\n".encode()
                for request_id in request_ids
            )
        )

    async def receive(self):
        """Return the status, the id of the request and the headers of a response."""
        status, fields, _ = await gateway_harness.read_response(self.reader)
        return status, fields.get("request-id"), fields

    async def receive_ids(self, count):
        """Return the ids of requests that were answered with success."""
        responses = [await self.receive() for _ in range(count)]
        return [request_id for status, request_id, _ in responses if status == 200]


async def wait_until(condition):
    async with asyncio.timeout(5.0):
        while not condition():
            await asyncio.sleep(0.005)


def run_scenario(scenario, timeout_ms=5_000.0):
    """Run a scenario of an upstream and a caller with an open connection."""

    async def main():
        upstream = HoldingUpstream()
        async with gateway_harness.GatewayHarness(
            upstream, timeout_ms=timeout_ms
        ) as harness:
            async with Caller(harness) as caller, asyncio.timeout(10.0):
                await scenario(harness.gateway, upstream, caller)
            await wait_until(lambda: not harness.gateway.busy_connections)
            assert harness.gateway.buffers.total_bytes == 0

    asyncio.run(main())


def test_requests_run_at_once_and_are_answered_in_their_order():
    """Requests behind one of 400 ms lost that time."""

    async def scenario(gateway, upstream, caller):
        caller.send("r1", "r2", "r3")
        await wait_until(lambda: len(upstream.requests) == 3)
        held_before = gateway.buffers.total_bytes
        upstream.respond("r3", "r2")
        # Responses that wait for the first one count as held.
        await wait_until(lambda: gateway.buffers.total_bytes > held_before + 8)
        upstream.respond("r1")
        assert await caller.receive_ids(3) == ["r1", "r2", "r3"]

    run_scenario(scenario)


def test_more_requests_than_the_bound_are_all_answered():
    """Bytes of a connection that always has requests in progress were never freed."""
    names = [f"r{index}" for index in range(200)]

    async def scenario(gateway, upstream, caller):
        caller.send(*names)
        limit = response_order.MAX_PIPELINED_REQUESTS
        await wait_until(lambda: len(upstream.requests) == limit)
        await asyncio.sleep(0.02)
        assert len(upstream.requests) == limit
        upstream.respond(*names)
        assert await caller.receive_ids(199) == names[:199]
        caller.send("last")
        upstream.respond("last")
        assert await caller.receive_ids(2) == ["r199", "last"]

    run_scenario(scenario)


def test_unsafe_request_waits_until_those_before_it_are_answered():
    """An unsafe request behind a closing response could run twice."""

    async def scenario(gateway, upstream, caller):
        caller.send("r1")
        caller.send("r2", path="/unsafe/x")
        caller.send("r3")
        await wait_until(lambda: sorted(upstream.requests) == ["r1", "r3"])
        upstream.respond("r3")
        await asyncio.sleep(0.02)
        assert "r2" not in upstream.requests
        upstream.respond("r1")
        assert await caller.receive_ids(1) == ["r1"]
        upstream.respond("r2")
        assert await caller.receive_ids(2) == ["r2", "r3"]

    run_scenario(scenario)


def test_requests_behind_a_closing_response_are_dropped():
    """The caller sends them again, so that an unsafe one must not run before."""

    async def scenario(gateway, upstream, caller):
        caller.send("r1", "r2")
        caller.send("r3", path="/unsafe/x")
        await wait_until(lambda: len(upstream.requests) == 2)
        upstream.respond("r1", response=UNFRAMED)
        assert await caller.receive_ids(1) == ["r1"]
        assert await caller.reader.read() == b""
        await wait_until(lambda: upstream.aborted_requests == 1)
        assert "r3" not in upstream.requests

    run_scenario(scenario)


@pytest.mark.parametrize(
    "last", [{"headers": "connection: close\r\n"}, {"version": "1.0"}]
)
def test_nothing_is_read_behind_the_last_request(last):
    """Bytes behind a request that closes its connection ended those before it."""

    async def scenario(gateway, upstream, caller):
        caller.send("r1")
        caller.send("r2", **last)
        caller.send(*["r3"] * 10_000)
        await wait_until(lambda: len(upstream.requests) == 2)
        upstream.respond("r1", "r2")
        assert await caller.receive_ids(2) == ["r1", "r2"]
        assert await caller.reader.read() == b""
        assert "r3" not in upstream.requests

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET /safe/x HTTP/1.1\r\nhost: h\r\n", 408),
        (b"GET /safe/x HTTP/1.1\r\nhost: h\r\nx: " + b"a" * 3_000, 431),
        (
            b"GET /safe/x HTTP/1.1\r\nhost: h\r\nrequest-id: u\r\n"
            b"connection: upgrade\r\nupgrade: other\r\n\r\n",
            400,
        ),
    ],
)
def test_requests_before_a_refused_one_are_answered_first(data, status):
    """Requests in progress were cut by an error behind them."""

    async def scenario(gateway, upstream, caller):
        caller.send("r1", "r2")
        await wait_until(lambda: len(upstream.requests) == 2)
        caller.writer.write(data)
        await asyncio.sleep(0.6)
        upstream.respond("r2", "r1")
        assert await caller.receive_ids(2) == ["r1", "r2"]
        assert (await caller.receive())[0] == status
        assert await caller.reader.read() == b""
        assert len(upstream.requests) == 2

    run_scenario(scenario)


@pytest.mark.parametrize("count", [3, 100])
def test_disconnecting_caller_cancels_all_its_requests(count):
    """Above the bound nothing is read, and the end of the connection was not seen."""
    running = min(count, response_order.MAX_PIPELINED_REQUESTS)

    async def scenario(gateway, upstream, caller):
        caller.send(*(f"r{index}" for index in range(count)))
        await wait_until(lambda: len(upstream.requests) == running)
        caller.writer.close()
        await wait_until(lambda: upstream.aborted_requests == running)

    run_scenario(scenario)


def test_stopping_vm_answers_all_requests_that_it_has_read():
    """Requests behind the first response of a stopping VM were lost."""

    async def scenario(gateway, upstream, caller):
        caller.send("r1", "r2")
        caller.send("r3", path="/unsafe/x")
        await wait_until(lambda: len(upstream.requests) == 2)
        loop = asyncio.get_running_loop()
        gateway.stop(loop.time() + 4.0, loop.time() + 1.0)
        upstream.respond("r1", "r2", "r3")
        assert await caller.receive_ids(2) == ["r1", "r2"]
        status, request_id, fields = await caller.receive()
        assert (status, request_id, fields["connection"]) == (200, "r3", "close")

    run_scenario(scenario)


def test_each_request_has_its_own_time_limit():
    """Requests behind a silent one were answered too late or not at all."""

    async def scenario(gateway, upstream, caller):
        caller.send("r1", "r2")
        caller.send("r3", path="/unsafe/x")
        upstream.respond("r2")
        statuses = [(await caller.receive())[0] for _ in range(3)]
        # The unsafe request was never forwarded, as its time had passed.
        assert statuses == [504, 200, 503] and "r3" not in upstream.requests

    run_scenario(scenario, timeout_ms=300.0)


def test_interim_response_does_not_interrupt_an_earlier_response():
    """A 100 Continue between two responses belongs to the wrong request."""

    async def scenario(gateway, upstream, caller):
        caller.send("r1")
        caller.writer.write(
            b"POST /unsafe/x HTTP/1.1\r\nhost: h\r\nrequest-id: r2\r\n"
            b"expect: 100-continue\r\ncontent-length: 1\r\n\r\n"
        )
        await wait_until(lambda: upstream.requests == ["r1"])
        upstream.respond("r1", "r2")
        assert await caller.receive_ids(1) == ["r1"]
        interim = await caller.reader.readuntil(b"\r\n\r\n")
        assert interim.startswith(b"HTTP/1.1 100 ")
        caller.writer.write(b"a")
        assert await caller.receive_ids(1) == ["r2"]

    run_scenario(scenario)


def test_request_of_a_caller_that_reads_nothing_is_not_forwarded():
    """Responses of pipelined requests filled the memory while their caller slept."""
    body = b"b" * receiving.MIB
    large = OK_HEAD + b"content-length: %d\r\n\r\n" % len(body) + body
    names = [f"r{index}" for index in range(40)]

    async def scenario(gateway, upstream, caller):
        caller.reader._transport.pause_reading()
        upstream.respond(*names, response=large)
        caller.send(*names)
        held = []
        for _ in range(50):
            await asyncio.sleep(0.01)
            held.append(gateway.buffers.total_bytes)
        assert len(upstream.requests) < len(names)
        assert max(held) <= (response_order.MAX_PIPELINED_REQUESTS + 1) * len(large)

    run_scenario(scenario)


def test_request_without_room_for_its_response_is_refused_in_time():
    """A request that waited for a slow caller was sent after its time."""
    body = b"b" * response_order.MAX_EARLY_BYTES
    large = OK_HEAD + b"content-length: %d\r\n\r\n" % len(body) + body

    async def scenario(gateway, upstream, caller):
        caller.send("r1", "r2")
        upstream.respond("r2", response=large)
        await wait_until(lambda: gateway.buffers.waiting_bytes > len(body))
        caller.send("r3")
        upstream.respond("r3")
        responses = [await caller.receive() for _ in range(3)]
        assert [status for status, _, _ in responses] == [504, 200, 503]
        assert "r3" not in upstream.requests

    run_scenario(scenario, timeout_ms=300.0)


def test_caller_that_closes_its_side_starts_no_further_request():
    """An unsafe request was forwarded while the connection closed, and sent again.

    Small buffers keep the response before it from being sent at once.
    """
    size = 300_000
    large = OK_HEAD + b"content-length: %d\r\n\r\n" % size + b"x" * size
    large = large.replace(b"200 OK", b"404 No")

    async def main():
        upstream = HoldingUpstream()
        harness = gateway_harness.GatewayHarness(upstream, timeout_ms=8_000.0)
        async with harness:
            listener = harness.gateway._server.sockets[0]
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 32_768)
            caller = socket.socket()
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            caller.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.sock_connect(caller, ("127.0.0.1", harness.port))
            paths = {"a": "/safe/x", "b": "/safe/x", "u": "/unsafe/x"}
            requests = [
                f"GET {path} HTTP/1.1\r\nhost: h\r\nrequest-id: {name}\r\n\r\n"
                for name, path in paths.items()
            ]
            await loop.sock_sendall(caller, "".join(requests).encode())
            while len(upstream.requests) < 2:
                await asyncio.sleep(0.01)
            upstream.respond("b", response=large)
            while harness.gateway.buffers.total_bytes < size:
                await asyncio.sleep(0.01)
            upstream.respond("a")
            (connection,) = harness.gateway._connections
            while not connection._responses.is_sending:
                await asyncio.sleep(0.01)
            caller.shutdown(socket.SHUT_WR)
            received = 0
            while data := await loop.sock_recv(caller, 4_096):
                received += len(data)
            assert received > size
            assert sorted(upstream.requests) == ["a", "b"]
            caller.close()

    asyncio.run(asyncio.wait_for(main(), 20.0))

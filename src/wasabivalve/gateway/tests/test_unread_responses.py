"""Test how responses are written to callers that read late, or not at all."""

import asyncio
import socket

from wasabivalve.gateway import (
    caller_connection,
    memory_account,
    response_order,
    unread_responses,
)
from wasabivalve.gateway import upstream_connection as upstream_connections
from wasabivalve.gateway.tests import gateway_harness

BODY = b"x" * 8_000_000
LARGE = (
    b"HTTP/1.1 404 No\r\nrequest-id: @id\r\nproof: p\r\ncontent-length: %d\r\n\r\n"
    % len(BODY)
    + BODY
)
"""A response that is held whole, as only those with success are streamed."""

REQUEST = b"GET /safe/x HTTP/1.1\r\nhost: h\r\nrequest-id: r1\r\n"


async def request_large(harness, headers=b""):
    """Ask for a large response and return the socket, which has read one byte."""
    loop = asyncio.get_running_loop()
    connection = socket.socket()
    connection.setblocking(False)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    await loop.sock_connect(connection, ("127.0.0.1", harness.port))
    await loop.sock_sendall(connection, REQUEST + headers + b"\r\n")
    assert await loop.sock_recv(connection, 1) == b"H"
    return connection


async def read_all(connection):
    """Return what a caller reads until the end, or None if it was reset."""
    loop = asyncio.get_running_loop()
    received = bytearray()
    try:
        while data := await loop.sock_recv(connection, 262_144):
            received += data
    except ConnectionResetError:
        return None
    finally:
        connection.close()
    return bytes(received)


def run_scenario(scenario, idle_timeout_ms=5_000.0, script=None):
    """Run a scenario with an instance of large responses; nothing stays counted."""

    async def play(harness):
        limits = gateway_harness.LIMITS._replace(idle_timeout_ms=idle_timeout_ms)
        harness.gateway.set_desired_state(harness.state._replace(limits=limits))
        await scenario(harness)
        while harness.gateway.buffers.total_bytes:
            await asyncio.sleep(0.01)

    gateway_harness.run_scenario(play, script or [LARGE, LARGE], timeout_ms=5_000.0)


def test_response_is_whole_for_a_caller_that_reads_late_and_closes_its_side():
    """A part that waits in memory must not be lost with the end of the input."""

    async def scenario(harness):
        for headers in (b"", b"connection: close\r\n"):
            connection = await request_large(harness, headers)
            assert harness.gateway.buffers.total_bytes >= len(BODY)
            connection.shutdown(socket.SHUT_WR)
            received = await read_all(connection)
            assert received is not None and received.endswith(b"\r\n\r\n" + BODY)

    run_scenario(scenario)


def test_caller_that_reads_nothing_is_reset_after_the_idle_time():
    """Its response and its connection stayed for ever."""

    async def scenario(harness):
        connection = await request_large(harness)
        while harness.gateway.buffers.total_bytes:
            await asyncio.sleep(0.01)
        assert await read_all(connection) is None

    run_scenario(scenario, idle_timeout_ms=200.0)


def test_unread_response_is_reset_when_the_account_is_full():
    """A part of a response must not look whole to a caller that reads on."""

    async def scenario(harness):
        connection = await request_large(harness)
        harness.gateway.buffers.limit_bytes = 1_000_000
        assert (await harness.send_request(method="POST", body=b"b" * 900))[0] != 200
        assert harness.gateway.buffers.unread_evictions == 1
        assert await read_all(connection) is None

    run_scenario(scenario)


async def read_slowly(connection, byte_count):
    """Read some bytes at about 200 KB/s."""
    loop = asyncio.get_running_loop()
    received = b""
    while len(received) < byte_count:
        data = await loop.sock_recv(connection, min(4_096, byte_count - len(received)))
        if not data:
            break
        received += data
        await asyncio.sleep(0.02)
    return received


async def read_to_the_last(connection, byte_count):
    """Read all of the large response but its last bytes, which nobody waits for yet."""
    loop = asyncio.get_running_loop()
    received = bytearray(b"H")
    while b"\r\n\r\n" not in received:
        received += await loop.sock_recv(connection, 1)
    left_bytes = len(BODY) - byte_count
    while left_bytes:
        left_bytes -= len(await loop.sock_recv(connection, min(left_bytes, 262_144)))


def test_kept_connection_is_not_idle_while_its_response_is_read(monkeypatch):
    """The idle time began when the transport had the response, and closed under it."""
    monkeypatch.setattr(caller_connection, "IDLE_MARGIN_S", 0.0)

    async def scenario(harness):
        loop = asyncio.get_running_loop()
        connection = await request_large(harness)
        await read_to_the_last(connection, 200_000)
        assert await read_slowly(connection, 200_000) == BODY[-200_000:]
        await loop.sock_sendall(connection, REQUEST + b"\r\n")
        assert await loop.sock_recv(connection, 1) == b"H"
        connection.close()

    run_scenario(scenario, idle_timeout_ms=400.0)


def test_request_behind_a_closing_response_does_not_cut_it(monkeypatch):
    """Lingering began when the transport had the response; later bytes reset it."""
    monkeypatch.setattr(caller_connection, "LINGER_S", 0.1)

    async def scenario(harness):
        loop = asyncio.get_running_loop()
        connection = await request_large(harness, b"connection: close\r\n")
        await read_to_the_last(connection, 200_000)
        received = await read_slowly(connection, 100_000)
        await loop.sock_sendall(connection, REQUEST + b"\r\n")
        received += await read_slowly(connection, 200_000)
        assert received == BODY[-200_000:]
        connection.close()

    run_scenario(scenario)


def test_caller_that_closes_its_side_behind_many_requests_gets_what_was_written():
    """The check of a paused connection reset what the transport and kernel held."""

    async def scenario(harness):
        loop = asyncio.get_running_loop()
        connection = await request_large(harness)
        await read_to_the_last(connection, 100_000)
        # The upstream does not answer these, and no more are read.
        count = response_order.MAX_PIPELINED_REQUESTS + 1
        await loop.sock_sendall(connection, (REQUEST + b"\r\n") * count)
        while len(harness.upstreams[0].requests) < 2:
            await asyncio.sleep(0.01)
        connection.shutdown(socket.SHUT_WR)
        while not harness.upstreams[0].aborted_requests:
            await asyncio.sleep(0.01)
        assert await read_all(connection) == BODY[-100_000:]

    run_scenario(scenario, script=[LARGE])


def test_closing_connection_whose_caller_stops_reading_is_given_up(monkeypatch):
    """A caller that lets its last bytes lie must not hold a connection for ever."""
    monkeypatch.setattr(caller_connection, "LINGER_S", 0.1)

    async def scenario(harness):
        connection = await request_large(harness, b"connection: close\r\n")
        await read_to_the_last(connection, 50_000)
        while harness.gateway.busy_connections:
            await asyncio.sleep(0.01)
        connection.close()

    run_scenario(scenario, idle_timeout_ms=300.0)


class SinkTransport(asyncio.Transport):
    """Take all that is written at once."""

    def write(self, data):
        """Drop the data."""

    def get_write_buffer_size(self):
        """Return that everything was sent."""
        return 0

    def is_closing(self):
        """Return that the connection is open."""
        return False


def test_bodies_are_not_held_once_they_are_written():
    """An idle connection to an instance kept the 64 MiB that it had sent last."""

    async def play():
        buffers = memory_account.ReceiveBuffers(1_000_000)
        loop = asyncio.get_running_loop()
        response, request = bytearray(200_000), bytearray(200_000)
        unread = unread_responses.UnreadResponses(loop, buffers, lambda: 1.0)
        unread.start(SinkTransport())
        unread.write(b"head", response)
        connection = upstream_connections.UpstreamConnection(0.0)
        connection.connection_made(SinkTransport())
        connection.exchange(b"head", body=request)
        for body in (response, request):
            # This raises BufferError while a view of the body is held.
            body.append(0)

    asyncio.run(play())


class ReadingTransport:
    """Hold what was written until the caller reads it."""

    def __init__(self):
        self.unread_bytes = 0
        self.is_reset = False

    def write(self, data):
        """Hold bytes."""
        self.unread_bytes += len(data)

    def get_write_buffer_size(self):
        """Return the bytes that were not read."""
        return self.unread_bytes

    def is_closing(self):
        """Return whether the connection was reset."""
        return self.is_reset

    def get_extra_info(self, name):
        """Return None, as there is no socket."""

    def abort(self):
        """Reset the connection."""
        self.is_reset = True


class OneTimer:
    """Run the newest timer by hand."""

    def call_later(self, delay_s, action, *arguments):
        """Hold a timer."""
        self.run = lambda: action(*arguments)
        return self


def test_caller_that_reads_is_not_reset_for_what_was_just_written():
    """Callers that kept their connection were reset for bytes of the last moment."""
    timer, transport = OneTimer(), ReadingTransport()
    buffers = memory_account.ReceiveBuffers(1_000_000)
    unread = unread_responses.UnreadResponses(timer, buffers, lambda: 15.0)
    unread.start(transport)
    for _ in range(3):
        unread.write(b"h", b"x" * 5_000)
        transport.unread_bytes = 0
    unread.write(b"h", b"x" * 60_000)
    timer.run()
    assert not transport.is_reset
    # Nothing is read from now on.
    timer.run()
    assert transport.is_reset

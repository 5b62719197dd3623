"""Test large responses that are passed on while they are read, over loopback."""

import asyncio
import contextlib

import pytest

from wasabivalve.gateway import receiving, response_stream
from wasabivalve.gateway.tests import gateway_harness

HEAD = b"HTTP/1.1 200 OK\r\nrequest-id: @id\r\nproof: p\r\n"
SIZE = 4 * receiving.MIB
PIECE = b"b" * 16_384
LENGTH = b"content-length: %d\r\n\r\n" % SIZE
CHUNKED = b"transfer-encoding: chunked\r\n\r\n"


class SlowUpstream(gateway_harness.ScriptedUpstream):
    """Send responses in pieces; hold each back after some bytes until told to go on.

    ``script`` has one head for each request. After ``cut_after`` bytes of a body, the
    connection is closed.
    """

    def __init__(self, script, held_after=SIZE, cut_after=None, size=SIZE):
        super().__init__(script)
        self.sent_bytes = 0
        self.goes_on = asyncio.Event()
        self._held_after = held_after
        self._cut = cut_after is not None
        self._size = cut_after if self._cut else size

    async def _serve_requests(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                request_head = await reader.readuntil(b"\r\n\r\n")
                self.requests.append(request_head)
                request_id = request_head.partition(b"request-id: ")[2]
                head = self.script.pop(0)
                writer.write(head.replace(b"@id", request_id.partition(b"\r\n")[0]))
                await self._send_body(writer, head.endswith(CHUNKED))
                if self._cut:
                    return

    async def _send_body(self, writer, chunked):
        sent_bytes = 0
        while sent_bytes < self._size:
            if sent_bytes >= self._held_after:
                await self.goes_on.wait()
            frame = b"%x\r\n%b\r\n" % (len(PIECE), PIECE)
            writer.write(frame if chunked else PIECE)
            await writer.drain()
            sent_bytes += len(PIECE)
            self.sent_bytes = max(sent_bytes, self.sent_bytes)
        if chunked and not self._cut:
            writer.write(b"0\r\n\r\n")


def run_scenario(scenario, *upstreams, **options):
    async def main():
        async with gateway_harness.GatewayHarness(
            *upstreams, **{"timeout_ms": 5_000.0} | options
        ) as harness:
            reader, writer = await asyncio.open_connection("127.0.0.1", harness.port)
            async with asyncio.timeout(10.0):
                await scenario(harness, reader, writer)
                writer.close()
                while harness.gateway.busy_connections:
                    await asyncio.sleep(0.01)
            # Nothing is counted any more, neither bytes nor requests at instances.
            assert harness.gateway.buffers.total_bytes == 0
            assert harness.gateway.selector.in_flight_by_instance() == {}

    asyncio.run(main())


def request(path="/safe/x", request_id="r1", version="1.1"):
    return (
        f"GET {path} HTTP/{version}\r\nhost: h\r\nrequest-id: {request_id}\r\n\r\n"
    ).encode()


async def read_body(reader, fields):
    """Return the bytes of a body."""
    if "content-length" in fields:
        return await reader.readexactly(int(fields["content-length"]))
    body = b""
    while size := int(await reader.readuntil(b"\r\n"), 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readexactly(2)
    return body


async def read_head(reader):
    lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    fields = dict(line.split(": ", 1) for line in lines[1:] if line)
    return int(lines[0].split()[1]), fields


@pytest.mark.parametrize("framing", [LENGTH, CHUNKED])
def test_large_response_is_passed_on_before_its_end(framing):
    """A caller got the first byte only after the last one had arrived."""
    upstream = SlowUpstream([HEAD + framing] * 2, held_after=SIZE // 2)

    async def scenario(harness, reader, writer):
        writer.write(request() + request(request_id="r2"))
        status, fields = await read_head(reader)
        assert (status, fields["proof"]) == (200, "p")
        # Responses behind it wait until it is whole.
        assert upstream.sent_bytes <= SIZE // 2
        upstream.goes_on.set()
        assert await read_body(reader, fields) == b"b" * SIZE
        status, fields = await read_head(reader)
        assert (status, fields["request-id"]) == (200, "r2")
        assert await read_body(reader, fields) == b"b" * SIZE

    run_scenario(scenario, upstream)


@pytest.mark.parametrize("framing", [LENGTH, CHUNKED])
def test_response_that_breaks_off_resets_the_connection(framing):
    """A truncated response must not look complete."""
    upstream = SlowUpstream([HEAD + framing], cut_after=SIZE // 2)

    async def scenario(harness, reader, writer):
        writer.write(request())
        assert (await read_head(reader))[0] == 200
        with pytest.raises(ConnectionResetError):
            await reader.read(-1)
        assert len(upstream.requests) == 1

    run_scenario(scenario, upstream)


def test_response_that_breaks_off_early_is_retried():
    """Nothing was passed on yet, so that the caller need not see the failure."""
    cut_after = response_stream.STREAM_FROM_BYTES // 2
    upstreams = [SlowUpstream([HEAD + LENGTH], cut_after=cut_after) for _ in range(2)]

    async def scenario(harness, reader, writer):
        writer.write(request())
        assert (await read_head(reader))[0] == 502
        assert [len(upstream.requests) for upstream in upstreams] == [1, 1]

    run_scenario(scenario, *upstreams)


@pytest.mark.parametrize(
    ("head", "version"),
    [
        (HEAD.replace(b"@id", b"other") + LENGTH, "1.1"),
        (HEAD.replace(b"proof: p\r\n", b"") + LENGTH, "1.1"),
        (HEAD + b"content-encoding: gzip\r\n" + LENGTH, "1.1"),
        (HEAD.replace(b"200 OK", b"500 No") + LENGTH, "1.1"),
        (HEAD + CHUNKED, "1.0"),
    ],
)
def test_response_that_may_be_wrong_is_not_begun(head, version):
    """The first byte of another request's response must not reach a caller."""
    upstream = SlowUpstream([head], held_after=SIZE // 2)

    async def scenario(harness, reader, writer):
        writer.write(request("/unsafe/x", version=version))
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.3):
                await reader.read(1)
        assert upstream.sent_bytes == SIZE // 2

    run_scenario(scenario, upstream)


def test_slow_caller_pauses_reading_from_the_instance():
    """Responses that callers did not read filled the memory."""
    size = 6 * SIZE
    head = HEAD + b"content-length: %d\r\n\r\n" % size
    upstream = SlowUpstream([head], held_after=size, size=size)

    async def scenario(harness, reader, writer):
        writer.write(request())
        assert (await read_head(reader))[0] == 200
        writer.transport.pause_reading()
        held = []
        for _ in range(50):
            await asyncio.sleep(0.01)
            held.append(harness.gateway.buffers.total_bytes)
        limit = response_stream.STREAM_FROM_BYTES + response_stream.MAX_UNREAD_BYTES
        assert max(held) < limit + 64 * receiving.KIB
        assert upstream.sent_bytes < size

    run_scenario(scenario, upstream)


def test_disconnecting_caller_ends_the_work_at_the_instance():
    """An instance kept a slot for a response that nobody read."""
    upstream = SlowUpstream([HEAD + LENGTH], held_after=SIZE // 2)

    async def scenario(harness, reader, writer):
        writer.write(request())
        await read_head(reader)
        writer.close()
        while harness.gateway.selector.in_flight_by_instance():
            await asyncio.sleep(0.01)

    run_scenario(scenario, upstream)


@pytest.mark.parametrize("framing", [LENGTH, CHUNKED])
def test_caller_that_closes_its_side_gets_the_whole_response(framing):
    """The end of the input must not cut a response that is being passed on."""
    upstream = SlowUpstream([HEAD + framing], held_after=SIZE // 2)

    async def scenario(harness, reader, writer):
        writer.write(request())
        _, fields = await read_head(reader)
        writer.write_eof()
        await asyncio.sleep(0.05)
        upstream.goes_on.set()
        assert await read_body(reader, fields) == b"b" * SIZE
        assert await reader.read() == b""

    run_scenario(scenario, upstream)


def test_response_that_stalls_is_ended_at_the_deadline():
    """A stalled instance must not hold a connection beyond the route's time limit."""
    upstream = SlowUpstream([HEAD + LENGTH], held_after=SIZE // 2)

    async def scenario(harness, reader, writer):
        writer.write(request())
        assert (await read_head(reader))[0] == 200
        with pytest.raises(ConnectionResetError):
            await reader.read(-1)

    run_scenario(scenario, upstream, timeout_ms=400.0)


def test_no_response_is_begun_while_memory_is_short():
    """A response that stalls for lack of memory is given up by its instance."""
    upstream = SlowUpstream([HEAD + LENGTH])

    async def scenario(harness, reader, writer):
        buffers = harness.gateway.buffers
        stream = response_stream.ResponseStream(None, buffers, None, None)
        buffers.add_waiting(stream, buffers.limit_bytes)
        writer.write(request())
        status, fields = await read_head(reader)
        assert status == 503 and float(fields["retry-after"]) > 0.0
        assert not upstream.requests
        buffers.release(stream)

    run_scenario(scenario, upstream)

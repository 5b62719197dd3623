"""Test that an upstream that sends garbage harms no caller and no other request."""

import asyncio
import contextlib
import tracemalloc

import hypothesis
import pytest
from hypothesis import strategies

from wasabivalve.gateway import caller_connection, messages, read_pace, receiving
from wasabivalve.gateway import upstream_connection as upstream_connections
from wasabivalve.gateway.tests import gateway_harness

SENT_WITHOUT_END_BYTES = 48 * receiving.MIB
"""Bytes after which the server of a test gives up; far above all limits."""

PIECE_BYTES = 65_536

STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
ENDLESS_BY_NAME = {
    "header lines": (STATUS_LINE, b"x-field: value\r\n" * 4_000),
    "one header line": (STATUS_LINE + b"x-field: ", b"v" * PIECE_BYTES),
    "status line": (b"HTTP/1.1 200 ", b"O" * PIECE_BYTES),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2_500),
    "interim headers": (b"", b"HTTP/1.1 103 Hints\r\nlink: a\r\n\r\n" * 2_000),
    "chunk extensions": (
        STATUS_LINE + b"transfer-encoding: chunked\r\n\r\n1;x=",
        b"e" * PIECE_BYTES,
    ),
    "trailers": (
        STATUS_LINE + b"transfer-encoding: chunked\r\n\r\n1\r\na\r\n0\r\n",
        b"x-field: value\r\n" * 4_000,
    ),
    "body": (STATUS_LINE + b"\r\n", b"b" * PIECE_BYTES),
    "other responses": (
        b"",
        (STATUS_LINE + b"request-id: other\r\ncontent-length: 0\r\n\r\n") * 1_200,
    ),
}


class EndlessUpstream(gateway_harness.ScriptedUpstream):
    """Respond to every request with bytes that do not end."""

    def __init__(self, name):
        super().__init__([])
        self.sent_bytes = 0
        self._first, self._piece = ENDLESS_BY_NAME[name]

    async def _serve_requests(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            self.requests.append(await reader.readuntil(b"\r\n\r\n"))
            writer.write(self._first)
            while self.sent_bytes < SENT_WITHOUT_END_BYTES:
                writer.write(self._piece)
                await writer.drain()
                self.sent_bytes += len(self._piece)


@pytest.mark.parametrize("name", ENDLESS_BY_NAME)
def test_response_without_end_is_given_up(name):
    """One faulty instance used up the memory or the processor of its VM."""

    async def scenario():
        upstream = EndlessUpstream(name)
        async with gateway_harness.GatewayHarness(
            upstream, timeout_ms=8_000.0
        ) as harness:
            harness.gateway.buffers.limit_bytes = 4 * receiving.MIB
            status, _, _ = await harness.send_request("/unsafe/x", "POST", b"a")
            assert status == 502
            assert len(upstream.requests) == 1
            assert upstream.sent_bytes < SENT_WITHOUT_END_BYTES
            assert harness.gateway.buffers.total_bytes == 0

    asyncio.run(asyncio.wait_for(scenario(), 20.0))


def test_many_responses_without_end_fit_into_the_memory_of_a_vm():
    """Each response was bounded, but fifty of them together were not."""

    async def scenario():
        upstreams = [EndlessUpstream("body") for _ in range(50)]
        async with gateway_harness.GatewayHarness(
            *upstreams, max_attempts=1, timeout_ms=4_000.0
        ) as harness:
            harness.gateway.buffers.limit_bytes = 16 * receiving.MIB
            tracemalloc.start()
            try:
                responses = await asyncio.gather(
                    *(
                        harness.send_request("/unsafe/x", "POST", b"a")
                        for _ in range(50)
                    )
                )
                _, peak_bytes = tracemalloc.get_traced_memory()
            finally:
                tracemalloc.stop()
            assert {status for status, _, _ in responses} <= {502, 503, 504}
            assert peak_bytes < 60 * receiving.MIB

    asyncio.run(asyncio.wait_for(scenario(), 60.0))


def test_large_message_is_given_up_before_small_ones():
    """A response without end must not end those of other requests."""
    given_up = []

    class Message:
        def __init__(self, name):
            self.name = name

        def on_evicted(self):
            given_up.append(self.name)

    buffers = receiving.ReceiveBuffers(100)
    small, large, complete = Message("small"), Message("large"), Message("complete")
    buffers.add(complete, 90)
    buffers.keep_complete(complete)
    buffers.add(small, 4)
    buffers.add(large, 6)
    buffers.add(small, 1)
    assert given_up == ["large"] and buffers.total_bytes == 95
    for message in (small, complete):
        buffers.release(message)
    assert buffers.total_bytes == 0


def test_caller_body_beyond_the_buffers_is_refused():
    """Bodies of many callers at once used up the memory of a VM."""

    async def scenario(harness):
        # An ordinary request and its response take 950 bytes with their fields.
        harness.gateway.buffers.limit_bytes = 1_000
        status, fields, _ = await harness.send_request("/safe/x", "POST", b"a" * 999)
        assert status == 503 and float(fields["retry-after"]) > 0.0
        assert not harness.upstreams[0].requests
        assert (await harness.send_request())[0] == 200

    gateway_harness.run_scenario(scenario, [gateway_harness.OK])


def test_caller_that_reads_nothing_gets_no_further_responses():
    """Responses of pipelined requests filled the memory while their caller slept."""
    body = b"b" * 4_000_000
    response = b"".join(
        (
            b"HTTP/1.1 200 OK\r\nrequest-id: @id\r\nproof: p\r\n",
            b"content-length: %d\r\n\r\n" % len(body),
            body,
        )
    )

    async def scenario(harness):
        _, writer = await asyncio.open_connection(
            "127.0.0.1", harness.port, limit=1_000
        )
        request = b"GET /safe/x HTTP/1.1\r\nhost: h\r\nrequest-id: r1\r\n\r\n"
        writer.write(request * 8)
        await asyncio.sleep(1.0)
        assert len(harness.upstreams[0].requests) < 8
        writer.close()

    gateway_harness.run_scenario(scenario, [response] * 8, timeout_ms=5_000.0)


WITHOUT_ID = gateway_harness.NOT_RUN.replace(b"request-id: @id\r\n", b"")
LATE = gateway_harness.LATE_PREFIX


@pytest.mark.parametrize("copy", [WITHOUT_ID, WITHOUT_ID.replace(b"503", b"421")])
def test_repeated_refusal_without_id_is_not_believed(copy):
    """A request that was running was said not to have run, or ran a second time."""

    async def scenario(harness):
        # The first request leaves a connection behind that the second one uses.
        assert (await harness.send_request("/unsafe/x", "POST", b"a"))[0] == 200
        status, _, body = await harness.send_request("/unsafe/x", "POST", b"b")
        assert (status, body) == (200, b"done")
        assert sum(len(upstream.requests) for upstream in harness.upstreams) == 2
        assert harness.upstreams[0].connections == 1

    script = [gateway_harness.OK, copy + gateway_harness.OK]
    gateway_harness.run_scenario(scenario, script)


def test_refusal_without_id_on_a_new_connection_proves_nothing():
    """A refusal that names no request must not cause a second run."""

    async def scenario(harness):
        status, _, _ = await harness.send_request("/unsafe/x", "POST", b"a")
        assert status == 502
        assert sum(len(upstream.requests) for upstream in harness.upstreams) == 1

    script = [WITHOUT_ID, gateway_harness.OK]
    gateway_harness.run_scenario(scenario, script, script)


def test_refusal_with_two_ids_proves_nothing():
    """Contradictory ids must not be taken for the right one."""
    two_ids = gateway_harness.NOT_RUN.replace(
        b"request-id: @id\r\n", b"request-id: @id\r\nrequest-id: other\r\n"
    )

    async def scenario(harness):
        status, _, _ = await harness.send_request("/unsafe/x", "POST", b"a")
        assert status in (502, 504)
        assert sum(len(upstream.requests) for upstream in harness.upstreams) == 1

    gateway_harness.run_scenario(scenario, [two_ids], [two_ids])


def test_request_is_not_sent_again_over_the_connection_that_refused_it():
    """A second copy of the refusal has the right id and denied the second attempt."""

    async def scenario(harness):
        # Only the holder of its key may run the request, so it is asked twice.
        status, _, body = await harness.send_request(
            "/unsafe/x", "POST", b"a", "key: 1\r\n"
        )
        assert (status, body) == (200, b"done")
        assert harness.upstreams[0].connections == 2

    misdirected = gateway_harness.NOT_RUN.replace(b"503", b"421")
    gateway_harness.run_scenario(
        scenario,
        [misdirected, gateway_harness.OK],
        partitioned=True,
        timeout_ms=2_000.0,
    )


def test_late_second_copy_of_an_answer_reaches_no_other_caller():
    """The next caller on the connection got an answer that was not its own."""
    first = gateway_harness.OK.replace(b"@id", b"r0").replace(b"done", b"oops")

    async def scenario(harness):
        assert (await harness.send_request())[2] == b"done"
        status, _, body = await harness.send_request()
        assert (status, body) == (200, b"done")

    gateway_harness.run_scenario(
        scenario, [gateway_harness.OK, first + gateway_harness.OK]
    )


@pytest.mark.parametrize("status", [b"200", b"503", b"421", b"500"])
def test_late_second_copy_without_id_reaches_no_other_caller(status):
    """An answer that names no request could belong to the one before."""
    copy = (
        gateway_harness.OK.replace(b"request-id: @id\r\n", b"")
        .replace(b"done", b"oops")
        .replace(b"200", status)
    )

    async def scenario(harness):
        assert (await harness.send_request("/unsafe/x", "POST", b"a"))[2] == b"done"
        answer = await harness.send_request("/unsafe/x", "POST", b"b")
        assert (answer[0], answer[2]) == (200, b"done")

    gateway_harness.run_scenario(
        scenario, [gateway_harness.OK, copy + gateway_harness.OK]
    )


REQUEST_IDS = (b"r-1", b"r-2", b"r-3")
PARTS = strategies.sampled_from(
    (
        b"HTTP/1.1 200 OK\r\nrequest-id: @id\r\ncontent-length: 2\r\n\r\n@2",
        b"HTTP/1.1 200 OK\r\nrequest-id: @id\r\ntransfer-encoding: chunked\r\n\r\n"
        b"1\r\n@\r\n1\r\n2\r\n0\r\n\r\n",
        b"HTTP/1.1 503 Busy\r\nrequest-id: @id\r\nnot-run: 1\r\n"
        b"content-length: 0\r\n\r\n",
        b"HTTP/1.1 503 Busy\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nrequest-id: other\r\ncontent-length: 2\r\n\r\nno",
        b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nno",
        b"HTTP/1.1 200 OK\r\nrequest-id: @id\r\ncontent-length: 9\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\nrequest-id: @id\r\n\r\nunframed",
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"garbage",
        b"\r\n",
    )
)


class FakeTransport(asyncio.Transport):
    """Accept what is written and record the end of the connection."""

    def __init__(self):
        super().__init__()
        self.closed = False

    def write(self, data):
        """Drop the data."""

    def get_write_buffer_size(self):
        """Return that everything was sent."""
        return 0

    def abort(self):
        """Record the end."""
        self.closed = True

    close = abort


class PausableTransport(FakeTransport):
    """Record whether the connection is read."""

    is_read = True

    def pause_reading(self):
        """Record that nothing is read."""
        self.is_read = False

    def resume_reading(self):
        """Record that the connection is read."""
        self.is_read = True


def test_tiny_chunks_of_an_instance_are_read_at_a_pace():
    """Parsing them took all turns of the event loop; sound requests timed out."""

    async def play():
        buffers = receiving.ReceiveBuffers(receiving.MIB)
        connection = upstream_connections.UpstreamConnection(
            0.0, receiving.DEFAULT_LIMITS, buffers
        )
        transport = PausableTransport()
        connection.connection_made(transport)
        connection.exchange(b"x")
        connection.data_received(
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
        )
        connection.data_received(b"1000\r\n" + b"b" * 4_096 + b"\r\n")
        assert transport.is_read
        connection.data_received(b"2\r\nbb\r\n" * 2_000)
        assert not transport.is_read
        # A caller that has read must not end the pause, nor its end one for the caller.
        connection._resume_stream()
        assert not transport.is_read
        connection._pause_stream()
        await asyncio.sleep(10 * 2_000 * read_pace.SECONDS_PER_PIECE)
        assert not transport.is_read
        connection._resume_stream()
        assert transport.is_read

    asyncio.run(play())


@hypothesis.given(
    sent_by_request=strategies.lists(
        strategies.lists(PARTS, max_size=4), min_size=1, max_size=3
    ),
    cuts=strategies.lists(strategies.integers(1, 40), min_size=1, max_size=6),
    ends=strategies.booleans(),
)
def test_no_bytes_of_a_server_are_taken_for_another_answer(sent_by_request, cuts, ends):
    """Any mix of answers, copies and garbage must deliver only a request's own answer.

    The response to request n has the body n2; each request is sent once.
    """

    async def play():
        buffers = receiving.ReceiveBuffers(receiving.MIB)
        connection = upstream_connections.UpstreamConnection(
            0.0, receiving.DEFAULT_LIMITS, buffers
        )
        transport = FakeTransport()
        connection.connection_made(transport)
        outcomes = []
        for index, parts in enumerate(sent_by_request):
            if not connection.usable:
                break
            request_id = REQUEST_IDS[index]
            exchange = connection.exchange(b"x", (b"request-id", request_id))
            data = b"".join(parts).replace(b"@id", request_id)
            data = data.replace(b"@", b"%d" % index)
            position, cut_index = 0, 0
            while position < len(data) and not transport.closed:
                step = cuts[cut_index % len(cuts)]
                cut_index += 1
                connection.data_received(data[position : position + step])
                position += step
            if ends and not transport.closed:
                connection.eof_received()
                connection.connection_lost(None)
            if exchange.done():
                outcomes.append((index, exchange.result()))
                connection.end_exchange(0.0)
            else:
                connection.abort()
            assert buffers.total_bytes == 0
        return outcomes

    for index, outcome in asyncio.run(play()):
        if not isinstance(outcome, messages.HttpResponse):
            continue
        assert outcome.header(b"request-id") == REQUEST_IDS[index]
        if outcome.status == 200 and not outcome.close_delimited:
            assert outcome.body == b"%d2" % index


def test_default_limits_of_callers_hold_before_any_desired_state():
    """A body of any size could be sent before the first desired state was read."""
    limits = caller_connection.DEFAULT_LIMITS
    assert limits.body_bytes <= 64 * receiving.MIB


HEAD_START = b"HTTP/1.1 200 OK\r\nrequest-id: @id\r\nproof: p\r\n"


@pytest.mark.parametrize(
    "head",
    [
        b"HTTP/1.1 200 OK",
        b"HTTP/1.1 200 OK\r\n",
        HEAD_START,
        HEAD_START + b"content-length: 1",
        HEAD_START + b"content-length: 4\r\n",
        HEAD_START + b"content-length: 4\r\n\r",
        b"HTTP/1.1 100 Continue\r\n\r\n" + HEAD_START,
    ],
)
@pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x"])
def test_answer_that_ends_in_its_head_is_not_passed_on(head, path):
    """An answer cut in its head has no framing and would look whole without a body."""

    async def scenario(harness):
        status, _, _ = await harness.send_request(path)
        assert status in (502, 504)

    gateway_harness.run_scenario(scenario, [head + b"@cut"], max_attempts=1)

"""Test which connections make room for others."""

import asyncio
import contextlib

from wasabivalve.gateway import connection_limit
from wasabivalve.gateway.tests import gateway_harness

RECEIVING = connection_limit.Activity(True, False, 0.0)
IDLE = connection_limit.Activity(False, True, 0.0)
BUSY = connection_limit.Activity(False, False, 0.0)


def choose(rows, limit=20.0, now=10.0):
    return connection_limit.choose_closed(rows, now, limit)


def test_callers_that_stopped_sending_go_first():
    """They kept all descriptors for the idle time; nobody else got an answer."""
    rows = [
        ("busy", BUSY),
        ("idle", IDLE),
        ("sending", RECEIVING._replace(read_at=9.9)),
        ("stopped", RECEIVING._replace(read_at=8.0)),
        ("stopped longest", RECEIVING._replace(read_at=7.0)),
    ]
    assert choose(rows) == ["stopped longest"]
    assert choose(rows, limit=60.0) == ["stopped longest", "stopped", "idle"]
    # Requests in progress and those that arrive are never given up.
    assert choose(rows, limit=1_000.0) == ["stopped longest", "stopped", "idle"]
    assert choose(rows[:1] + rows[2:3]) == []


def test_stopped_callers_leave_room_for_others():
    """A VM that was ready accepted nothing for ten seconds (RECOVER)."""

    async def scenario(harness):
        harness.gateway._max_connections = 10
        writers = []
        for _ in range(10):
            _, writer = await asyncio.open_connection("127.0.0.1", harness.port)
            writer.write(
                b"POST /unsafe/x HTTP/1.1\r\nhost: h\r\ncontent-length: 9\r\n\r\n"
            )
            writers.append(writer)
        await asyncio.sleep(connection_limit.MIN_STALL_S + 0.2)
        for _ in range(3):
            assert (await harness.send_request())[0] == 200
        assert len(harness.gateway._connections) <= 10
        for writer in writers:
            writer.close()

    gateway_harness.run_scenario(scenario, [gateway_harness.OK] * 3)


def test_requests_in_progress_keep_their_connection():
    """A connection that has begun to send its next request is not a stopped one."""

    async def scenario(harness):
        reader, writer = await asyncio.open_connection("127.0.0.1", harness.port)
        head = b"GET /safe/x HTTP/1.1\r\nhost: h\r\nrequest-id: r1\r\n"
        writer.write(head + b"\r\n" + head)
        while not harness.upstreams[0].requests:
            await asyncio.sleep(0.01)
        harness.gateway._max_connections = 1
        await asyncio.sleep(connection_limit.MIN_STALL_S + 0.1)
        other, other_writer = await asyncio.open_connection("127.0.0.1", harness.port)
        with contextlib.suppress(ConnectionResetError):
            assert await other.read() == b""
        assert (await gateway_harness.read_response(reader))[0] == 200
        for each_writer in (writer, other_writer):
            each_writer.close()

    gateway_harness.run_scenario(
        scenario, [gateway_harness.LATE_PREFIX + gateway_harness.OK], timeout_ms=3_000.0
    )

"""Test what callers receive and what reaches instances, over loopback connections."""

import asyncio

import pytest

from wasabivalve.gateway import caller_connection, read_pace
from wasabivalve.gateway.tests import gateway_harness
from wasabivalve.key_leases import view
from wasabivalve.placement import wait_queue


def test_request_and_response_are_forwarded_unchanged():
    """A changed path, body or origin proof would make the response useless."""

    async def scenario(harness):
        status, fields, body = await harness.send_request(
            "/unsafe/x?q=1", "POST", b"abc", "x-own: 1\r\ntime-left: 300\r\n"
        )
        assert (status, body, fields["proof"]) == (200, b"done", "p")
        request_head, sent_body = harness.upstreams[0].requests[0]
        assert request_head.startswith(b"POST /unsafe/x?q=1 HTTP/1.1\r\n")
        assert (
            b"x-own: 1" in request_head
            and b"expected: i-0" in request_head
            and sent_body == b"abc"
        )
        time_left = [
            line
            for line in request_head.split(b"\r\n")
            if line.startswith(b"time-left")
        ]
        assert len(time_left) == 1 and 200 < int(time_left[0].split(b":")[1]) <= 300

    gateway_harness.run_scenario(scenario, [gateway_harness.OK])


def test_chunked_request_is_forwarded_whole():
    """An instance would wait forever for the end of a truncated chunked body."""

    async def scenario(harness):
        reader, writer = await asyncio.open_connection("127.0.0.1", harness.port)
        writer.write(
            b"POST /unsafe/x HTTP/1.1\r\nhost: h\r\nrequest-id: r1\r\n"
            b"transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        )
        status, _, _ = await gateway_harness.read_response(reader)
        assert status == 200
        assert harness.upstreams[0].requests[0][1] == b"abcde"
        writer.close()

    gateway_harness.run_scenario(scenario, [gateway_harness.OK])


@pytest.mark.parametrize(
    "scripted_response",
    [gateway_harness.OK[:-2] + b"@cut", b"nonsense\r\n\r\n@cut", b"@cut"],
)
def test_unsafe_request_is_not_retried_after_a_broken_response(scripted_response):
    """Running a request twice that is not idempotent could charge somebody twice."""

    async def scenario(harness):
        status, fields, _ = await harness.send_request("/unsafe/x", "POST", b"a")
        assert status == 502 and "proof" not in fields
        assert sum(len(upstream.requests) for upstream in harness.upstreams) == 1

    gateway_harness.run_scenario(scenario, [scripted_response], [scripted_response])


def test_safe_request_is_retried_at_another_instance():
    """An idempotent request must not fail because of one broken response."""

    async def scenario(harness):
        status, _, body = await harness.send_request()
        assert (status, body) == (200, b"done")
        assert [len(upstream.requests) for upstream in harness.upstreams] == [1, 1]

    # The instance that gets the first attempt closes the connection.
    script = [b"@cut", gateway_harness.OK]
    gateway_harness.run_scenario(scenario, script, script)


def test_unsafe_request_is_retried_after_proof_that_it_did_not_run():
    """A request that one instance refuses must be sent to another one."""

    async def scenario(harness):
        status, _, _ = await harness.send_request("/unsafe/x", "POST", b"a")
        assert status == 200
        assert [len(upstream.requests) for upstream in harness.upstreams] == [1, 1]

    script = [gateway_harness.NOT_RUN, gateway_harness.OK]
    gateway_harness.run_scenario(scenario, script, script)


def test_refused_request_gets_503_with_retry_after():
    """A 503 means that the request has not run; callers need the time to retry at."""

    async def scenario(harness):
        status, fields, _ = await harness.send_request("/unsafe/x", "POST", b"a")
        assert status == 503 and float(fields["retry-after"]) > 0.0

    gateway_harness.run_scenario(
        scenario, [gateway_harness.NOT_RUN] * 9, [gateway_harness.NOT_RUN] * 9
    )


def test_error_of_an_instance_is_forwarded_with_its_origin_proof():
    """Replacing an instance's error would hide that the request has run."""

    async def scenario(harness):
        status, fields, body = await harness.send_request("/unsafe/x", "POST", b"a")
        assert (status, fields["proof"], body) == (500, "p", b"x")

    gateway_harness.run_scenario(scenario, [gateway_harness.FAILED])


def test_response_to_another_request_is_skipped():
    """A late response on a pooled connection must not reach the next caller."""
    unrelated = gateway_harness.OK.replace(b"@id", b"r0").replace(b"done", b"oops")

    async def scenario(harness):
        status, _, body = await harness.send_request()
        assert (status, body) == (200, b"done")

    gateway_harness.run_scenario(scenario, [unrelated + gateway_harness.OK])


def test_bytes_after_a_response_are_discarded():
    """Extra bytes on a pooled connection must not become the next response."""

    async def scenario(harness):
        assert (await harness.send_request())[2] == b"done"
        await asyncio.sleep(0.05)
        assert (await harness.send_request())[2] == b"done"
        assert harness.upstreams[0].connections == 2

    gateway_harness.run_scenario(
        scenario,
        [
            gateway_harness.OK + gateway_harness.OK.replace(b"done", b"oops"),
            gateway_harness.OK,
        ],
    )


def test_success_without_origin_proof_is_rejected():
    """A response with status 200 that no instance produced must not reach a caller."""

    async def scenario(harness):
        status, _, _ = await harness.send_request("/unsafe/x", "POST", b"a")
        assert status == 502

    gateway_harness.run_scenario(
        scenario, [gateway_harness.OK.replace(b"proof: p\r\n", b"")]
    )


def test_close_delimited_response_gets_no_length():
    """An added length would make a truncated response look complete."""
    scripted_response = (
        b"HTTP/1.1 200 OK\r\nrequest-id: @id\r\nproof: p\r\n\r\npart@cut"
    )

    async def scenario(harness):
        _, fields, body = await harness.send_request()
        assert "content-length" not in fields and fields["connection"] == "close"
        assert body == b"part"

    gateway_harness.run_scenario(scenario, [scripted_response])


def test_attempt_is_aborted_when_its_caller_disconnects():
    """A request without a caller occupies a slot that a waiting one needs."""

    async def scenario(harness):
        _, writer = await asyncio.open_connection("127.0.0.1", harness.port)
        writer.write(b"GET /safe/x HTTP/1.1\r\nhost: h\r\nrequest-id: r1\r\n\r\n")
        while not harness.upstreams[0].requests:
            await asyncio.sleep(0.01)
        writer.close()
        for _ in range(50):
            if harness.upstreams[0].aborted_requests:
                return
            await asyncio.sleep(0.01)
        raise AssertionError("the instance still processes the request")

    gateway_harness.run_scenario(scenario, [b"hang"], timeout_ms=5_000.0)


def test_response_arrives_by_the_timeout_of_the_route():
    """A silent instance must not delay the response beyond the route's timeout."""

    async def scenario(harness):
        started_at = asyncio.get_running_loop().time()
        status, _, _ = await harness.send_request("/unsafe/x", "POST", b"a")
        elapsed_s = asyncio.get_running_loop().time() - started_at
        assert status == 504 and 0.35 < elapsed_s < 0.4 + 0.25

    gateway_harness.run_scenario(scenario, [b"hang"])


def test_second_attempt_starts_when_an_instance_stays_silent():
    """A full instance that never responds must not use up the whole timeout."""

    async def scenario(harness):
        status, _, _ = await harness.send_request()
        assert status == 200
        assert [len(upstream.requests) for upstream in harness.upstreams] == [1, 1]

    script = [b"hang", gateway_harness.OK]
    gateway_harness.run_scenario(scenario, script, script, timeout_ms=2_000.0)


def test_attempt_at_a_silent_instance_continues_during_the_second_one():
    """Cancelling the first attempt lost the response if no other instance responded."""

    async def scenario(harness):
        status, _, body = await harness.send_request()
        assert (status, body) == (200, b"done")
        assert [len(upstream.requests) for upstream in harness.upstreams] == [1, 1]

    gateway_harness.run_scenario(
        scenario,
        [gateway_harness.LATE_PREFIX + gateway_harness.OK],
        [gateway_harness.LATE_PREFIX + gateway_harness.OK],
        timeout_ms=2_000.0,
    )


def test_late_response_is_delivered_when_there_is_no_other_instance():
    """A silent instance may still be processing the only attempt of a request."""

    async def scenario(harness):
        assert (await harness.send_request())[0] == 200
        assert harness.upstreams[0].aborted_requests == 0

    gateway_harness.run_scenario(
        scenario, [gateway_harness.LATE_PREFIX + gateway_harness.OK], timeout_ms=2_000.0
    )


def test_first_response_aborts_the_other_attempt():
    """An attempt that is no longer needed occupies a slot of its instance."""

    async def scenario(harness):
        assert (await harness.send_request())[0] == 200
        async with asyncio.timeout(1.0):
            while not sum(upstream.aborted_requests for upstream in harness.upstreams):
                await asyncio.sleep(0.01)

    script = [b"hang", gateway_harness.OK]
    gateway_harness.run_scenario(scenario, script, script, timeout_ms=2_000.0)


def test_request_without_time_left_is_refused_without_blocking_others():
    """A loop that never waited blocked a whole VM until it was killed."""

    async def scenario(harness):
        assert (await harness.send_request(headers="key: 7\r\n"))[0] == 200
        status, _, _ = await harness.send_request(headers="key: 7\r\ntime-left: 5\r\n")
        assert status == 503
        assert len(harness.upstreams[0].requests) == 1

    gateway_harness.run_scenario(scenario, [gateway_harness.OK], partitioned=True)


def test_unreachable_holder_of_a_key_is_not_retried_without_delay():
    """Retries of connections that fail immediately must not occupy a VM."""

    async def scenario(harness):
        harness.upstreams[0].close()
        status, _, _ = await harness.send_request(headers="key: 7\r\n")
        assert status == 503

    gateway_harness.run_scenario(scenario, [], partitioned=True)


def test_unknown_host_or_path_has_no_route():
    """Requests without a route must not reach any instance."""

    async def scenario(harness):
        assert (await harness.send_request("/other/x"))[0] == 404
        assert (await harness.send_request("/safe"))[0] == 404
        assert not harness.upstreams[0].requests

    gateway_harness.run_scenario(scenario, [gateway_harness.OK])


def test_request_before_any_desired_state_is_refused():
    """A 404 before the first desired state would mean that the route was removed."""

    async def scenario(harness):
        harness.gateway._route_table = None
        assert (await harness.send_request())[0] == 503

    gateway_harness.run_scenario(scenario, [gateway_harness.OK])


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET / HTTP/1.1\r\nhost: h\r\nx: " + b"a" * 3_000, 431),
        (b"POST /safe/ HTTP/1.1\r\nhost: h\r\ncontent-length: 2000\r\n\r\n", 413),
        (b"nonsense\r\n\r\n", 400),
        (b"GET /safe/x HTTP/1.1\r\nhost: h\r\n", 408),
        (
            b"POST /unsafe/x HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n"
            b"transfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /safe/x HTTP/1.1\r\n",
            400,
        ),
    ],
)
def test_request_beyond_the_limits_is_rejected(data, status):
    """Oversized, slow or ambiguous requests must not reach an instance."""

    async def scenario(harness):
        reader, writer = await asyncio.open_connection("127.0.0.1", harness.port)
        writer.write(data)
        assert (await gateway_harness.read_response(reader))[0] == status
        assert not harness.upstreams[0].requests
        writer.close()

    gateway_harness.run_scenario(scenario, [gateway_harness.OK])


def test_pipelined_requests_get_responses_in_order():
    """Responses in another order would be matched to the wrong requests."""

    async def scenario(harness):
        reader, writer = await asyncio.open_connection("127.0.0.1", harness.port)
        for name in ("r1", "r2", "r3"):
            request_head = (
                f"GET /safe/x HTTP/1.1\r\nhost: h\r\nrequest-id: {name}\r\n\r\n"
            )
            writer.write(request_head.encode())
        request_ids = [
            (await gateway_harness.read_response(reader))[1]["request-id"]
            for _ in range(3)
        ]
        assert request_ids == ["r1", "r2", "r3"]
        writer.close()

    gateway_harness.run_scenario(
        scenario, [gateway_harness.OK, gateway_harness.OK, gateway_harness.OK]
    )


def test_request_for_a_moving_key_waits_for_its_holder():
    """A key that moves for a few round trips must not fail its requests."""

    async def scenario(harness):
        now_ms = 1000.0 * asyncio.get_running_loop().time()
        harness.holder = view.KeyHolder(None, now_ms + 300.0)

        async def finish_move():
            await asyncio.sleep(0.1)
            harness.holder = view.KeyHolder("i-0")
            harness.gateway.on_holders_changed()

        task = asyncio.create_task(finish_move())
        status, _, _ = await harness.send_request(headers="key: 7\r\n")
        await task
        assert status == 200

    gateway_harness.run_scenario(scenario, [gateway_harness.OK], partitioned=True)


def test_request_for_a_lost_key_is_refused_at_once():
    """A caller must not wait for a key that has no holder until after its timeout."""

    async def scenario(harness):
        started_at = asyncio.get_running_loop().time()
        harness.holder = view.KeyHolder(None, 1000.0 * started_at + 5_000.0)
        status, fields, _ = await harness.send_request(headers="key: 7\r\n")
        assert status == 503 and float(fields["retry-after"]) >= 0.5
        assert asyncio.get_running_loop().time() - started_at < 0.2

    gateway_harness.run_scenario(scenario, [gateway_harness.OK], partitioned=True)


def test_request_for_a_silent_holder_is_refused_at_once():
    """Callers waited in vain for most of their time, and another VM might reach it."""

    async def scenario(harness):
        loop = asyncio.get_running_loop()
        instance = harness.upstreams[0].instance("i-0")
        now_ms = 1000.0 * loop.time()
        load = harness.gateway.selector._instance_load(instance, now_ms)
        load.ejected_until = now_ms + 8_000.0
        started_at = loop.time()
        status, fields, _ = await harness.send_request(headers="key: 7\r\n")
        assert (status, loop.time() - started_at < 0.2) == (503, True)
        assert float(fields["retry-after"]) > 0.5
        # A short ejection ends before it is too late.
        load.ejected_until = 1000.0 * loop.time() + 100.0
        return (await harness.send_request(headers="key: 7\r\n"))[0]

    status = gateway_harness.run_scenario(
        scenario, [gateway_harness.OK], partitioned=True
    )
    assert status == 200


def test_request_beyond_the_share_of_a_holder_is_refused_at_once():
    """A request that an overloaded holder cannot serve must not wait in vain."""

    async def scenario(harness):
        harness.admits = False
        status, fields, _ = await harness.send_request(headers="key: 7\r\n")
        # A caller that retries at once meets the same overload and wastes its retries.
        assert status == 503 and float(fields["retry-after"]) >= 0.5
        assert not harness.upstreams[0].requests

    gateway_harness.run_scenario(scenario, [gateway_harness.OK], partitioned=True)


def test_request_refused_by_the_old_holder_goes_to_the_new_one():
    """A refusal while a key moves must not count as an attempt."""
    wrong_holder = gateway_harness.NOT_RUN.replace(b"503 Busy", b"421 Moved")

    async def scenario(harness):
        async def finish_move():
            while not harness.upstreams[0].requests:
                await asyncio.sleep(0.01)
            harness.holder = view.KeyHolder("i-1")
            harness.gateway.on_holders_changed()

        task = asyncio.create_task(finish_move())
        status, _, _ = await harness.send_request(
            "/unsafe/x", "POST", b"a", "key: 7\r\n"
        )
        await task
        assert status == 200

    gateway_harness.run_scenario(
        scenario, [wrong_holder], [gateway_harness.OK], partitioned=True, max_attempts=1
    )


def test_address_reused_by_another_instance_is_not_tried_again():
    """A VM with an outdated registry spent its retry budget on a reused address."""
    other_instance = gateway_harness.NOT_RUN.replace(b"503 Busy", b"421 Other").replace(
        b"not-run: 1", b"answering: i-9"
    )

    async def scenario(harness):
        status, _, _ = await harness.send_request(headers="key: 7\r\n")
        assert status == 503
        assert len(harness.upstreams[0].requests) == 1

    gateway_harness.run_scenario(scenario, [other_instance] * 9, partitioned=True)


def test_stopping_gateway_closes_connections_after_responses():
    """A caller that reuses its connection to a stopping VM loses its next request."""

    async def scenario(harness):
        harness.gateway.stopping = True
        _, fields, _ = await harness.send_request()
        assert fields["connection"] == "close"

    gateway_harness.run_scenario(scenario, [gateway_harness.OK])


@pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x"])
def test_stopping_gateway_responds_for_a_silent_instance(path):
    """A connection closed without a response leaves the outcome unknown."""

    async def scenario(harness):
        loop = asyncio.get_running_loop()
        response_task = asyncio.create_task(harness.send_request(path))
        while not harness.upstreams[0].requests:
            await asyncio.sleep(0.01)
        started_at = loop.time()
        harness.gateway.stop(started_at + 0.2)
        status, _, _ = await response_task
        assert status in (502, 504) and loop.time() < started_at + 0.5

    gateway_harness.run_scenario(scenario, [b"hang"], timeout_ms=5_000.0)


@pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x"])
def test_stopping_gateway_sends_no_request_that_it_would_cut(path):
    """A request sent late in the grace period was ended without its answer."""

    async def scenario(harness):
        loop = asyncio.get_running_loop()
        harness.gateway.stop(loop.time() + 0.3)
        status, _, _ = await harness.send_request(path)
        assert status == 503 and not harness.upstreams[0].requests

    late = gateway_harness.LATE_PREFIX + gateway_harness.OK
    gateway_harness.run_scenario(scenario, [late], timeout_ms=5_000.0)


def test_stopping_gateway_refuses_requests_that_come_late():
    """A slow answer can outlast the grace period however early it is expected."""

    async def scenario(harness):
        loop = asyncio.get_running_loop()
        harness.gateway.stop(loop.time() + 5.0, loop.time() + 0.2)
        assert (await harness.send_request())[0] == 200
        await asyncio.sleep(0.25)
        assert (await harness.send_request())[0] == 503
        assert len(harness.upstreams[0].requests) == 1

    gateway_harness.run_scenario(scenario, [gateway_harness.OK] * 2)


def test_stopping_gateway_refuses_unsent_requests():
    """Only a request that reached no instance may be refused as not run."""

    async def scenario(harness):
        harness.holder = view.KeyHolder(None, 1e9)
        response_task = asyncio.create_task(harness.send_request(headers="key: 7\r\n"))
        await asyncio.sleep(0.1)
        harness.gateway.stop(asyncio.get_running_loop().time() + 0.1)
        status, _, _ = await response_task
        assert status == 503 and not harness.upstreams[0].requests

    gateway_harness.run_scenario(
        scenario, [b"hang"], timeout_ms=5_000.0, partitioned=True
    )


def test_queue_serves_first_what_can_be_on_time():
    """Under overload, serving in order of arrival makes every request late."""
    queue = wait_queue.WaitQueue()
    late = queue.add(1, 0.5, 0.0)
    urgent = queue.add(0, 2.0, 0.0)
    on_time = queue.add(1, 1.5, 0.0)
    assert queue.is_first(urgent, 1.0)
    queue.remove(urgent, 1.0)
    assert queue.is_first(on_time, 1.0)
    queue.remove(on_time, 1.0)
    assert queue.is_first(late, 1.0)


def test_queue_measures_its_rate_only_while_requests_wait():
    """An idle period before a burst must not raise the expected wait of the burst."""
    queue = wait_queue.WaitQueue()
    for tenth in range(5):
        queue.on_attempt_end(tenth / 10.0)
    for _ in range(4):
        queue.add(1, 9.0, 5.0)
    assert queue.expected_wait_s(1, 9.0, 5.0) == 0.0
    for tenth in range(1, 11):
        queue.on_attempt_end(5.0 + tenth / 10.0)
    assert 0.3 < queue.expected_wait_s(1, 9.0, 6.0) < 0.6


def test_idle_connection_stays_open_for_the_announced_time():
    """Closing before the announced timeout loses a request that is in transit."""
    assert caller_connection.IDLE_MARGIN_S > 0.0


def test_requests_with_long_heads_wait_or_are_refused(monkeypatch):
    """A crowd of them kept all others from being read."""
    monkeypatch.setattr(read_pace, "SECONDS_PER_LINE", 1e-3)
    fields = "a:\r\n" * 300

    async def scenario(harness):
        limits = gateway_harness.LIMITS._replace(header_bytes=16_384)
        harness.gateway.set_desired_state(harness.state._replace(limits=limits))
        responses = await asyncio.gather(
            *(harness.send_request(headers=fields) for _ in range(8))
        )
        statuses = [status for status, _, _ in responses]
        assert statuses.count(200) == 4 and statuses.count(503) == 4
        refusal = responses[statuses.index(503)]
        assert float(refusal[1]["retry-after"]) > 0.0
        assert (await harness.send_request())[0] == 200

    gateway_harness.run_scenario(
        scenario, [gateway_harness.OK] * 5, max_attempts=1, timeout_ms=2_000.0
    )

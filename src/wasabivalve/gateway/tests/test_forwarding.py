"""Guard what callers get and what reaches instances, over loopback connections."""

import asyncio
import contextlib

import pytest

from wasabivalve.desired_state import core as desired_state
from wasabivalve.gateway import (
    caller_connection,
    core,
    instance_selection,
    messages,
    wait_queue,
)
from wasabivalve.key_leases import view
from wasabivalve.placement import core as placement
from wasabivalve.placement import service_times

LIMITS = desired_state.CallerLimits(2_000, 1_000, 500.0, 5_000.0)
DIALECT = messages.HeaderFormat(
    request_id=b"request-id",
    time_left=b"time-left",
    expected_instance=b"expected",
    responding_instance=b"answering",
    origin_proof=b"proof",
    not_run=b"not-run",
    key=b"key",
    load_report=b"report",
    decode_key=int,
    decode_time_left=lambda value: float(value) / 1000.0,
    encode_time_left=lambda left: b"%d" % int(left * 1000.0),
    decode_load_report=lambda value: None,
)


LATE = b"late "
LATE_S = 1.3
"""Time after which a late answer comes; above the patience of the routes below."""


async def reading(reader, duration_s):
    """Return whether a peer sends or closes within a time."""
    try:
        await asyncio.wait_for(reader.read(1), duration_s)
    except TimeoutError:
        return False
    return True


class Upstream:
    """Answer requests with a scripted list of raw answers, one a request."""

    def __init__(self, script):
        self.script = script
        self.requests = []
        self.closed_early = 0
        self.connections = 0

    async def start(self):
        """Listen on loopback."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        self.connections += 1
        try:
            await self._serve_all(reader, writer)
        finally:
            writer.close()

    async def _serve_all(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = 0
                for line in head.lower().split(b"\r\n"):
                    if line.startswith(b"content-length:"):
                        length = int(line.split(b":")[1])
                body = await reader.readexactly(length)
                self.requests.append((head, body))
                step = self.script.pop(0) if self.script else b"hang"
                if step == b"hang":
                    try:
                        await reader.read(1)
                    finally:
                        self.closed_early += 1
                    return
                if step.startswith(LATE):
                    step = step.removeprefix(LATE)
                    if await reading(reader, LATE_S):
                        self.closed_early += 1
                        return
                identity = [
                    line.split(b":")[1].strip()
                    for line in head.split(b"\r\n")
                    if line.startswith(b"request-id:")
                ]
                data = step.replace(b"@id", identity[0] if identity else b"-")
                cut = data.endswith(b"@cut")
                writer.write(data.removesuffix(b"@cut"))
                await writer.drain()
                if cut:
                    return

    def close(self):
        """Stop listening."""
        self._server.close()

    def instance(self, name="i-1", **changes):
        """Return the registered instance."""
        instance = placement.RegisteredInstance(
            name, "desk", "127.0.0.1", self.port, "east", 2, False, 0.0, 1, 1
        )
        return instance._replace(**changes)


OK = b"HTTP/1.1 200 OK\r\nrequest-id: @id\r\nproof: p\r\ncontent-length: 4\r\n\r\ndone"
NOT_RUN = (
    b"HTTP/1.1 503 Busy\r\nrequest-id: @id\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n"
)
FAILED = b"HTTP/1.1 500 No\r\nrequest-id: @id\r\nproof: p\r\ncontent-length: 1\r\n\r\nx"


class Scene:
    """Run a gateway before scripted upstreams."""

    def __init__(self, *upstreams, most_attempts=2, timeout_ms=400.0, divided=False):
        self.upstreams = upstreams
        self.state = desired_state.DesiredState(
            1,
            tuple(
                desired_state.RouteConfig(
                    name,
                    "h",
                    f"/{name}/",
                    (desired_state.WeightedService("desk", 1.0),),
                    name == "safe",
                    most_attempts,
                    timeout_ms,
                    200.0,
                    1,
                )
                for name in ("safe", "unsafe")
            ),
            {"desk": desired_state.ServiceConfig("desk", 100, divided)},
            LIMITS,
        )
        self.holder = view.KeyHolder("i-0")
        self.admitting = True
        self.gateway = core.Gateway(
            DIALECT,
            placement.Topology("east", {"east": "coast"}),
            core.RetryLimits(0.2, 10_000.0, 100.0),
            instance_selection.GatewayCallbacks(
                lambda service: [
                    one.instance(f"i-{index}")
                    for index, one in enumerate(self.upstreams)
                ],
                lambda service, key: self.holder,
                lambda instance: self.admitting,
                lambda: 1,
                lambda service, key: None,
            ),
            service_times.ServiceTimeRatios(),
        )

    async def __aenter__(self):
        """Start all."""
        for one in self.upstreams:
            await one.start()
        await self.gateway.start("127.0.0.1", 0)
        self.port = self.gateway.port
        self.gateway.set_desired_state(self.state)
        return self

    async def __aexit__(self, *error):
        """Close all."""
        self.gateway.close()
        for one in self.upstreams:
            one.close()

    async def ask(self, path="/safe/x", method="GET", body=b"", headers=""):
        """Return status, headers and body of one request on a new connection."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        length = f"content-length: {len(body)}\r\n" if body else ""
        writer.write(
            f"{method} {path} HTTP/1.1\r\nhost: h\r\nrequest-id: r1\r\n"
            f"{length}{headers}\r\n".encode()
            + body
        )
        answer = await read_answer(reader)
        writer.close()
        return answer


async def read_answer(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    fields = dict(line.split(": ", 1) for line in lines[1:] if line)
    if "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    else:
        body = await reader.read()
    return int(lines[0].split()[1]), fields, body


def play(scenario, *scripts, **options):
    """Run a scenario against upstreams with these scripts."""

    async def main():
        upstreams = [Upstream(script) for script in scripts]
        async with Scene(*upstreams, **options) as scene:
            return await asyncio.wait_for(scenario(scene), 10.0)

    return asyncio.run(main())


def test_request_and_answer_pass_unchanged():
    """A changed path, body or proof would make the answer worthless."""

    async def scenario(scene):
        status, fields, body = await scene.ask(
            "/unsafe/x?q=1", "POST", b"abc", "x-own: 1\r\ntime-left: 300\r\n"
        )
        assert (status, body, fields["proof"]) == (200, b"done", "p")
        head, sent = scene.upstreams[0].requests[0]
        assert head.startswith(b"POST /unsafe/x?q=1 HTTP/1.1\r\n")
        assert b"x-own: 1" in head and b"expected: i-0" in head and sent == b"abc"
        left = [line for line in head.split(b"\r\n") if line.startswith(b"time-left")]
        assert len(left) == 1 and 200 < int(left[0].split(b":")[1]) <= 300

    play(scenario, [OK])


def test_chunked_request_is_forwarded_whole():
    """A body in chunks that is passed on without its end would hang an instance."""

    async def scenario(scene):
        reader, writer = await asyncio.open_connection("127.0.0.1", scene.port)
        writer.write(
            b"POST /unsafe/x HTTP/1.1\r\nhost: h\r\nrequest-id: r1\r\n"
            b"transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        )
        status, _, _ = await read_answer(reader)
        assert status == 200
        assert scene.upstreams[0].requests[0][1] == b"abcde"
        writer.close()

    play(scenario, [OK])


@pytest.mark.parametrize("step", [OK[:-2] + b"@cut", b"nonsense\r\n\r\n@cut", b"@cut"])
def test_unsafe_request_is_not_repeated_after_a_broken_answer(step):
    """A second run of work that may have run charges somebody twice."""

    async def scenario(scene):
        status, fields, _ = await scene.ask("/unsafe/x", "POST", b"a")
        assert status == 502 and "proof" not in fields
        assert sum(len(one.requests) for one in scene.upstreams) == 1

    play(scenario, [step], [step])


def test_safe_request_is_repeated_at_another_instance():
    """One broken answer must not fail work that may run twice."""

    async def scenario(scene):
        status, _, body = await scene.ask()
        assert (status, body) == (200, b"done")
        assert [len(one.requests) for one in scene.upstreams] == [1, 1]

    # Whichever instance is asked first breaks off.
    script = [b"@cut", OK]
    play(scenario, script, script)


def test_unsafe_request_is_repeated_after_proof_that_it_did_not_run():
    """A refusal by one full instance must not fail work that another can do."""

    async def scenario(scene):
        status, _, _ = await scene.ask("/unsafe/x", "POST", b"a")
        assert status == 200
        assert [len(one.requests) for one in scene.upstreams] == [1, 1]

    script = [NOT_RUN, OK]
    play(scenario, script, script)


def test_refusal_is_true_and_tells_when_to_come_back():
    """A 503 for work that ran, or without a time to return, misleads callers."""

    async def scenario(scene):
        status, fields, _ = await scene.ask("/unsafe/x", "POST", b"a")
        assert status == 503 and float(fields["retry-after"]) > 0.0

    play(scenario, [NOT_RUN] * 9, [NOT_RUN] * 9)


def test_failure_of_an_instance_passes_with_its_proof():
    """A failure replaced by an own answer hides that the work ran."""

    async def scenario(scene):
        status, fields, body = await scene.ask("/unsafe/x", "POST", b"a")
        assert (status, fields["proof"], body) == (500, "p", b"x")

    play(scenario, [FAILED])


def test_answer_to_another_request_is_passed_over():
    """A late extra answer on a kept connection belongs to nobody."""
    foreign = OK.replace(b"@id", b"r0").replace(b"done", b"oops")

    async def scenario(scene):
        status, _, body = await scene.ask()
        assert (status, body) == (200, b"done")

    play(scenario, [foreign + OK])


def test_bytes_after_an_answer_belong_to_no_request():
    """Extra bytes on a kept connection must not become the next answer."""

    async def scenario(scene):
        assert (await scene.ask())[2] == b"done"
        await asyncio.sleep(0.05)
        assert (await scene.ask())[2] == b"done"
        assert scene.upstreams[0].connections == 2

    play(scenario, [OK + OK.replace(b"done", b"oops"), OK])


def test_success_without_proof_is_no_success():
    """Wrong bytes with status 200 would reach a caller as its answer."""

    async def scenario(scene):
        status, _, _ = await scene.ask("/unsafe/x", "POST", b"a")
        assert status == 502

    play(scenario, [OK.replace(b"proof: p\r\n", b"")])


def test_answer_without_a_length_stays_without_one():
    """A length of our own would make an answer that ended early look whole."""
    step = b"HTTP/1.1 200 OK\r\nrequest-id: @id\r\nproof: p\r\n\r\npart@cut"

    async def scenario(scene):
        _, fields, body = await scene.ask()
        assert "content-length" not in fields and fields["connection"] == "close"
        assert body == b"part"

    play(scenario, [step])


def test_work_ends_when_its_caller_leaves():
    """Work for a caller that left takes a slot from one that waits."""

    async def scenario(scene):
        _, writer = await asyncio.open_connection("127.0.0.1", scene.port)
        writer.write(b"GET /safe/x HTTP/1.1\r\nhost: h\r\nrequest-id: r1\r\n\r\n")
        while not scene.upstreams[0].requests:
            await asyncio.sleep(0.01)
        writer.close()
        for _ in range(50):
            if scene.upstreams[0].closed_early:
                return
            await asyncio.sleep(0.01)
        raise AssertionError("the instance still works")

    play(scenario, [b"hang"], timeout_ms=5_000.0)


def test_answer_comes_by_the_timeout_of_the_route():
    """A caller of a silent instance must not wait for longer than the route says."""

    async def scenario(scene):
        started = asyncio.get_running_loop().time()
        status, _, _ = await scene.ask("/unsafe/x", "POST", b"a")
        passed = asyncio.get_running_loop().time() - started
        assert status == 504 and 0.35 < passed < 0.4 + 0.25

    play(scenario, [b"hang"])


def test_silent_instance_is_left_for_another():
    """A full instance that never answers must not use up the whole time."""

    async def scenario(scene):
        status, _, _ = await scene.ask()
        assert status == 200
        assert [len(one.requests) for one in scene.upstreams] == [1, 1]

    script = [b"hang", OK]
    play(scenario, script, script, timeout_ms=2_000.0)


def test_attempt_at_a_silent_instance_goes_on_beside_the_next_one():
    """Ending it cut off work and lost the answer when no other instance had one."""

    async def scenario(scene):
        status, _, body = await scene.ask()
        assert (status, body) == (200, b"done")
        assert [len(one.requests) for one in scene.upstreams] == [1, 1]

    play(scenario, [LATE + OK], [LATE + OK], timeout_ms=2_000.0)


def test_late_answer_is_delivered_when_no_other_instance_is_left():
    """An instance may be at work on what it does not answer; nobody else may be."""

    async def scenario(scene):
        assert (await scene.ask())[0] == 200
        assert scene.upstreams[0].closed_early == 0

    play(scenario, [LATE + OK], timeout_ms=2_000.0)


def test_first_answer_ends_the_work_on_the_other_attempt():
    """An instance that goes on with answered work lacks the slot for others."""

    async def scenario(scene):
        assert (await scene.ask())[0] == 200
        async with asyncio.timeout(1.0):
            while not sum(one.closed_early for one in scene.upstreams):
                await asyncio.sleep(0.01)

    script = [b"hang", OK]
    play(scenario, script, script, timeout_ms=2_000.0)


def test_request_without_time_is_refused_without_blocking_others():
    """A loop that never waits stopped a whole VM until it was killed."""

    async def scenario(scene):
        assert (await scene.ask(headers="key: 7\r\n"))[0] == 200
        status, _, _ = await scene.ask(headers="key: 7\r\ntime-left: 5\r\n")
        assert status == 503
        assert len(scene.upstreams[0].requests) == 1

    play(scenario, [OK], divided=True)


def test_unreachable_holder_of_a_key_is_not_asked_without_pause():
    """Connections that fail at once must not keep a VM busy."""

    async def scenario(scene):
        scene.upstreams[0].close()
        status, _, _ = await scene.ask(headers="key: 7\r\n")
        assert status == 503

    play(scenario, [], divided=True)


def test_unknown_host_or_path_has_no_route():
    """Requests without a route must not reach any instance."""

    async def scenario(scene):
        assert (await scene.ask("/other/x"))[0] == 404
        assert (await scene.ask("/safe"))[0] == 404
        assert not scene.upstreams[0].requests

    play(scenario, [OK])


def test_request_before_any_desired_state_is_refused():
    """A 404 for lack of state would tell callers that their route is gone."""

    async def scenario(scene):
        scene.gateway._route_table = None
        assert (await scene.ask())[0] == 503

    play(scenario, [OK])


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
def test_caller_beyond_the_limits_is_refused(data, status):
    """Oversized, slow or ambiguous requests must not reach an instance."""

    async def scenario(scene):
        reader, writer = await asyncio.open_connection("127.0.0.1", scene.port)
        writer.write(data)
        assert (await read_answer(reader))[0] == status
        assert not scene.upstreams[0].requests
        writer.close()

    play(scenario, [OK])


def test_requests_in_a_row_on_one_connection_keep_their_order():
    """Answers that swap would each go to the wrong request."""

    async def scenario(scene):
        reader, writer = await asyncio.open_connection("127.0.0.1", scene.port)
        for name in ("r1", "r2", "r3"):
            head = f"GET /safe/x HTTP/1.1\r\nhost: h\r\nrequest-id: {name}\r\n\r\n"
            writer.write(head.encode())
        seen = [(await read_answer(reader))[1]["request-id"] for _ in range(3)]
        assert seen == ["r1", "r2", "r3"]
        writer.close()

    play(scenario, [OK, OK, OK])


def test_request_for_a_moving_key_waits_for_its_holder():
    """A key that moves for some round trips must not fail its requests."""

    async def scenario(scene):
        now_ms = 1000.0 * asyncio.get_running_loop().time()
        scene.holder = view.KeyHolder(None, now_ms + 300.0)

        async def settle():
            await asyncio.sleep(0.1)
            scene.holder = view.KeyHolder("i-0")
            scene.gateway.on_owners_changed()

        task = asyncio.create_task(settle())
        status, _, _ = await scene.ask(headers="key: 7\r\n")
        await task
        assert status == 200

    play(scenario, [OK], divided=True)


def test_request_for_a_lost_key_is_refused_at_once():
    """A caller must not wait for a key whose holder is gone for longer than that."""

    async def scenario(scene):
        started = asyncio.get_running_loop().time()
        scene.holder = view.KeyHolder(None, 1000.0 * started + 5_000.0)
        status, fields, _ = await scene.ask(headers="key: 7\r\n")
        assert status == 503 and float(fields["retry-after"]) >= 0.5
        assert asyncio.get_running_loop().time() - started < 0.2

    play(scenario, [OK], divided=True)


def test_request_beyond_the_share_of_a_holder_is_refused_at_once():
    """What an overloaded holder cannot serve must not wait until it is too late."""

    async def scenario(scene):
        scene.admitting = False
        status, fields, _ = await scene.ask(headers="key: 7\r\n")
        # A caller that returns at once meets the same overload and uses up its retries.
        assert status == 503 and float(fields["retry-after"]) >= 0.5
        assert not scene.upstreams[0].requests

    play(scenario, [OK], divided=True)


def test_key_refused_by_its_old_holder_goes_to_the_new_one():
    """A refusal while a key moves must not use up the attempts of a request."""
    moved = NOT_RUN.replace(b"503 Busy", b"421 Moved")

    async def scenario(scene):
        async def settle():
            while not scene.upstreams[0].requests:
                await asyncio.sleep(0.01)
            scene.holder = view.KeyHolder("i-1")
            scene.gateway.on_owners_changed()

        task = asyncio.create_task(settle())
        status, _, _ = await scene.ask("/unsafe/x", "POST", b"a", "key: 7\r\n")
        await task
        assert status == 200

    play(scenario, [moved], [OK], divided=True, most_attempts=1)


def test_address_of_another_instance_is_not_asked_again():
    """A VM with an old registry spent the budget of repeats on a reused address."""
    other = NOT_RUN.replace(b"503 Busy", b"421 Other").replace(
        b"not-run: 1", b"answering: i-9"
    )

    async def scenario(scene):
        status, _, _ = await scene.ask(headers="key: 7\r\n")
        assert status == 503
        assert len(scene.upstreams[0].requests) == 1

    play(scenario, [other] * 9, divided=True)


def test_stopping_gateway_closes_after_each_answer():
    """A caller that keeps its connection to a stopping VM loses its next request."""

    async def scenario(scene):
        scene.gateway.stopping = True
        _, fields, _ = await scene.ask()
        assert fields["connection"] == "close"

    play(scenario, [OK])


@pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x"])
def test_stopping_gateway_answers_what_an_instance_does_not(path):
    """The process ends; a connection that closes without an answer tells nothing."""

    async def scenario(scene):
        loop = asyncio.get_running_loop()
        asked = asyncio.create_task(scene.ask(path))
        while not scene.upstreams[0].requests:
            await asyncio.sleep(0.01)
        started = loop.time()
        scene.gateway.stop(started + 0.2)
        status, _, _ = await asked
        assert status in (502, 504) and loop.time() < started + 0.5

    play(scenario, [b"hang"], timeout_ms=5_000.0)


def test_stopping_gateway_refuses_what_was_not_sent():
    """Only a request that reached no instance may be refused as not run."""

    async def scenario(scene):
        scene.holder = view.KeyHolder(None, 1e9)
        asked = asyncio.create_task(scene.ask(headers="key: 7\r\n"))
        await asyncio.sleep(0.1)
        scene.gateway.stop(asyncio.get_running_loop().time() + 0.1)
        status, _, _ = await asked
        assert status == 503 and not scene.upstreams[0].requests

    play(scenario, [b"hang"], timeout_ms=5_000.0, divided=True)


def test_line_serves_first_what_can_be_on_time():
    """Under overload a first-come order makes every request late."""
    line = wait_queue.WaitQueue()
    late = line.add(1, 0.5, 0.0)
    urgent = line.add(0, 2.0, 0.0)
    on_time = line.add(1, 1.5, 0.0)
    assert line.is_first(urgent, 1.0)
    line.remove(urgent, 1.0)
    assert line.is_first(on_time, 1.0)
    line.remove(on_time, 1.0)
    assert line.is_first(late, 1.0)


def test_line_measures_its_rate_only_while_requests_wait():
    """A quiet time before a burst must not make the burst look hopeless."""
    line = wait_queue.WaitQueue()
    for tenth in range(5):
        line.on_attempt_end(tenth / 10.0)
    for _ in range(4):
        line.add(1, 9.0, 5.0)
    assert line.expected_wait_s(1, 9.0, 5.0) == 0.0
    for tenth in range(1, 11):
        line.on_attempt_end(5.0 + tenth / 10.0)
    assert 0.3 < line.expected_wait_s(1, 9.0, 6.0) < 0.6


def test_idle_connection_stays_for_the_promised_time():
    """A close before the announced time loses a request that is on its way."""
    assert caller_connection.IDLE_MARGIN_S > 0.0

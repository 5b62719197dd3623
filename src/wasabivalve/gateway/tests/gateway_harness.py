"""Run a gateway in front of scripted upstreams on loopback."""

import asyncio
import contextlib

from wasabivalve.desired_state import core as desired_state
from wasabivalve.gateway import (
    core,
    instance_selection,
    messages,
)
from wasabivalve.key_leases import view
from wasabivalve.placement import core as placement
from wasabivalve.placement import service_times

LIMITS = desired_state.CallerLimits(2_000, 1_000, 500.0, 5_000.0)
HEADER_FORMAT = messages.HeaderFormat(
    request_id=b"request-id",
    time_left=b"time-left",
    expected_instance=b"expected",
    responding_instance=b"answering",
    origin_proof=b"proof",
    not_run=b"not-run",
    key=b"key",
    load_report=b"report",
    request_limit=b"limit",
    leaving=b"leaving",
    warmup_left=b"warmup",
    decode_key=int,
    decode_time_left=lambda value: float(value) / 1000.0,
    encode_time_left=lambda time_left: b"%d" % int(time_left * 1000.0),
    decode_load_report=lambda value: None,
    decode_request_limit=float,
    decode_warmup_left=lambda value: float(value) / 1000.0,
)


LATE_PREFIX = b"late "
LATE_RESPONSE_DELAY_S = 1.3
"""Delay of a late response; longer than the hedge delay of the routes below."""


async def sends_or_closes(reader, duration_s):
    """Return whether a peer sends bytes or closes within a time in s."""
    try:
        await asyncio.wait_for(reader.read(1), duration_s)
    except TimeoutError:
        return False
    return True


class ScriptedUpstream:
    """Respond to each request with the next raw response of a script."""

    def __init__(self, script):
        self.script = script
        self.requests = []
        self.aborted_requests = 0
        self.connections = 0

    async def start(self):
        """Listen on loopback."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        self.connections += 1
        try:
            await self._serve_requests(reader, writer)
        finally:
            writer.close()

    async def _serve_requests(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                request_head = await reader.readuntil(b"\r\n\r\n")
                length = 0
                for line in request_head.lower().split(b"\r\n"):
                    if line.startswith(b"content-length:"):
                        length = int(line.split(b":")[1])
                body = await reader.readexactly(length)
                self.requests.append((request_head, body))
                scripted_response = self.script.pop(0) if self.script else b"hang"
                if scripted_response == b"hang":
                    try:
                        await reader.read(1)
                    finally:
                        self.aborted_requests += 1
                    return
                if scripted_response.startswith(LATE_PREFIX):
                    scripted_response = scripted_response.removeprefix(LATE_PREFIX)
                    if await sends_or_closes(reader, LATE_RESPONSE_DELAY_S):
                        self.aborted_requests += 1
                        return
                request_ids = [
                    line.split(b":")[1].strip()
                    for line in request_head.split(b"\r\n")
                    if line.startswith(b"request-id:")
                ]
                data = scripted_response.replace(
                    b"@id", request_ids[0] if request_ids else b"-"
                )
                close_after = data.endswith(b"@cut")
                writer.write(data.removesuffix(b"@cut"))
                await writer.drain()
                if close_after:
                    return

    def close(self):
        """Stop listening."""
        self._server.close()

    def instance(self, name="i-1", **changes):
        """Return the instance as the registry lists it."""
        instance = placement.RegisteredInstance(
            name, "desk", "127.0.0.1", self.port, "east", 2, False, 0.0, 1, 1
        )
        return instance._replace(**changes)


OK = b"HTTP/1.1 200 OK\r\nrequest-id: @id\r\nproof: p\r\ncontent-length: 4\r\n\r\ndone"
NOT_RUN = (
    b"HTTP/1.1 503 Busy\r\nrequest-id: @id\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n"
)
FAILED = b"HTTP/1.1 500 No\r\nrequest-id: @id\r\nproof: p\r\ncontent-length: 1\r\n\r\nx"


class GatewayHarness:
    """Run a gateway in front of scripted upstreams."""

    def __init__(self, *upstreams, max_attempts=2, timeout_ms=400.0, partitioned=False):
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
                    max_attempts,
                    timeout_ms,
                    200.0,
                    1,
                )
                for name in ("safe", "unsafe")
            ),
            {"desk": desired_state.ServiceConfig("desk", 100, partitioned)},
            LIMITS,
        )
        self.holder = view.KeyHolder("i-0")
        self.admits = True
        self.admits_key = None
        self.gateway = core.Gateway(
            HEADER_FORMAT,
            placement.Topology("east", {"east": "coast"}),
            core.RetryLimits(0.2, 10_000.0, 100.0),
            instance_selection.GatewayCallbacks(
                lambda service: [
                    upstream.instance(f"i-{index}")
                    for index, upstream in enumerate(self.upstreams)
                ],
                lambda service, key: self.holder,
                lambda instance: self.admits,
                lambda service, key: self.admits_key,
                lambda: 1,
                lambda service, key: None,
            ),
            service_times.ServiceTimes(),
        )

    async def __aenter__(self):
        """Start the upstreams and the gateway."""
        for upstream in self.upstreams:
            await upstream.start()
        await self.gateway.start("127.0.0.1", 0)
        self.port = self.gateway.port
        self.gateway.set_desired_state(self.state)
        return self

    async def __aexit__(self, *error):
        """Close the gateway and the upstreams."""
        self.gateway.close()
        for upstream in self.upstreams:
            upstream.close()

    async def send_request(
        self,
        path="/safe/x",
        method="GET",
        body=b"",
        headers="",
        local_host="127.0.0.1",
    ):
        """Return status, headers and body of one request on a new connection."""
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.port, local_addr=(local_host, 0)
        )
        length = f"content-length: {len(body)}\r\n" if body else ""
        writer.write(
            f"{method} {path} HTTP/1.1\r\nhost: h\r\nrequest-id: r1\r\n"
            f"{length}{headers}\r\n".encode()
            + body
        )
        response = await read_response(reader)
        writer.close()
        return response


async def read_response(reader):
    response_head = await reader.readuntil(b"\r\n\r\n")
    lines = response_head.decode().split("\r\n")
    fields = dict(line.split(": ", 1) for line in lines[1:] if line)
    if "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    else:
        body = await reader.read()
    return int(lines[0].split()[1]), fields, body


def run_scenario(scenario, *scripts, **options):
    """Run a scenario with one upstream per script."""

    async def main():
        upstreams = [ScriptedUpstream(script) for script in scripts]
        async with GatewayHarness(*upstreams, **options) as harness:
            return await asyncio.wait_for(scenario(harness), 10.0)

    return asyncio.run(main())

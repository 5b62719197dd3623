"""Test that a reset by a full instance is not taken for its end."""

import asyncio
import socket

from wasabivalve.gateway import disconnects
from wasabivalve.gateway.tests import gateway_harness
from wasabivalve.quarantine import resets

RESET = b"@cut"


class ResettingUpstream(gateway_harness.ScriptedUpstream):
    """Reset connections where other upstreams close them."""

    async def _serve(self, reader, writer):
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, disconnects.RESET_ON_CLOSE
        )
        await super()._serve(reader, writer)


def run_scenario(scenario, *scripts, **options):
    """Run a scenario with one upstream per script."""

    async def main():
        upstreams = [ResettingUpstream(script) for script in scripts]
        async with gateway_harness.GatewayHarness(*upstreams, **options) as harness:
            return await asyncio.wait_for(scenario(harness), 10.0)

    return asyncio.run(main())


async def send_order(harness):
    status, _, _ = await harness.send_request("/unsafe/x", "POST", b"order 7")
    return status


def test_request_that_full_instances_reset_is_quarantined_only_for_seconds():
    """Two full instances made a request wait for 60 s although none had ended."""

    async def scenario(harness):
        now_ms = 1000.0 * asyncio.get_running_loop().time()
        statuses = [await send_order(harness) for _ in range(8)]
        assert statuses.count(502) == 2 and statuses[-1] == 503
        # The registry still names both of them, with the same start time.
        harness.gateway.resets.on_registry_seen(now_ms + 9.0 * resets.SURVIVAL_MS)
        assert await send_order(harness) == 200

    script = [RESET, *[gateway_harness.OK] * 9]
    run_scenario(scenario, list(script), list(script))


def test_one_reset_ejects_no_instance():
    """A full instance has free slots again a moment later."""

    async def scenario(harness):
        assert [await send_order(harness) for _ in range(3)] == [502, 200, 200]

    run_scenario(scenario, [RESET, gateway_harness.OK, gateway_harness.OK])


def test_full_instance_of_a_known_service_counts_as_busy():
    """Each reset under load was evidence against the request that met it."""

    async def scenario(harness):
        gateway, loop = harness.gateway, asyncio.get_running_loop()
        (upstream,) = harness.upstreams
        # Only a reset by an instance whose slots are in use tells of its service.
        blocked = asyncio.create_task(harness.send_request("/unsafe/y"))
        while not upstream.requests:
            await asyncio.sleep(0)
        assert await send_order(harness) == 502
        gateway.resets.on_registry_seen(1000.0 * loop.time() + 9.0 * resets.SURVIVAL_MS)
        assert await send_order(harness) == 502
        # The first reset was recorded and withdrawn, the second one not recorded.
        assert len(gateway._crash_watch._recorded) == 1
        load = next(iter(gateway.selector._load_by_incarnation.values()))
        now_ms = 1000.0 * loop.time()
        assert load.estimated_requests(now_ms) > load.instance.slots
        assert load.unavailable_until < now_ms
        blocked.cancel()

    run_scenario(scenario, [b"hang", RESET, RESET], timeout_ms=5_000.0)


def test_new_connection_that_is_reset_before_the_request_was_sent():
    """The request waited for its time limit and then counted as possibly run."""

    async def scenario(harness):
        pool = harness.gateway.pool
        acquire = pool.acquire

        async def acquire_reset(*arguments):
            connection = await acquire(*arguments)
            connection.abort()
            pool.acquire = acquire
            return connection

        pool.acquire = acquire_reset
        assert await send_order(harness) == 200
        assert sum(len(upstream.requests) for upstream in harness.upstreams) == 1

    run_scenario(scenario, [gateway_harness.OK], [gateway_harness.OK])

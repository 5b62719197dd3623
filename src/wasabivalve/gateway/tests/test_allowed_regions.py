"""Test that no attempt of a request reaches an instance in an excluded region."""

import asyncio

import pytest

from wasabivalve.gateway.tests import gateway_harness
from wasabivalve.key_leases import view

EAST, WEST = frozenset({"coast"}), frozenset({"west"})


class WesternUpstream(gateway_harness.ScriptedUpstream):
    """Stand for an instance in the region ``west``."""

    def instance(self, name="i-1", **changes):
        """Return the instance as the registry lists it."""
        return super().instance(name, **{"data_centre": "west", **changes})


def allow(harness, regions):
    """Apply a desired state in which all routes name regions."""
    routes = [route._replace(allowed_regions=regions) for route in harness.state.routes]
    harness.gateway.set_desired_state(harness.state._replace(routes=tuple(routes)))


def run_scenario(scenario, near_script, far_script, **options):
    """Run a scenario with one upstream near the gateway and one in the other region."""

    async def main():
        near = gateway_harness.ScriptedUpstream(near_script)
        far = WesternUpstream(far_script)
        async with gateway_harness.GatewayHarness(near, far, **options) as harness:
            return await asyncio.wait_for(scenario(harness, near, far), 10.0)

    return asyncio.run(main())


@pytest.mark.parametrize("first", [gateway_harness.NOT_RUN, gateway_harness.FAILED])
def test_no_retry_leaves_the_region(first):
    """Once the near instance was excluded, only the other region was left."""

    async def scenario(harness, near, far):
        allow(harness, EAST)
        status, _, _ = await harness.send_request("/safe/x")
        assert status in (500, 503) and len(near.requests) == 1
        assert not far.requests

    run_scenario(scenario, [first], [gateway_harness.OK])


def test_no_hedge_leaves_the_region():
    """A second attempt went to whichever instance was not silent."""

    async def scenario(harness, near, far):
        allow(harness, EAST)
        status, _, _ = await harness.send_request("/safe/x")
        assert status == 200 and not far.requests

    script = [gateway_harness.LATE_PREFIX + gateway_harness.OK]
    run_scenario(scenario, script, [gateway_harness.OK], timeout_ms=2_500.0)


def test_request_for_another_region_is_served_there():
    """Callers connect to the nearest VM, also when their route excludes its region."""

    async def scenario(harness, near, far):
        allow(harness, WEST)
        for _ in range(6):
            assert (await harness.send_request("/unsafe/x", "POST", b"b"))[0] == 200
        assert not near.requests

    run_scenario(scenario, [gateway_harness.OK] * 6, [gateway_harness.OK] * 6)


def test_request_without_an_eligible_instance_is_refused_at_once():
    """It would wait for its time limit, although it cannot be served."""

    async def scenario(harness, near, far):
        allow(harness, frozenset({"unknown"}))
        status, fields, _ = await harness.send_request("/unsafe/x", "POST", b"b")
        assert (status, fields["retry-after"]) == (503, "1.000")
        assert not near.requests and not far.requests

    # Waiting would outlast the limit of the whole scenario.
    run_scenario(scenario, [], [], timeout_ms=60_000.0)


def test_key_held_outside_the_regions_is_refused_at_once():
    """A key has one holder, so that no other instance may serve the request."""

    async def scenario(harness, near, far):
        harness.holder = view.KeyHolder("i-1")
        allow(harness, EAST)
        status, fields, _ = await harness.send_request(headers="key: 5\r\n")
        assert status == 503 and "retry-after" in fields
        # The operator may allow the region of the holder again.
        allow(harness, EAST | WEST)
        assert (await harness.send_request(headers="key: 5\r\n"))[0] == 200
        assert not near.requests

    script = [gateway_harness.OK]
    run_scenario(scenario, [], script, partitioned=True, timeout_ms=60_000.0)


def test_waiting_request_keeps_to_the_newest_regions():
    """A request may wait for longer than a change of its regions may take."""

    async def scenario(harness, near, far):
        harness.holder = view.KeyHolder(None, None)
        allow(harness, EAST | WEST)
        waiting = asyncio.create_task(harness.send_request(headers="key: 5\r\n"))
        while not harness.gateway.busy_connections:
            await asyncio.sleep(0)
        allow(harness, EAST)
        harness.holder = view.KeyHolder("i-1")
        harness.gateway.on_holders_changed()
        assert (await waiting)[0] == 503 and not far.requests

    run_scenario(scenario, [], [], partitioned=True, timeout_ms=60_000.0)


def test_instance_that_is_excluded_while_a_connection_opens_gets_nothing():
    """A connection may take longer than an evacuation may take to be in force."""

    async def scenario(harness, near, far):
        allow(harness, EAST)
        acquire = harness.gateway.pool.acquire

        async def acquire_slowly(*arguments):
            connection = await acquire(*arguments)
            allow(harness, WEST)
            return connection

        harness.gateway.pool.acquire = acquire_slowly
        status, _, _ = await harness.send_request("/unsafe/x", "POST", b"b")
        assert status == 200 and not near.requests

    run_scenario(scenario, [], [gateway_harness.OK], timeout_ms=4_000.0)


def test_routes_of_one_name_keep_their_own_regions():
    """A route without regions opened those of another route with its name."""

    async def scenario(harness, near, far):
        safe, unsafe = harness.state.routes
        routes = (
            safe._replace(name="r", allowed_regions=WEST),
            unsafe._replace(name="r"),
        )
        harness.gateway.set_desired_state(harness.state._replace(routes=routes))
        assert (await harness.send_request())[0] == 200
        assert (len(near.requests), len(far.requests)) == (0, 1)

    run_scenario(scenario, [], [gateway_harness.OK])

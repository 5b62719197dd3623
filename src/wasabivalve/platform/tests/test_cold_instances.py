"""Test with several VMs that a cold instance gets no more requests than it bears."""

import asyncio

import msgspec

from wasabivalve import ramp_up
from wasabivalve.gateway import messages
from wasabivalve.platform import desired_state, headers
from wasabivalve.platform.tests import (
    test_crashing_requests,
    test_entry_vm,
    test_request_limits,
)

WARMUP_S = 3.0
WARMUP_PER_S = 4.2
BOUNDS = ramp_up.WarmupBounds(1.5, 8.0)
MAX_IN_ONE_SECOND = BOUNDS.overshoot * WARMUP_PER_S + BOUNDS.slack
SETTLING_S = 1.5


def encode_desired_state(version):
    """Return a desired state whose services warm up."""
    document = msgspec.json.decode(test_entry_vm.encode_desired_state(version))
    for resource in document["resources"]:
        if resource["resource_kind"] == "services":
            resource["spec"] |= {
                "warmup_s": WARMUP_S,
                "warmup_per_s": WARMUP_PER_S,
                "health_path": "/health",
            }
    data = msgspec.json.encode(document)
    assert desired_state.decode(data).service_by_name["plain"].warmup_ms
    return data


def check_cold_instance(service, path, tell):
    """Check the requests that VMs send to one instance that becomes cold.

    ``tell`` is called with the deployment, the instance and its responses' headers.
    """

    async def scenario(deployment):
        deployment.store.put("keyed.op", "config", encode_desired_state(4))
        cold = deployment.instances[0]
        for instance in deployment.instances[1:]:
            deployment.store.put("keyed.servers", instance.name, None)
        cold.service = service
        entry = test_entry_vm.encode_entry(cold, sequence=2)
        deployment.store.put("keyed.servers", cold.name, entry)
        loop, arrived_at, extra_headers = asyncio.get_running_loop(), [], []

        async def answer(request):
            arrived_at.append(loop.time())
            response = cold.success(request)
            return response._replace(headers=[*response.headers, *extra_headers])

        cold.handler_by_path[path] = answer
        for name in test_request_limits.VMS:
            await deployment.start_vm(name, path)
        before = await test_request_limits.send_steadily(deployment, path, SETTLING_S)
        assert before.count(200) > 2.0 * MAX_IN_ONE_SECOND
        tell(deployment.store, cold, extra_headers)
        await test_request_limits.send_steadily(deployment, path, SETTLING_S)
        arrived_at.clear()
        left_s = WARMUP_S - SETTLING_S
        await test_request_limits.send_steadily(deployment, path, left_s)
        assert arrived_at
        assert (
            max(
                sum(start <= at < start + 1.0 for at in arrived_at)
                for start in arrived_at
            )
            <= MAX_IN_ONE_SECOND
        )

    test_crashing_requests.run_scenario(scenario)


def tell_by_entry(store, cold, extra_headers):
    entry = test_entry_vm.encode_entry(cold, sequence=3, warmup_left_s=2 * WARMUP_S)
    store.put("keyed.servers", cold.name, entry)


def tell_by_answers(store, cold, extra_headers):
    extra_headers.append((b"warmup-ms", b"%d" % (2_000.0 * WARMUP_S)))


def test_cold_instance_is_held_to_its_bound_by_all_vms():
    """VMs that each keep to the bound exceed it together."""
    check_cold_instance("plain", "/plain/x", tell_by_entry)


def test_cold_holder_of_keys_is_held_to_its_bound_by_all_vms():
    """Requests for keys reach their holder from each VM directly."""
    check_cold_instance("keyed", "/keyed/x", tell_by_answers)


def test_health_path_says_how_long_an_instance_stays_cold():
    """The registry entry comes late, or not at all while the store is away."""

    async def scenario(store, plain, keyed, vm_settings, vm):
        store.put("keyed.op", "config", encode_desired_state(4))
        await test_entry_vm.wait_until(
            test_entry_vm.check_served(vm_settings, "/plain/x")
        )

        async def report(request):
            warmup = (headers.HEADER_FORMAT.warmup_left, b"2500")
            return messages.HttpResponse(200, b"OK", [warmup], b"")

        plain.handler_by_path["/health"] = report
        instance = plain.registered_instance()
        now_ms = 1000.0 * asyncio.get_running_loop().time()
        limits = vm._paced_limits
        limits.on_recovery(instance, now_ms)

        async def is_cold():
            return limits.cold_since(instance, now_ms) is not None

        await test_entry_vm.wait_until(is_cold)

    test_entry_vm.run_scenario(scenario)

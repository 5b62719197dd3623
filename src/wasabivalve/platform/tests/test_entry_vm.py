"""Guard the whole path of a VM against stand-ins of the store and of instances."""

import asyncio

import msgspec
import pytest

from wasabivalve import rendezvous
from wasabivalve.gateway import messages
from wasabivalve.key_leases import leases
from wasabivalve.platform import core, grants, settings
from wasabivalve.platform.tests import instance_stand_in, ports, store_stand_in
from wasabivalve.vm_link import vm_directory

PATIENCE_S = 8.0
"""Time for a step; starting takes well under a second."""


def build_settings(name, store_port):
    local = [settings.Address("127.0.0.1", port) for port in ports.free_ports(4)]
    return settings.Settings(
        vm=name,
        data_centre="east",
        region_by_data_centre={"east": "coast"},
        callers=local[0],
        readiness=local[1],
        store=settings.Address("127.0.0.1", store_port),
        link=local[2],
        link_mbps=100.0,
        metrics=local[3],
        grace_ms=2_000.0,
        repeat_share=0.2,
        repeat_window_ms=10_000.0,
        repeat_allowance=50.0,
        hold_max_ms=10_000.0,
        group_ttl_ms=1_000.0,
    )


def operator_state(version):
    def spec(prefix, service):
        return {
            "host": "h",
            "path_prefix": prefix,
            "kind": "safe",
            "timeout_s": 1,
            "target_latency_s": 0.3,
            "priority": 1,
            "service": service,
            "max_attempts": 2,
        }

    limits = {
        "max_header_bytes": 9_000,
        "max_body_bytes": 9_000,
        "header_timeout_s": 3,
        "idle_timeout_s": 15,
    }
    rows = [
        ("routes", "plain", spec("/plain/", "plain")),
        ("routes", "keyed", spec("/keyed/", "keyed")),
        ("services", "plain", {"max_connections": 100}),
        ("services", "keyed", {"max_connections": 100, "sharded": True}),
        ("limits", "", limits),
    ]
    resources = [
        {"resource_kind": kind, "metadata": {"name": name}, "spec": spec}
        for kind, name, spec in rows
    ]
    return msgspec.json.encode({"version": version, "resources": resources})


def entry(instance, **changes):
    document = {
        "service": instance.service,
        "address": f"127.0.0.1:{instance.port}",
        "zone": "east",
        "version": "v1",
        "slots": 2,
        "state": "ready",
        "warmup_left_s": 0,
        "sequence": 1,
        "born": 1,
    }
    return msgspec.json.encode({**document, **changes})


async def ask(address, path, headers=""):
    """Return the status and body of a request, or None if nobody listens."""
    try:
        reader, writer = await asyncio.open_connection(*address)
    except OSError:
        return None
    writer.write(
        f"GET {path} HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n{headers}"
        "Connection: close\r\n\r\n".encode()
    )
    data = await reader.read()
    writer.close()
    head, _, body = data.partition(b"\r\n\r\n")
    return int(head.split()[1]), body


async def until(condition):
    """Wait until a coroutine function returns a true value."""
    async with asyncio.timeout(PATIENCE_S):
        while not await condition():
            await asyncio.sleep(0.05)


def serves(loaded, path, headers=""):
    """Return a coroutine function that tells whether a VM answers a request."""

    async def served():
        return await ask(loaded.callers, path, headers) == (200, b"done")

    return served


def play(scenario):
    async def main():
        store = store_stand_in.StoreStandIn()
        await store.start()
        plain = instance_stand_in.InstanceStandIn("i-plain", "plain")
        keyed = instance_stand_in.InstanceStandIn("i-keyed", "keyed")
        for one in (plain, keyed):
            await one.start()
            store.put("keyed.servers", one.name, entry(one))
        loaded = build_settings("vm-1", store.port)
        vm = core.EntryVM(loaded)
        await vm.start()
        try:
            await scenario(store, plain, keyed, loaded, vm)
        finally:
            await vm.close()
            for one in (plain, keyed, store):
                one.close()

    asyncio.run(main())


def test_requests_are_served_once_the_store_tells_all():
    """A VM says ready only when it knows routes and instances, and then serves."""

    async def scenario(store, plain, keyed, loaded, vm):
        assert (await ask(loaded.readiness, "/api/readiness"))[0] == 503
        assert (await ask(loaded.callers, "/plain/x"))[0] == 503
        store.put("keyed.op", "config", operator_state(3))

        async def ready():
            return (await ask(loaded.readiness, "/api/readiness"))[0] == 200

        await until(ready)
        assert await ask(loaded.callers, "/plain/x") == (200, b"done")
        sent = plain.seen[-1]
        assert sent.header(b"expected-instance") == b"i-plain"
        assert (await ask(loaded.callers, "/other/x"))[0] == 404

    play(scenario)


def test_keys_are_granted_and_requests_reach_their_holder():
    """Until an instance is granted keys it serves no one."""

    async def scenario(store, plain, keyed, loaded, vm):
        store.put("keyed.op", "config", operator_state(3))

        served = serves(loaded, "/keyed/x", "Shard-Key: 77\r\n")
        await until(served)
        first = keyed.grants[0]
        assert (first["from"], first["target"]) == (0, 65_535)
        assert store.records_by_topic["keyed.wasabivalve.keys"]

    play(scenario)


def test_desired_state_never_goes_back_and_bad_ones_are_kept_out():
    """A stale or malformed document must not replace the one in force."""

    async def scenario(store, plain, keyed, loaded, vm):
        store.put("keyed.op", "config", operator_state(3))

        served = serves(loaded, "/plain/x")
        await until(served)
        store.put("keyed.op", "config", b"{")
        store.put("keyed.op", "config", operator_state(2))
        store.put("keyed.servers", "forged", b'{"service": 1}')
        await asyncio.sleep(0.5)
        assert vm._state.version == 3
        assert await served()

    play(scenario)


def test_draining_instance_gets_no_request():
    """An instance that leaves cuts what reaches it too late."""

    async def scenario(store, plain, keyed, loaded, vm):
        store.put("keyed.op", "config", operator_state(3))

        served = serves(loaded, "/plain/x")
        await until(served)
        leaving = entry(plain, state="draining", sequence=2)
        store.put("keyed.servers", "i-plain", leaving)

        async def refused():
            return (await ask(loaded.callers, "/plain/x"))[0] == 503

        await until(refused)
        count = len(plain.seen)
        assert (await ask(loaded.callers, "/plain/x"))[0] == 503
        assert len(plain.seen) == count

    play(scenario)


def test_store_outage_keeps_a_vm_serving():
    """What is known must do while the store is away."""

    async def scenario(store, plain, keyed, loaded, vm):
        store.put("keyed.op", "config", operator_state(3))

        served = serves(loaded, "/plain/x")
        await until(served)
        store.refusing = True
        await asyncio.sleep(1.5)
        assert await served()
        assert (await ask(loaded.readiness, "/api/readiness"))[0] == 200

    play(scenario)


def test_metrics_count_requests():
    """An on-call engineer needs the figures at the address that deploy names."""

    async def scenario(store, plain, keyed, loaded, vm):
        store.put("keyed.op", "config", operator_state(3))

        served = serves(loaded, "/plain/x")
        await until(served)
        _, text = await ask(loaded.metrics, "/metrics")
        assert b'wasabivalve_request_done_total{kind="200"}' in text

    play(scenario)


def test_second_vm_follows_the_relays_of_the_controller():
    """VMs that all poll the store pay for it; changes must reach them all the same."""

    async def scenario(store, plain, keyed, loaded, vm):
        store.put("keyed.op", "config", operator_state(3))
        other_settings = build_settings("vm-2", store.port)
        other = core.EntryVM(other_settings)
        await other.start()

        async def both_served():
            answers = [
                await ask(one.callers, "/keyed/x", "Shard-Key: 77\r\n")
                for one in (loaded, other_settings)
            ]
            return answers == [(200, b"done")] * 2

        try:
            await until(both_served)
            await asyncio.sleep(3.5)
            reads = sum(1 for path, _ in store.calls if path.endswith("log-read"))
            await asyncio.sleep(2.0)
            more = sum(1 for path, _ in store.calls if path.endswith("log-read"))
            # The controller alone reads instances each 0.6 s and waits on three topics.
            assert more - reads <= 10
            store.put("keyed.op", "config", operator_state(9))

            async def in_force():
                return vm._state.version == other._state.version == 9

            await until(in_force)
        finally:
            await other.close()

    play(scenario)


def test_stopping_controller_renews_while_the_store_is_away():
    """No other VM can take over during an outage, and keys lapse after 4 s."""

    async def scenario(store, plain, keyed, loaded, vm):
        store.put("keyed.op", "config", operator_state(3))

        served = serves(loaded, "/keyed/x", "Shard-Key: 77\r\n")
        await until(served)
        store.refusing = True
        # A request in work keeps the VM from ending before its grace time.
        release = asyncio.Event()

        async def wait(request):
            await release.wait()
            return plain.success(request)

        plain.behaviour["/plain/slow"] = wait
        slow = asyncio.create_task(ask(loaded.callers, "/plain/slow"))
        await asyncio.sleep(0.1)
        stop = asyncio.create_task(vm.close())
        await asyncio.sleep(0.05)
        before = len(keyed.grants)
        await asyncio.sleep(1.25)
        renewed = len(keyed.grants) > before
        release.set()
        await asyncio.gather(stop, slow)
        assert renewed

    play(scenario)


def other_name(first):
    """Return a name of a VM that is a source of copies before vm-1, or behind it."""
    for number in range(2, 99):
        name = f"vm-{number}"
        ranked = rendezvous.rank_names(vm_directory.RELAY_ORDER_KEY, ("vm-1", name))
        if (ranked[0] == name) == first:
            return name
    raise AssertionError("no such name")


@pytest.mark.parametrize("first", [True, False])
def test_desired_state_is_found_behind_dropped_history(first):
    """VMs copied the same old state from each other for as long as they ran."""

    async def scenario(store, plain, keyed, loaded, vm):
        store.put("keyed.op", "config", operator_state(3))
        other_settings = build_settings(other_name(first), store.port)
        other = core.EntryVM(other_settings)
        await other.start()

        async def in_force(version):
            states = [one._state for one in (vm, other)]
            return all(state and state.version == version for state in states)

        try:
            await until(lambda: in_force(3))
            # By then only the controller reads; it finds that the record is deleted.
            await asyncio.sleep(2.5)
            # Were it to ask a VM that follows its relays, both would wait for ever.
            leaders = [one for one in (vm, other) if one._controller.is_leader]
            assert [list(one._copies._sources()) for one in leaders] == [[]]
            store.trim("keyed.op", 2)
            store.put("keyed.op", "config", operator_state(9))
            await until(lambda: in_force(9))
        finally:
            await other.close()

    play(scenario)


def test_orders_for_an_instance_that_has_ended_say_so():
    """Another instance at its address answers that it is not the one named."""

    async def main():
        other = instance_stand_in.InstanceStandIn("i-other")

        async def refuse(request):
            return messages.HttpResponse(421, b"", [(b"instance-id", b"i-other")], b"")

        other.handle = refuse
        await other.start()
        orders = grants.Orders(lambda service: "/health")
        ended = other.entry(id="i-ended")
        granted = await orders.grant(ended, 0, 9, 1, 4.0, None, 500.0)
        released = await orders.release(ended, 0, 9, 1, 500.0)
        assert (granted, released) == ("gone", leases.ReleaseResult(None, ended=True))

        async def reject(request):
            name = b"i-other" if request.path == "/health" else b""
            return messages.HttpResponse(400, b"", [(b"instance-id", name)], b"")

        other.handle = reject
        assert await orders.grant(ended, 0, 9, 1, 4.0, None, 500.0) == "gone"
        present = other.entry(id="i-other")
        assert await orders.grant(present, 0, 9, 1, 4.0, None, 500.0) == "rejected"
        orders.close()
        other.close()

    asyncio.run(main())

"""Test a whole entry VM against stand-ins of the store and of instances."""

import asyncio

import msgspec
import pytest

from wasabivalve import rendezvous
from wasabivalve.gateway import messages, receiving
from wasabivalve.key_leases import leases
from wasabivalve.platform import core, grants, settings
from wasabivalve.platform.tests import instance_stand_in, ports, store_stand_in
from wasabivalve.vm_link import vm_directory

STEP_TIMEOUT_S = 8.0
"""Timeout of a step of a scenario; starting a VM takes well under a second."""


def build_settings(name, store_port):
    addresses = [settings.HostPort("127.0.0.1", port) for port in ports.free_ports(4)]
    return settings.VmSettings(
        vm=name,
        data_centre="east",
        region_by_data_centre={"east": "coast"},
        caller_listen_address=addresses[0],
        readiness_listen_address=addresses[1],
        store_address=settings.HostPort("127.0.0.1", store_port),
        vm_link_address=addresses[2],
        link_mbps=100.0,
        message_limits=receiving.DEFAULT_LIMITS,
        receive_buffer_bytes=32 * receiving.MIB,
        metrics_listen_address=addresses[3],
        grace_ms=2_000.0,
        retry_share=0.2,
        retry_window_ms=10_000.0,
        retry_allowance=50.0,
        max_lease_ms=10_000.0,
        max_staleness_ms=2_500.0,
        min_group_ttl_ms=1_000.0,
    )


def encode_desired_state(version, timeout_s=1):
    def spec(prefix, service):
        return {
            "host": "h",
            "path_prefix": prefix,
            "kind": "safe",
            "timeout_s": timeout_s,
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


def encode_entry(instance, **changes):
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


async def send_request(address, path, headers="", local_host="127.0.0.1"):
    """Return the status and body of a response, or None if the connection fails."""
    try:
        reader, writer = await asyncio.open_connection(
            *address, local_addr=(local_host, 0)
        )
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


async def wait_until(condition):
    """Wait until a coroutine function returns a true value."""
    async with asyncio.timeout(STEP_TIMEOUT_S):
        while not await condition():
            await asyncio.sleep(0.05)


def check_served(vm_settings, path, headers=""):
    """Return a coroutine function that checks whether a VM serves a request."""

    async def served():
        return await send_request(vm_settings.caller_listen_address, path, headers) == (
            200,
            b"done",
        )

    return served


def run_scenario(scenario):
    async def main():
        store = store_stand_in.StoreStandIn()
        await store.start()
        plain = instance_stand_in.InstanceStandIn("i-plain", "plain")
        keyed = instance_stand_in.InstanceStandIn("i-keyed", "keyed")
        for instance in (plain, keyed):
            await instance.start()
            store.put("keyed.servers", instance.name, encode_entry(instance))
        vm_settings = build_settings("vm-1", store.port)
        vm = core.EntryVM(vm_settings)
        await vm.start()
        try:
            await scenario(store, plain, keyed, vm_settings, vm)
        finally:
            await vm.close()
            for stand_in in (plain, keyed, store):
                stand_in.close()

    asyncio.run(main())


def test_requests_are_served_once_routes_and_instances_are_known():
    """A VM that is ready too early receives requests that it can't route."""

    async def scenario(store, plain, keyed, vm_settings, vm):
        assert (
            await send_request(vm_settings.readiness_listen_address, "/api/readiness")
        )[0] == 503
        assert (await send_request(vm_settings.caller_listen_address, "/plain/x"))[
            0
        ] == 503
        store.put("keyed.op", "config", encode_desired_state(3))

        async def ready():
            return (
                await send_request(
                    vm_settings.readiness_listen_address, "/api/readiness"
                )
            )[0] == 200

        await wait_until(ready)
        assert await send_request(vm_settings.caller_listen_address, "/plain/x") == (
            200,
            b"done",
        )
        sent = plain.received_requests[-1]
        assert sent.header(b"expected-instance") == b"i-plain"
        assert (await send_request(vm_settings.caller_listen_address, "/other/x"))[
            0
        ] == 404

    run_scenario(scenario)


def test_keys_are_granted_and_requests_reach_their_holder():
    """An instance that is granted no keys refuses all requests for them."""

    async def scenario(store, plain, keyed, vm_settings, vm):
        store.put("keyed.op", "config", encode_desired_state(3))

        served = check_served(vm_settings, "/keyed/x", "Shard-Key: 77\r\n")
        await wait_until(served)
        grant = keyed.grants[0]
        assert (grant["from"], grant["target"]) == (0, 65_535)
        assert store.records_by_topic["keyed.wasabivalve.keys"]

    run_scenario(scenario)


def test_stale_and_malformed_desired_states_are_ignored():
    """A stale or malformed document must not replace the one in force."""

    async def scenario(store, plain, keyed, vm_settings, vm):
        store.put("keyed.op", "config", encode_desired_state(3))

        served = check_served(vm_settings, "/plain/x")
        await wait_until(served)
        store.put("keyed.op", "config", b"{")
        store.put("keyed.op", "config", encode_desired_state(2))
        store.put("keyed.servers", "forged", b'{"service": 1}')
        await asyncio.sleep(0.5)
        assert vm._desired_state.version == 3
        assert await served()

    run_scenario(scenario)


def test_draining_instance_gets_no_request():
    """An instance that stops cuts the requests that reach it too late."""

    async def scenario(store, plain, keyed, vm_settings, vm):
        store.put("keyed.op", "config", encode_desired_state(3))

        served = check_served(vm_settings, "/plain/x")
        await wait_until(served)
        draining_entry = encode_entry(plain, state="draining", sequence=2)
        store.put("keyed.servers", "i-plain", draining_entry)

        async def refused():
            return (await send_request(vm_settings.caller_listen_address, "/plain/x"))[
                0
            ] == 503

        await wait_until(refused)
        count = len(plain.received_requests)
        assert (await send_request(vm_settings.caller_listen_address, "/plain/x"))[
            0
        ] == 503
        assert len(plain.received_requests) == count

    run_scenario(scenario)


def test_store_outage_keeps_a_vm_serving():
    """During a store outage a VM must serve with the state that it already has."""

    async def scenario(store, plain, keyed, vm_settings, vm):
        store.put("keyed.op", "config", encode_desired_state(3))

        served = check_served(vm_settings, "/plain/x")
        await wait_until(served)
        store.refuses_calls = True
        await asyncio.sleep(1.5)
        assert await served()
        assert (
            await send_request(vm_settings.readiness_listen_address, "/api/readiness")
        )[0] == 200

    run_scenario(scenario)


def test_metrics_count_requests():
    """The metrics must be served at the address that the deploy file announces."""

    async def scenario(store, plain, keyed, vm_settings, vm):
        store.put("keyed.op", "config", encode_desired_state(3))

        served = check_served(vm_settings, "/plain/x")
        await wait_until(served)
        _, text = await send_request(vm_settings.metrics_listen_address, "/metrics")
        assert b'wasabivalve_request_done_total{kind="200"}' in text

    run_scenario(scenario)


def test_second_vm_follows_the_relays_of_the_controller():
    """Calls to the store are billed, so only the controller polls it.

    Changes must reach the other VMs nevertheless.
    """

    async def scenario(store, plain, keyed, vm_settings, vm):
        store.put("keyed.op", "config", encode_desired_state(3))
        other_settings = build_settings("vm-2", store.port)
        other = core.EntryVM(other_settings)
        await other.start()

        async def both_served():
            responses = [
                await send_request(
                    each_settings.caller_listen_address, "/keyed/x", "Shard-Key: 77\r\n"
                )
                for each_settings in (vm_settings, other_settings)
            ]
            return responses == [(200, b"done")] * 2

        try:
            await wait_until(both_served)
            await asyncio.sleep(3.5)
            read_count = sum(1 for path, _ in store.calls if path.endswith("log-read"))
            await asyncio.sleep(2.0)
            later_count = sum(1 for path, _ in store.calls if path.endswith("log-read"))
            # Only the controller reads instances every 0.6 s and waits on three topics.
            assert later_count - read_count <= 10
            store.put("keyed.op", "config", encode_desired_state(9))

            async def in_force():
                return vm._desired_state.version == other._desired_state.version == 9

            await wait_until(in_force)
        finally:
            await other.close()

    run_scenario(scenario)


def test_stopping_controller_renews_while_the_store_is_away():
    """During a store outage no other VM can take over, and leases expire after 4 s."""

    async def scenario(store, plain, keyed, vm_settings, vm):
        store.put("keyed.op", "config", encode_desired_state(3))

        served = check_served(vm_settings, "/keyed/x", "Shard-Key: 77\r\n")
        await wait_until(served)
        store.refuses_calls = True
        # A request in progress keeps the VM from stopping before its grace period ends.
        release = asyncio.Event()

        async def wait(request):
            await release.wait()
            return plain.success(request)

        plain.handler_by_path["/plain/slow"] = wait
        slow = asyncio.create_task(
            send_request(vm_settings.caller_listen_address, "/plain/slow")
        )
        await asyncio.sleep(0.1)
        stop = asyncio.create_task(vm.close())
        await asyncio.sleep(0.05)
        grant_count = len(keyed.grants)
        await asyncio.sleep(1.25)
        renewed = len(keyed.grants) > grant_count
        release.set()
        await asyncio.gather(stop, slow)
        assert renewed

    run_scenario(scenario)


def find_vm_name(ranked_first):
    """Return a VM name that is before or behind vm-1 in the order of copy sources."""
    for number in range(2, 99):
        name = f"vm-{number}"
        ranked = rendezvous.rank_names(vm_directory.RELAY_ORDER_KEY, ("vm-1", name))
        if (ranked[0] == name) == ranked_first:
            return name
    raise AssertionError("no VM name with the wanted relay order")


@pytest.mark.parametrize("ranked_first", [True, False])
def test_new_desired_state_is_read_after_trimmed_records(ranked_first):
    """VMs must not copy an outdated state from each other after a trim of the topic.

    VMs that did so got the same old state until they were stopped.
    """

    async def scenario(store, plain, keyed, vm_settings, vm):
        store.put("keyed.op", "config", encode_desired_state(3))
        other_settings = build_settings(find_vm_name(ranked_first), store.port)
        other = core.EntryVM(other_settings)
        await other.start()

        async def in_force(version):
            states = [entry_vm._desired_state for entry_vm in (vm, other)]
            return all(state and state.version == version for state in states)

        try:
            await wait_until(lambda: in_force(3))
            # Then only the controller reads; it finds that the record is deleted.
            await asyncio.sleep(2.5)
            # If it asked a VM that follows its relays, both would wait forever.
            leaders = [
                entry_vm
                for entry_vm in (vm, other)
                if entry_vm._controller.is_controller
            ]
            assert [list(leader._copies._sources()) for leader in leaders] == [[]]
            store.trim("keyed.op", 2)
            store.put("keyed.op", "config", encode_desired_state(9))
            await wait_until(lambda: in_force(9))
        finally:
            await other.close()

    run_scenario(scenario)


def test_command_for_an_ended_instance_reports_its_end():
    """A reused address must not hide that the addressed instance has ended.

    The other instance at its address responds that it isn't the one named.
    """

    async def main():
        other = instance_stand_in.InstanceStandIn("i-other")

        async def refuse(request):
            return messages.HttpResponse(421, b"", [(b"instance-id", b"i-other")], b"")

        other.handle = refuse
        await other.start()
        grant_client = grants.GrantClient(lambda service: "/health")
        ended = other.registered_instance(id="i-ended")
        granted = await grant_client.grant(ended, 0, 9, 1, 4.0, None, 500.0)
        released = await grant_client.release(ended, 0, 9, 1, 500.0)
        assert (granted, released) == ("gone", leases.ReleaseResult(None, ended=True))

        async def reject(request):
            name = b"i-other" if request.path == "/health" else b""
            return messages.HttpResponse(400, b"", [(b"instance-id", name)], b"")

        other.handle = reject
        assert await grant_client.grant(ended, 0, 9, 1, 4.0, None, 500.0) == "gone"
        present = other.registered_instance(id="i-other")
        assert (
            await grant_client.grant(present, 0, 9, 1, 4.0, None, 500.0) == "rejected"
        )
        grant_client.close()
        other.close()

    asyncio.run(main())


def test_fencing_grant_is_not_confirmed_by_a_copy_of_an_earlier_answer():
    """An instance that had left took its keys back by a late grant (OWNER)."""

    async def serve(reader, writer):
        answers = iter((b"200 OK", b"200 OK"))
        if connections:
            answers = iter((b"409 Conflict",))
        connections.append(writer)
        for status in answers:
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            length = head.partition(b"content-length: ")[2].partition(b"\r\n")[0]
            await reader.readexactly(int(length))
            # The second one on a connection is a copy of the first.
            writer.write(b"HTTP/1.1 " + status + b"\r\ncontent-length: 0\r\n\r\n")

    connections = []

    async def main():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        instance = instance_stand_in.InstanceStandIn("i-1").registered_instance(
            port=port
        )
        grant_client = grants.GrantClient(lambda service: "")
        arguments = (instance, 0, 9, 1, 4.0, None, 500.0)
        assert await grant_client.grant(*arguments) == "granted"
        assert await grant_client.grant(*arguments, is_fencing=True) == "refused"
        grant_client.close()
        server.close()

    asyncio.run(main())

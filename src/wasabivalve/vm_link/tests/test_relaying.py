"""Test relays, document copies and load messages between VMs."""

import asyncio
import itertools

import msgspec
import pytest

from wasabivalve.gateway import messages
from wasabivalve.key_leases import core as key_leases
from wasabivalve.key_leases import key_loads, view
from wasabivalve.keyed_log import core as keyed_log
from wasabivalve.placement import core as placement
from wasabivalve.placement import service_times
from wasabivalve.vm_link import copies, core, exchange, vm_directory

TOPOLOGY = placement.Topology(
    "east", {"east": "coast", "west": "coast", "far": "inland"}
)
TOPIC = "keyed.states"
RECORD = keyed_log.Record(7, "config", b"routes " * 10_000)


def vm_record(name, data_centre="east", link_mbps=10.0, port=1):
    entry = vm_directory.VmRegistration("127.0.0.1", port, data_centre, link_mbps)
    return keyed_log.Record(0, name, msgspec.json.encode(entry))


def build_directory(name, vms, own_data_centre="east"):
    link_mbps = vms.get(name, 10.0)
    directory = vm_directory.VmDirectory(
        name,
        vm_directory.VmRegistration("127.0.0.1", 1, own_data_centre, link_mbps),
        TOPOLOGY,
    )
    for port, (vm, link_mbps) in enumerate(vms.items(), 1):
        directory.on_record(vm_record(vm, "west", link_mbps, port))
    directory.on_record(vm_record("vm-far", "far", 1_000.0, 99))
    return directory


def test_fastest_links_of_the_region_come_first():
    """A source with a slow link would delay the whole region."""
    vms = {f"vm-{number}": 5.0 for number in range(30)} | {"vm-fast": 100.0}
    orders = {build_directory(vm, vms).region_vms() for vm in vms}
    assert len(orders) == 1
    order = orders.pop()
    assert order[0] == "vm-fast"
    assert "vm-far" not in order and len(order) == 31


def test_few_vms_are_sources_and_fetch_from_no_other():
    """Sources that fetch from each other would wait for each other."""
    vms = {f"vm-{number}": 5.0 for number in range(30)}
    addresses_by_vm = {
        vm: build_directory(vm, vms, "west").copy_source_addresses() for vm in vms
    }
    sources = [vm for vm, addresses in addresses_by_vm.items() if not addresses]
    assert len(sources) == 2
    assert all(
        len(addresses) == 2 for vm, addresses in addresses_by_vm.items() if addresses
    )


@pytest.mark.parametrize("value", [b"", b"1.2.3.4:5", b'{"host": 1}'])
def test_invalid_registration_is_ignored(value):
    """A record of another writer must not end the process."""
    directory = build_directory("vm-1", {"vm-1": 5.0})
    assert not directory.on_record(keyed_log.Record(1, "vm-2", value))
    assert "vm-2" not in directory.registration_by_vm


def test_removed_vm_leaves_the_directory():
    """Requests for copies to a removed VM would time out."""
    directory = build_directory("vm-1", {"vm-1": 5.0, "vm-2": 5.0})
    assert directory.on_record(keyed_log.Record(1, "vm-2", None))
    assert directory.region_vms() == ("vm-1",)


def instance_record(number, size=250):
    return keyed_log.Record(number, f"i-{number}", b"x" * size)


@pytest.mark.parametrize("count", [0, 1, 3, 40])
def test_relay_parts_are_contiguous_and_fit_into_a_datagram(count):
    """A relay that exceeds a datagram is dropped; every VM then reads the registry."""
    records = [instance_record(10 + 3 * number) for number in range(count)]
    parts = exchange.split_records(5, 200, records)
    assert parts[0].first == 5 and parts[-1].end == 200
    assert all(a.end == b.first for a, b in itertools.pairwise(parts))
    offsets = [record.offset for part in parts for record in part.records]
    assert offsets == [record.offset for record in records]
    for part in parts:
        assert all(part.first <= record.offset < part.end for record in part.records)
        end_by_topic = {
            "keyed.instances": part.end,
            "keyed.states": 99_999,
            "keyed.wasabivalve.keys": 99_999,
            "keyed.wasabivalve.vms": 99_999,
        }
        relay = core.TopicRelay(
            "front-data-centre-a-100",
            True,
            end_by_topic,
            "keyed.instances",
            part.first,
            part.records,
            99_999,
            99_999,
        )
        assert len(core.encode(relay)) <= core.MAX_MULTICAST_BYTES


class RecordingEndpoint:
    """Record sent messages in place of a socket."""

    def __init__(self):
        self.sent = []

    def send(self, message, address):
        """Record a message and its receiver."""
        self.sent.append((message, address))
        return True


def build_exchange(name, vms, leads, yielded=None):
    yielded = [] if yielded is None else yielded
    vm_exchange = exchange.MessageExchange(
        name,
        build_directory(name, vms),
        exchange.RelayTopics("servers", "assignment-log", "vms"),
        view.KeyView(),
        key_loads.KeyLoads(),
        service_times.ServiceTimes(),
        exchange.ExchangeCallbacks(
            lambda: leads,
            lambda: None,
            lambda term: term > 4,
            lambda vm, term, left: yielded.append((vm, term, left)),
            lambda: {"i-1": 20.0},
            lambda vm, counts: None,
            lambda message: None,
            lambda facts: None,
            lambda: None,
            lambda elapsed_ms: None,
        ),
    )
    vm_exchange._endpoint = RecordingEndpoint()
    return vm_exchange


def test_only_controller_and_first_vms_of_a_region_relay():
    """While no controller relays, 90 VMs that all read the store overload a link."""

    async def main():
        vms = {f"vm-{number}": 5.0 for number in range(10)}
        receivers_by_vm = {}
        for vm in vms:
            vm_exchange = build_exchange(vm, vms, leads=False)
            vm_exchange.relay("servers", 0, 4, [])
            receivers_by_vm[vm] = {address for _, address in vm_exchange._endpoint.sent}
        relaying = [vm for vm, addresses in receivers_by_vm.items() if addresses]
        assert sorted(relaying) == sorted(build_directory("vm-0", vms).region_vms()[:2])
        far_address = ("127.0.0.1", 99)
        assert not any(far_address in receivers_by_vm[vm] for vm in relaying)
        controller = build_exchange("vm-0", vms, leads=True)
        controller.relay("servers", 0, 4, [])
        receivers = [address for _, address in controller._endpoint.sent]
        assert far_address in receivers

    asyncio.run(main())


def test_only_the_controller_receives_traffic_reports():
    """A VM that relays in place of the controller has no use for them."""

    async def main():
        vms = {"vm-1": 5.0, "vm-2": 5.0, "vm-3": 5.0}
        vm_exchange = build_exchange("vm-1", vms, leads=False)
        for name, leads, port in (("vm-2", True, 2), ("vm-3", False, 3)):
            relay = core.TopicRelay(name, leads, {}, "servers", 0, [], 1, 1)
            vm_exchange._on_message(relay, ("127.0.0.1", port))
        vm_exchange._key_loads.count_request("desk", 5, 0.0)
        vm_exchange.report_traffic()
        assert [address for _, address in vm_exchange._endpoint.sent] == [
            ("127.0.0.1", 2)
        ]

    asyncio.run(main())


async def serve_copies(ports):
    source = copies.DocumentCopies([TOPIC], list)
    await source.start("127.0.0.1", 0)
    ports.append(source._server.sockets[0].getsockname()[1])
    return source


def test_copy_is_compressed_and_equals_the_original():
    """Uncompressed states of 300 KB for each VM would overload a 5 Mbit/s link."""

    async def main():
        ports = []
        source = await serve_copies(ports)
        source.put(TOPIC, RECORD)
        reader = copies.DocumentCopies([TOPIC], lambda: [("127.0.0.1", ports[0])])
        batch = await reader.fetch_batch(TOPIC, 3)
        assert batch == keyed_log.Batch([RECORD], 8)
        assert len(source._document_by_topic[TOPIC].compressed) < len(RECORD.value) / 10
        source.close()

    asyncio.run(main())


def test_source_waits_for_a_document_that_it_is_reading():
    """All VMs learn of a new version at the same time, including the source."""

    async def main():
        ports = []
        source = await serve_copies(ports)
        reader = copies.DocumentCopies([TOPIC], lambda: [("127.0.0.1", ports[0])])
        fetch = asyncio.create_task(reader.fetch_batch(TOPIC, 7))
        await asyncio.sleep(0.05)
        source.put(TOPIC, RECORD)
        assert (await fetch).records == [RECORD]
        source.close()

    asyncio.run(main())


def test_second_source_is_asked_when_the_first_does_not_answer():
    """The first source may be down; the store is read only if all sources fail."""

    async def main():
        ports = []
        source = await serve_copies(ports)
        source.put(TOPIC, RECORD)
        reader = copies.DocumentCopies(
            [TOPIC], lambda: [("127.0.0.1", 1), ("127.0.0.1", ports[0])]
        )
        assert (await reader.fetch_batch(TOPIC, 7)).records == [RECORD]
        source.close()
        assert (
            await copies.DocumentCopies(
                [TOPIC], lambda: [("127.0.0.1", 1)]
            ).fetch_batch(TOPIC, 7)
            is None
        )

    asyncio.run(main())


def test_sources_without_a_copy_are_not_asked_again_at_once():
    """Two waits for copies took 2 of the 3 s in which a state must be in force."""

    async def main():
        ports = []
        source = await serve_copies(ports)
        reader = copies.DocumentCopies([TOPIC], lambda: [("127.0.0.1", ports[0])])
        loop = asyncio.get_running_loop()
        assert await reader.fetch_batch(TOPIC, 5) is None
        asked_at = loop.time()
        assert await reader.fetch_listing(TOPIC, 6) is None
        waited_s = loop.time() - asked_at
        # New records still come from the source.
        source.put(TOPIC, RECORD)
        assert (await reader.fetch_batch(TOPIC, 7)).records == [RECORD]
        source.close()
        return waited_s

    assert asyncio.run(main()) < 0.5 * copies.SOURCE_WAIT_S


def test_outdated_or_invalid_copy_is_rejected():
    """A follower that accepts an older record would read it repeatedly."""

    async def main():
        ports = []
        source = await serve_copies(ports)
        source.put(TOPIC, RECORD)
        reader = copies.DocumentCopies([TOPIC], lambda: [("127.0.0.1", ports[0])])
        source._document_by_topic[TOPIC].compressed = b"no copy"
        assert await reader.fetch_batch(TOPIC, 7) is None
        assert await reader.fetch_batch(TOPIC, 8) is None
        path = f"/copies/{TOPIC}/x"
        request = messages.HttpRequest(
            b"GET", path.encode(), path, "h", [], b"", True, 0.0
        )
        assert (await source._handle(request)).status == 404
        source.close()

    asyncio.run(main())


def test_starting_vm_fetches_the_newest_copy():
    """After a power loss, 30 VMs read 12 MB over one link and none became ready."""

    async def main():
        ports = []
        source = await serve_copies(ports)
        source.put(TOPIC, RECORD)
        reader = copies.DocumentCopies([TOPIC], lambda: [("127.0.0.1", ports[0])])
        assert await reader.fetch_listing(TOPIC, 0) == keyed_log.Listing([RECORD], 8)
        assert (
            await copies.DocumentCopies([TOPIC], list).fetch_listing(TOPIC, 0) is None
        )
        source.close()

    asyncio.run(main())


def test_copy_holds_the_newest_record_of_each_key():
    """A copy of the newest record alone hid the configuration from starting VMs."""

    async def main():
        ports = []
        source = await serve_copies(ports)
        source.put(TOPIC, RECORD)
        evacuations = [keyed_log.Record(8 + n, f"evacuate/{n}", b"{}") for n in (0, 1)]
        for record in evacuations:
            source.put(TOPIC, record)
        source.put(TOPIC, keyed_log.Record(10, "evacuate/0", None))
        reader = copies.DocumentCopies([TOPIC], lambda: [("127.0.0.1", ports[0])])
        kept = evacuations[1]
        listing = await reader.fetch_listing(TOPIC, 0)
        assert listing == keyed_log.Listing([RECORD, kept], 11)
        # The removal of a key that the reader knows must not be lost.
        batch = await reader.fetch_batch(TOPIC, 9, ["evacuate/0", kept.key])
        removal = keyed_log.Record(10, "evacuate/0", None)
        assert batch == keyed_log.Batch([kept, removal], 11)
        assert await reader.fetch_batch(TOPIC, 10, [kept.key]) is None
        source.close()

    asyncio.run(main())


def test_topic_without_a_record_is_copied():
    """At the start of 195 VMs each asked the store for a desired state to come."""

    async def main():
        ports = []
        source = await serve_copies(ports)
        source.put_listing(TOPIC, keyed_log.Listing([], 5))
        reader = copies.DocumentCopies([TOPIC], lambda: [("127.0.0.1", ports[0])])
        assert await reader.fetch_listing(TOPIC, 0) == keyed_log.Listing([], 5)
        assert await reader.fetch_listing(TOPIC, 6) is None
        assert await reader.fetch_batch(TOPIC, 5) is None
        source.close()

    asyncio.run(main())


def test_source_that_will_not_have_a_record_says_so_at_once():
    """A VM that missed a move of keys must not wait for a copy that never comes."""

    async def main():
        source = copies.DocumentCopies([TOPIC], list, lambda topic: 9)
        await source.start("127.0.0.1", 0)
        port = source._server.sockets[0].getsockname()[1]
        source.put(TOPIC, RECORD)
        reader = copies.DocumentCopies([TOPIC], lambda: [("127.0.0.1", port)])
        started_at = asyncio.get_running_loop().time()
        assert await reader.fetch_batch(TOPIC, 8) is None
        assert asyncio.get_running_loop().time() - started_at < copies.SOURCE_WAIT_S
        source.close()

    asyncio.run(main())


def test_sources_are_spread_and_those_of_the_own_data_centre_come_first():
    """Copies between data centres are paid for, also if a VM nearby has them."""
    registrations = {
        f"vm-{data_centre}-{number}": ("east" if data_centre else "west", number)
        for data_centre in range(2)
        for number in range(36)
    }
    directory = vm_directory.VmDirectory(
        "vm-0-35", vm_directory.VmRegistration("h", 1, "west", 1.0), TOPOLOGY
    )
    for port, (vm, (data_centre, number)) in enumerate(registrations.items()):
        link_mbps = 100.0 if number < 9 and data_centre == "east" else 20.0
        directory.on_record(vm_record(vm, data_centre, link_mbps, port))
    data_centre_by_port = {
        port: data_centre
        for port, (data_centre, _) in enumerate(registrations.values())
    }
    sources = directory.copy_source_addresses()
    assert len(sources) == 3
    data_centres = [data_centre_by_port[port] for _, port in sources]
    assert data_centres[0] == "west" and set(data_centres) == {"west", "east"}


def test_controller_silence_is_measured():
    """Standby VMs detect the silence even while other VMs relay."""

    async def main():
        vm_exchange = build_exchange("vm-1", {"vm-1": 5.0, "vm-2": 5.0}, leads=False)
        vm_exchange._controller_relay_at -= 5.0
        follower_relay = core.TopicRelay("vm-2", False, {}, "servers", 0, [], 1, 1)
        vm_exchange._on_message(follower_relay, ("127.0.0.1", 2))
        assert vm_exchange.controller_silence_s >= 5.0
        controller_relay = core.TopicRelay("vm-2", True, {}, "servers", 0, [], 1, 1)
        vm_exchange._on_message(controller_relay, ("127.0.0.1", 2))
        assert vm_exchange.controller_silence_s < 1.0

    asyncio.run(main())


def test_earlier_controller_confirms_that_it_yields():
    """A successor without a reply waits until all earlier grants have expired."""

    async def main():
        vms = {"vm-1": 5.0, "vm-2": 5.0}
        yielded = []
        successor = build_exchange("vm-1", vms, True, yielded)
        predecessor = build_exchange("vm-2", vms, True)
        successor.send_yield_request("vm-2", 5)
        ((request, address),) = successor._endpoint.sent
        assert address == ("127.0.0.1", 2)
        predecessor._on_message(request, ("127.0.0.1", 1))
        ((reply, _),) = predecessor._endpoint.sent
        successor._on_message(reply, address)
        assert yielded == [("vm-2", 5, {"i-1": 20.0})]
        predecessor._on_message(core.YieldRequest("vm-1", 4), ("127.0.0.1", 1))
        assert len(predecessor._endpoint.sent) == 1

    asyncio.run(main())


def test_in_flight_counts_are_sent_when_they_change():
    """Messages with unchanged counts cost time and bandwidth."""

    async def main():
        vms = {"vm-1": 5.0, "vm-2": 5.0, "vm-3": 5.0}
        vm_exchange = build_exchange("vm-1", vms, leads=False)
        vm_exchange.directory.on_record(vm_record("vm-2", "east", port=2))
        vm_exchange.send_in_flight_counts({})
        assert not vm_exchange._endpoint.sent
        vm_exchange.send_in_flight_counts({"i-1": 2})
        vm_exchange.send_in_flight_counts({"i-1": 2})
        # Only vm-2 is in the same data centre.
        sent = [
            (message.count_by_instance, to)
            for message, to in vm_exchange._endpoint.sent
        ]
        assert sent == [({"i-1": 2}, ("127.0.0.1", 2))]
        counts, at = vm_exchange._sent_by_group[0]
        vm_exchange._sent_by_group[0] = counts, at - exchange.RESEND_INTERVAL_S
        vm_exchange.send_in_flight_counts({"i-1": 2})
        vm_exchange.send_in_flight_counts({})
        vm_exchange.send_in_flight_counts({})
        assert len(vm_exchange._endpoint.sent) == 3

    asyncio.run(main())


def test_many_peers_receive_counts_in_groups():
    """22 messages every 0.1 s on each of 90 VMs took more time than the requests."""

    async def main():
        vms = {f"vm-{number}": 5.0 for number in range(23)}
        vm_exchange = build_exchange("vm-0", vms, leads=False)
        for number in range(1, 23):
            vm_exchange.directory.on_record(
                vm_record(f"vm-{number}", "east", port=number + 1)
            )
        for _ in range(3):
            before = len(vm_exchange._endpoint.sent)
            vm_exchange.send_in_flight_counts({"i-1": 2})
            assert (
                len(vm_exchange._endpoint.sent) - before
                <= exchange.MAX_RECEIVERS_PER_CALL
            )
        assert len({address for _, address in vm_exchange._endpoint.sent}) == 22

    asyncio.run(main())


class RecordingFollower:
    """Record what a relay makes a follower do."""

    def __init__(self):
        self.next_offset = 3
        self.actions = []

    def on_relay(self, first, end, records, validity_s):
        """Record a relay."""
        self.actions.append("read" if first > self.next_offset else "known")

    def extend_relay(self, validity_s):
        """Record that no call is made for a time."""
        self.actions.append("wait")


def test_new_map_is_read_only_if_no_message_brings_it():
    """Each move of a key made 195 VMs read the map that a message also brought them."""

    async def main():
        vm_exchange = build_exchange("vm-1", {"vm-1": 5.0, "vm-2": 5.0}, leads=False)
        follower = RecordingFollower()
        vm_exchange.follower_by_topic = {"assignment-log": follower}
        relay = core.TopicRelay(
            "vm-2", True, {"assignment-log": 9}, "servers", 0, [], 1, 1
        )
        for _ in range(2):
            vm_exchange._on_message(relay, ("127.0.0.1", 2))
        assert follower.actions == ["wait", "wait"]
        vm_exchange._unknown_map_since -= exchange.CONFIRMATION_WAIT_S
        vm_exchange._on_message(relay, ("127.0.0.1", 2))
        assert follower.actions[2:] == ["read"]
        vm_exchange._key_view.on_assignment_map(
            key_leases.AssignmentMap(1, "vm-2", "w", 1, {})
        )
        vm_exchange._on_message(relay, ("127.0.0.1", 2))
        assert follower.actions[3:] == ["known"]

    asyncio.run(main())

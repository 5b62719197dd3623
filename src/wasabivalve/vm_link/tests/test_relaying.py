"""Guard how VMs share what one of them has read."""

import asyncio
import itertools

import msgspec
import pytest

from wasabivalve.gateway import messages
from wasabivalve.key_leases import key_loads, view
from wasabivalve.keyed_log import core as keyed_log
from wasabivalve.placement import core as placement
from wasabivalve.placement import service_times
from wasabivalve.vm_link import copies, core, exchange, vm_directory

PLACES = placement.Topology("east", {"east": "coast", "west": "coast", "far": "inland"})
RECORD = keyed_log.Record(7, "config", b"routes " * 10_000)


def vm_record(name, data_centre="east", link_mbps=10.0, port=1):
    entry = vm_directory.VmRegistration("127.0.0.1", port, data_centre, link_mbps)
    return keyed_log.Record(0, name, msgspec.json.encode(entry))


def build_directory(name, vms):
    built = vm_directory.VmDirectory(
        name,
        vm_directory.VmRegistration("127.0.0.1", 1, "east", vms.get(name, 10.0)),
        PLACES,
    )
    for port, (vm, link_mbps) in enumerate(vms.items(), 1):
        built.on_record(vm_record(vm, "west", link_mbps, port))
    built.on_record(vm_record("vm-far", "far", 1_000.0, 99))
    return built


def test_fastest_links_of_the_region_come_first():
    """A source behind a slow link delays a whole region."""
    vms = {f"vm-{number}": 5.0 for number in range(30)} | {"vm-fast": 100.0}
    orders = {build_directory(vm, vms).region_vms() for vm in vms}
    assert len(orders) == 1
    order = orders.pop()
    assert order[0] == "vm-fast"
    assert "vm-far" not in order and len(order) == 31


def test_few_vms_are_sources_and_they_ask_no_one():
    """Sources that ask each other would wait for each other."""
    vms = {f"vm-{number}": 5.0 for number in range(30)}
    asked = {vm: build_directory(vm, vms).copy_source_addresses() for vm in vms}
    sources = [vm for vm, addresses in asked.items() if not addresses]
    assert len(sources) == 2
    assert all(len(addresses) == 2 for vm, addresses in asked.items() if addresses)


@pytest.mark.parametrize("value", [b"", b"1.2.3.4:5", b'{"host": 1}'])
def test_unreadable_registration_is_left_out(value):
    """An entry of another writer must not end the process."""
    built = build_directory("vm-1", {"vm-1": 5.0})
    assert not built.on_record(keyed_log.Record(1, "vm-2", value))
    assert "vm-2" not in built.registration_by_vm


def test_removed_vm_is_forgotten():
    """Requests for copies to a machine that is gone cost time."""
    built = build_directory("vm-1", {"vm-1": 5.0, "vm-2": 5.0})
    assert built.on_record(keyed_log.Record(1, "vm-2", None))
    assert built.region_vms() == ("vm-1",)


def entry_of(number, size=250):
    return keyed_log.Record(number, f"i-{number}", b"x" * size)


@pytest.mark.parametrize("count", [0, 1, 3, 40])
def test_relayed_parts_leave_no_gap_and_fit(count):
    """One large relay was dropped, and every VM then read the registry itself."""
    records = [entry_of(10 + 3 * number) for number in range(count)]
    parts = exchange.split_records(5, 200, records)
    assert parts[0].first == 5 and parts[-1].end == 200
    assert all(a.end == b.first for a, b in itertools.pairwise(parts))
    offsets = [one.offset for part in parts for one in part.records]
    assert offsets == [one.offset for one in records]
    for part in parts:
        assert all(part.first <= one.offset < part.end for one in part.records)
        ends = {"instances.all": part.end, "states": 9, "keyed.wasabivalve.keys": 9}
        relay = core.TopicRelay("vm", True, ends, "t", part.first, part.records, 1, 1)
        assert len(core.encode(relay)) <= core.MAX_DATAGRAM_BYTES


class SentMessages:
    """Take the place of the socket."""

    def __init__(self):
        self.sent = []

    def send(self, message, address):
        """Note a message."""
        self.sent.append((message, address))
        return True


def build_exchange(name, vms, leads, yielded=None):
    yielded = [] if yielded is None else yielded
    built = exchange.MessageExchange(
        name,
        build_directory(name, vms),
        exchange.RelayTopics("servers", "ledger"),
        view.KeyView(),
        key_loads.KeyLoads(),
        service_times.ServiceTimeRatios(),
        exchange.ExchangeCallbacks(
            lambda: leads,
            lambda: None,
            lambda term: term > 4,
            lambda vm, term, left: yielded.append((vm, term, left)),
            lambda: {"i-1": 20.0},
            lambda vm, counts: None,
        ),
    )
    built._link = SentMessages()
    return built


def test_only_controller_and_first_vms_of_a_region_relay():
    """While no controller relays, 90 VMs that all read the store choke a link."""

    async def main():
        vms = {f"vm-{number}": 5.0 for number in range(10)}
        receivers = {}
        for vm in vms:
            one = build_exchange(vm, vms, leads=False)
            one.relay("servers", 0, 4, [])
            receivers[vm] = {address for _, address in one._link.sent}
        relaying = [vm for vm, addresses in receivers.items() if addresses]
        assert sorted(relaying) == sorted(build_directory("vm-0", vms).region_vms()[:2])
        assert all(len(receivers[vm]) == 9 for vm in relaying)
        controller = build_exchange("vm-0", vms, leads=True)
        controller.relay("servers", 0, 4, [])
        assert len(controller._link.sent) == 10
        assert all(message.leads for message, _ in controller._link.sent)

    asyncio.run(main())


def test_only_the_controller_gets_reports_of_keys():
    """A VM that relays in the controller's place does nothing with them."""

    async def main():
        vms = {"vm-1": 5.0, "vm-2": 5.0, "vm-3": 5.0}
        one = build_exchange("vm-1", vms, leads=False)
        for name, leads, port in (("vm-2", True, 2), ("vm-3", False, 3)):
            relay = core.TopicRelay(name, leads, {}, "servers", 0, [], 1, 1)
            one._on_message(relay, ("127.0.0.1", port))
        one._loads.count_request("desk", 5, 0.0)
        one.report_traffic()
        assert [address for _, address in one._link.sent] == [("127.0.0.1", 2)]

    asyncio.run(main())


async def serve_copies(port_of):
    source = copies.DocumentCopies(list)
    await source.start("127.0.0.1", 0)
    port_of.append(source._server.sockets[0].getsockname()[1])
    return source


def test_copy_arrives_as_it_was_and_small():
    """Desired states of 300 KB for each VM choke a link of 5 Mbit/s."""

    async def main():
        ports = []
        source = await serve_copies(ports)
        source.put(RECORD)
        reader = copies.DocumentCopies(lambda: [("127.0.0.1", ports[0])])
        batch = await reader.fetch_batch(3)
        assert batch == keyed_log.Batch([RECORD], 8)
        assert len(source._packed) < len(RECORD.value) / 10
        source.close()

    asyncio.run(main())


def test_source_waits_for_a_document_that_it_is_reading():
    """All VMs hear of a new version at the same moment, the source too."""

    async def main():
        ports = []
        source = await serve_copies(ports)
        reader = copies.DocumentCopies(lambda: [("127.0.0.1", ports[0])])
        asked = asyncio.create_task(reader.fetch_batch(7))
        await asyncio.sleep(0.05)
        source.put(RECORD)
        assert (await asked).records == [RECORD]
        source.close()

    asyncio.run(main())


def test_second_source_is_asked_when_the_first_does_not_answer():
    """The first source may be gone; the store is the last resort."""

    async def main():
        ports = []
        source = await serve_copies(ports)
        source.put(RECORD)
        reader = copies.DocumentCopies(
            lambda: [("127.0.0.1", 1), ("127.0.0.1", ports[0])]
        )
        assert (await reader.fetch_batch(7)).records == [RECORD]
        source.close()
        assert (
            await copies.DocumentCopies(lambda: [("127.0.0.1", 1)]).fetch_batch(7)
            is None
        )

    asyncio.run(main())


def test_copy_that_is_too_old_or_unreadable_is_not_taken():
    """A follower that went back to an old record would read it again and again."""

    async def main():
        ports = []
        source = await serve_copies(ports)
        source.put(RECORD)
        reader = copies.DocumentCopies(lambda: [("127.0.0.1", ports[0])])
        source._packed = b"no copy"
        assert await reader.fetch_batch(7) is None
        assert await reader.fetch_batch(8) is None
        path = "/copies/x"
        request = messages.HttpRequest(
            b"GET", path.encode(), path, "h", [], b"", True, 0.0
        )
        assert (await source._handle(request)).status == 404
        source.close()

    asyncio.run(main())


def test_vm_that_starts_takes_the_newest_copy():
    """After a loss of power, 30 VMs read 12 MB through one link and none got ready."""

    async def main():
        ports = []
        source = await serve_copies(ports)
        source.put(RECORD)
        reader = copies.DocumentCopies(lambda: [("127.0.0.1", ports[0])])
        assert await reader.fetch_listing(0) == keyed_log.Listing([RECORD], 8)
        assert await copies.DocumentCopies(list).fetch_listing(0) is None
        source.close()

    asyncio.run(main())


def test_silence_of_the_controller_is_noted():
    """VMs that stand by only after a silence must notice it, relays of others aside."""

    async def main():
        one = build_exchange("vm-1", {"vm-1": 5.0, "vm-2": 5.0}, leads=False)
        one._led_at -= 5.0
        follower = core.TopicRelay("vm-2", False, {}, "servers", 0, [], 1, 1)
        one._on_message(follower, ("127.0.0.1", 2))
        assert one.controller_silence_s >= 5.0
        controller = core.TopicRelay("vm-2", True, {}, "servers", 0, [], 1, 1)
        one._on_message(controller, ("127.0.0.1", 2))
        assert one.controller_silence_s < 1.0

    asyncio.run(main())


def test_earlier_controller_answers_that_it_yields():
    """A successor that hears nothing waits for all of the old authority."""

    async def main():
        vms = {"vm-1": 5.0, "vm-2": 5.0}
        yielded = []
        asker = build_exchange("vm-1", vms, True, yielded)
        asked = build_exchange("vm-2", vms, True)
        asker.send_yield_request("vm-2", 5)
        ((question, address),) = asker._link.sent
        assert address == ("127.0.0.1", 2)
        asked._on_message(question, ("127.0.0.1", 1))
        ((answer, _),) = asked._link.sent
        asker._on_message(answer, address)
        assert yielded == [("vm-2", 5, {"i-1": 20.0})]
        asked._on_message(core.YieldRequest("vm-1", 4), ("127.0.0.1", 1))
        assert len(asked._link.sent) == 1

    asyncio.run(main())


def test_peers_hear_of_requests_when_they_change():
    """Messages that repeat what is known cost time and bytes."""

    async def main():
        vms = {"vm-1": 5.0, "vm-2": 5.0, "vm-3": 5.0}
        one = build_exchange("vm-1", vms, leads=False)
        one.directory.on_record(vm_record("vm-2", "east", port=2))
        one.send_in_flight_counts({})
        assert not one._link.sent
        one.send_in_flight_counts({"i-1": 2})
        one.send_in_flight_counts({"i-1": 2})
        # Only vm-2 is in the same data centre.
        sent = [(message.count_by_instance, to) for message, to in one._link.sent]
        assert sent == [({"i-1": 2}, ("127.0.0.1", 2))]
        counts, at = one._told_by_turn[0]
        one._told_by_turn[0] = counts, at - exchange.RESEND_INTERVAL_S
        one.send_in_flight_counts({"i-1": 2})
        one.send_in_flight_counts({})
        one.send_in_flight_counts({})
        assert len(one._link.sent) == 3

    asyncio.run(main())


def test_many_peers_are_told_in_turns():
    """22 messages each 0.1 s on each of 90 VMs took more time than requests did."""

    async def main():
        vms = {f"vm-{number}": 5.0 for number in range(23)}
        one = build_exchange("vm-0", vms, leads=False)
        for number in range(1, 23):
            one.directory.on_record(vm_record(f"vm-{number}", "east", port=number + 1))
        for _ in range(3):
            before = len(one._link.sent)
            one.send_in_flight_counts({"i-1": 2})
            assert len(one._link.sent) - before <= exchange.MAX_RECEIVERS_PER_CALL
        assert len({address for _, address in one._link.sent}) == 22

    asyncio.run(main())

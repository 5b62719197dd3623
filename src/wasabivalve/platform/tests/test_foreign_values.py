"""Test that no value of another writer raises an exception that nobody expects."""

import asyncio

import msgspec
import pytest

from wasabivalve import shared_facts, supervision
from wasabivalve.gateway import messages
from wasabivalve.key_leases import core as key_leases
from wasabivalve.keyed_log import core as keyed_log
from wasabivalve.placement import core as placement
from wasabivalve.platform import (
    assignment_log,
    core,
    desired_state,
    facts,
    headers,
    instances,
    operator_records,
    settings,
    store,
)
from wasabivalve.platform.tests import test_decoding, test_entry_vm
from wasabivalve.vm_link import copies, vm_directory
from wasabivalve.vm_link import core as vm_link

DEPTHS = range(900, 1_010)
"""Levels of nesting around the limit of the interpreter's stack.

Where exactly decoding, printing and comparing fail depends on the caller's depth.
"""

LONG_NUMBER = "9" * 5_000
"""Digits of a number that Python refuses to read or to print."""


def nested_json(depth):
    return b'{"a":' * depth + b"1" + b"}" * depth


def nested_msgpack(depth):
    return b"\x91" * depth + b"\xc0"


def json_with_nested_field(document, name, depth):
    """Return a JSON object of which one field is nested."""
    fields = {**document, name: msgspec.Raw(nested_json(depth))}
    return msgspec.json.encode(fields)


@pytest.mark.parametrize(
    "name", ["service", "address", "zone", "slots", "state", "sequence", "born"]
)
def test_nested_field_of_an_instance_entry(name):
    """The text of the error must not fail on the value that it shows."""
    for depth in DEPTHS:
        data = json_with_nested_field(test_decoding.ENTRY, name, depth)
        with pytest.raises(instances.MalformedInstanceEntry):
            instances.decode("i-1", data)


def test_instance_entry_with_a_number_that_can_not_be_printed():
    for name in ("state", "slots", "sequence", "warmup_left_s"):
        fields = {**test_decoding.ENTRY, name: msgspec.Raw(LONG_NUMBER.encode())}
        with pytest.raises(instances.MalformedInstanceEntry):
            instances.decode("i-1", msgspec.json.encode(fields))


@pytest.mark.parametrize("kind", ["routes", "services", "limits"])
def test_nested_field_of_a_desired_state(kind):
    """Any field of a document may be nested, and is then left out or refused."""
    resources = test_entry_vm.encode_desired_state(1)
    document = msgspec.json.decode(resources)
    names = {"health_path", "sharded", "warmup_s", "allowed_regions", "traffic_split"}
    for resource in document["resources"]:
        names |= set(resource["spec"])
    for depth in list(DEPTHS)[::2]:
        for name in sorted(names):
            for resource in document["resources"]:
                if resource["resource_kind"] != kind:
                    continue
                spec = resource["spec"]
                resource["spec"] = {**spec, name: msgspec.Raw(nested_json(depth))}
                try:
                    desired_state.decode(msgspec.json.encode(document))
                except desired_state.MalformedDesiredState as error:
                    assert len(str(error)) < 500
                resource["spec"] = spec


def test_nested_evacuation_record():
    """A record that is no object must not end the follower of desired states."""
    for depth in DEPTHS:
        records = operator_records.OperatorRecords(
            lambda *record: None, lambda state: None, lambda: None
        )
        value = b'{"x":' + nested_json(depth) + b"}"
        records.on_record(keyed_log.Record(1, "evacuate/east", value))


def test_nested_records_of_other_vms():
    """Undecodable records are ignored, whatever error the decoder has."""
    registration = {"host": "10.0.0.1", "port": 1, "data_centre": "a", "link_mbps": 1.0}
    log = assignment_log.AssignmentLog(None, None, lambda assignment_map: False)
    topology = placement.Topology("a", {"a": "r"})
    own = vm_directory.VmRegistration("10.0.0.2", 1, "a", 1.0)
    directory = vm_directory.VmDirectory("vm-1", own, topology)
    for depth in DEPTHS:
        unknown_field = json_with_nested_field(registration, "x", depth)
        for value in (nested_json(depth), unknown_field):
            directory.on_record(keyed_log.Record(0, "vm-2", value))
        nested = nested_msgpack(depth)
        # Fields behind the known ones are skipped, at any depth.
        fact_record = b"\x93\xcb" + bytes(8) + b"\x90" + nested
        known_map = key_leases.encode(key_leases.EMPTY_MAP)
        longer_map = bytes([known_map[0] + 1]) + known_map[1:] + nested
        yield_request = vm_link.encode(vm_link.YieldRequest("a", 1))
        longer_request = bytes([yield_request[0] + 1]) + yield_request[1:] + nested
        for value in (nested, fact_record, longer_map):
            log.on_record(keyed_log.Record(0, "map", value))
            on_fact_record(value)
            copies._decode_copy(copies.zlib.compress(value))
        vm_link.decode(nested)
        vm_link.decode(longer_request)


def on_fact_record(value):
    async def main():
        sharing = facts.FactSharing(
            None, lambda news: None, lambda: False, lambda news: None, lambda: 0
        )
        sharing.on_record(keyed_log.Record(0, "f", value))

    asyncio.run(main())


@pytest.mark.parametrize(
    "changes",
    [
        {"port": 0},
        {"port": 70_000},
        {"port": 2**63},
        {"host": ""},
        {"host": "a host"},
        {"host": "h" * 100_000},
        {"link_mbps": -1.0},
    ],
)
def test_registration_with_an_address_that_nothing_can_be_sent_to(changes):
    """Sending a relay to such an address raises an exception in the sender's task."""
    registration = {"host": "10.0.0.1", "port": 1, "data_centre": "a", "link_mbps": 1.0}
    own = vm_directory.VmRegistration("10.0.0.2", 1, "a", 1.0)
    directory = vm_directory.VmDirectory("vm-1", own, placement.Topology("a", {}))
    value = msgspec.json.encode({**registration, **changes})
    assert not directory.on_record(keyed_log.Record(0, "vm-2", value))
    assert "vm-2" not in directory.registration_by_vm


def test_nested_rows_of_store_pages():
    """The store's answers are checked before any part of them is printed."""
    for depth in DEPTHS:
        row = b'{"items":[{"key":%s,"value":"?","offset":1}],"end":1,"more":false}'
        body = row % nested_json(depth)
        client = store.StoreClient(settings.HostPort("127.0.0.1", 1))
        response = messages.HttpResponse(200, b"OK", [], body)

        async def answer(*arguments, response=response, **options):
            return response

        client._call = answer
        for call in (
            client.list_newest("t"),
            client.join_group("g", "m", "t", 1.0, 0),
        ):
            assert isinstance(asyncio.run(call), keyed_log.Unavailable)
        trimmed = messages.HttpResponse(410, b"", [], nested_json(depth))
        assert store._read_integer(trimmed, "first") == -1


def test_headers_with_numbers_too_long_for_the_interpreter():
    """A header of thousands of digits is legal; it must be read as an invalid one."""
    header_format = headers.HEADER_FORMAT
    digits = LONG_NUMBER.encode()
    assert header_format.decode_key(digits) is None
    assert header_format.decode_load_report(digits + b",0,2") is None
    assert header_format.decode_time_left(digits) is None
    assert header_format.decode_request_limit(digits) is None


def test_caller_with_a_key_of_thousands_of_digits_gets_an_answer():
    """The connection was closed without a response."""

    async def scenario(stand_in, plain, keyed, vm_settings, vm):
        stand_in.put("keyed.op", "config", test_entry_vm.encode_desired_state(2))
        served = test_entry_vm.check_served(vm_settings, "/plain/x")
        await test_entry_vm.wait_until(served)
        responses = [
            await test_entry_vm.send_request(
                vm_settings.caller_listen_address, "/keyed/x", f"Shard-Key: {key}\r\n"
            )
            for key in ("odd", LONG_NUMBER)
        ]
        assert responses[0] is not None
        assert responses[0] == responses[1]

    test_entry_vm.run_scenario(scenario)


def test_request_for_a_document_copy_with_odd_digits():
    """Digits of other scripts and of thousands of places name no offset."""

    async def main():
        document_copies = copies.DocumentCopies(["t"], lambda: [])
        for text in ("\u00b2", LONG_NUMBER, "1/\u0663", f"1/{LONG_NUMBER}"):
            path = f"/copies/t/{text}"
            request = messages.HttpRequest(
                b"GET", path.encode(), path, "h", [], b"", False, 0.0
            )
            response = await document_copies._handle(request)
            assert response.status == 404

    asyncio.run(main())


@pytest.mark.parametrize(
    "line",
    [
        f"node = {'[' * 3_000}{']' * 3_000}",
        f'listen = {{ front = "10.1.0.15:{LONG_NUMBER}" }}',
        'listen = { front = "10.1.0.15:\u00b2" }',
        "limits = { link_mbps = " + "9" * 400 + " }",
    ],
)
def test_odd_settings_are_findings(tmp_path, line):
    """A file that is read again at SIGHUP must not raise an exception."""
    path = tmp_path / "settings.toml"
    path.write_text(line + "\n")
    assert isinstance(settings.load(path), settings.RejectedSettings)


def test_vm_follows_the_entries_behind_nested_ones():
    """Entries of another writer once ended the task that follows all entries."""

    async def scenario(stand_in, plain, keyed, vm_settings, vm):
        stand_in.put("keyed.op", "config", test_entry_vm.encode_desired_state(2))
        served = test_entry_vm.check_served(vm_settings, "/plain/x")
        await test_entry_vm.wait_until(served)
        for depth in DEPTHS:
            entry = b'{"service":"plain","state":%s}' % nested_json(depth)
            stand_in.put("keyed.servers", f"x-{depth}", entry)
        draining = test_entry_vm.encode_entry(plain, sequence=2, state="draining")
        stand_in.put("keyed.servers", "i-plain", draining)

        async def leaves():
            return vm._instance_directory.instance_by_id["i-plain"].draining

        await test_entry_vm.wait_until(leaves)

    test_entry_vm.run_scenario(scenario)


def test_vm_whose_follower_keeps_failing_does_not_look_well(monkeypatch):
    """A VM that can't apply listings acts by what it knew, and has to say so."""
    monkeypatch.setattr(supervision, "RESTART_DELAY_S", 0.05)

    async def scenario(stand_in, plain, keyed, vm_settings, vm):
        stand_in.put("keyed.op", "config", test_entry_vm.encode_desired_state(2))
        served = test_entry_vm.check_served(vm_settings, "/plain/x")
        await test_entry_vm.wait_until(served)

        async def readiness():
            response = await test_entry_vm.send_request(
                vm_settings.readiness_listen_address, core.READINESS_PATH
            )
            return response[0]

        assert await readiness() == 200
        apply_listing = vm._instance_directory.on_listing

        def fail(instances, now):
            raise ArithmeticError

        vm._instance_directory.on_listing = fail
        stand_in.restore({**stand_in.copy_end_offsets()})

        async def is_unwell():
            return await readiness() == 503

        await test_entry_vm.wait_until(is_unwell)
        assert vm.is_ready() and await served()
        vm._instance_directory.on_listing = apply_listing
        monkeypatch.setattr(supervision, "STEADY_S", 0.5)

        async def is_well():
            return await readiness() == 200

        await test_entry_vm.wait_until(is_well)
        stand_in.put("keyed.op", "config", test_entry_vm.encode_desired_state(3))

    test_entry_vm.run_scenario(scenario)


def test_facts_are_recorded_after_an_append_that_failed_unexpectedly():
    """The task that writes facts ended, and nothing was recorded from then on."""

    async def main():
        appended = []

        class Store:
            async def append(self, topic, key, value):
                if not appended:
                    appended.append("failed")
                    raise ArithmeticError
                appended.append(key)
                return "done"

        sharing = facts.FactSharing(
            Store(), lambda news: None, lambda: True, lambda news: None, lambda: 0
        )
        crash = shared_facts.FactKind.CRASH
        now = sharing._now_ms()
        for member in ("i-1@1", "i-2@1"):
            sharing.board.observe(crash, "fingerprint", member, 1.0, now)
        await asyncio.sleep(0.1)
        assert appended == ["failed"]
        sharing._record(["fingerprint"])
        await asyncio.sleep(0.1)
        assert appended == ["failed", "fingerprint"]

    asyncio.run(main())


@pytest.mark.parametrize("is_listed", [False, True])
@pytest.mark.parametrize(
    "changes",
    [{"service": "ledger-of-last-year"}, {"state": "odd"}, {"slots": "many"}],
)
def test_foreign_entry_under_the_id_of_a_holder_leaves_it_in_use(changes, is_listed):
    """The controller took it for a new incarnation and gave the keys away."""

    async def scenario(stand_in, plain, keyed, vm_settings, vm):
        stand_in.put("keyed.op", "config", test_entry_vm.encode_desired_state(2))
        served = test_entry_vm.check_served(
            vm_settings, "/keyed/x", "Shard-Key: 77\r\n"
        )
        await test_entry_vm.wait_until(served)
        before = vm._instance_directory.instance_by_id["i-keyed"]
        changed = {"born": 2_000_000_000_000, "address": "127.0.0.1:9", **changes}
        entry = test_entry_vm.encode_entry(keyed, **changed)
        stand_in.put("keyed.servers", "i-keyed", entry)
        if is_listed:
            stand_in.restore(stand_in.copy_end_offsets())
        # Behind it in the topic, so that it has been read as well.
        last = test_entry_vm.encode_entry(plain, sequence=9)
        stand_in.put("keyed.servers", "i-plain", last)

        async def has_read():
            known = vm._instance_directory.instance_by_id["i-plain"]
            return known.sequence == 9

        await test_entry_vm.wait_until(has_read)
        assert vm._instance_directory.instance_by_id["i-keyed"] == before
        own = test_entry_vm.encode_entry(keyed, sequence=2)
        stand_in.put("keyed.servers", "i-keyed", own)

        async def is_followed():
            known = vm._instance_directory.instance_by_id["i-keyed"]
            return known.sequence == 2

        await test_entry_vm.wait_until(is_followed)
        assert await served()

    test_entry_vm.run_scenario(scenario)


def test_foreign_entry_that_a_starting_vm_reads_first_hides_no_instance():
    """The instance got no request for good (RECOVER)."""

    async def scenario(stand_in, plain, keyed, vm_settings, vm):
        foreign = test_entry_vm.encode_entry(
            plain, service="ledger-of-last-year", born=2_000_000_000_000
        )
        stand_in.put("keyed.servers", "i-plain", foreign)

        async def is_read():
            known = vm._instance_directory.instance_by_id.get("i-plain")
            return known is not None and known.born > 1

        await test_entry_vm.wait_until(is_read)
        stand_in.put("keyed.op", "config", test_entry_vm.encode_desired_state(2))

        async def is_ready():
            return vm.is_ready()

        await test_entry_vm.wait_until(is_ready)
        own = test_entry_vm.encode_entry(plain, sequence=2)
        stand_in.put("keyed.servers", "i-plain", own)
        served = test_entry_vm.check_served(vm_settings, "/plain/x")
        await test_entry_vm.wait_until(served)

    test_entry_vm.run_scenario(scenario)

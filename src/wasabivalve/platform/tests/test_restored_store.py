"""Test an entry VM whose store is restored from an older copy."""

import asyncio

from wasabivalve.key_leases import core as key_leases
from wasabivalve.keyed_log import core as keyed_log
from wasabivalve.platform import membership
from wasabivalve.platform.tests import test_entry_vm


def test_vm_keeps_serving_and_writes_again_what_it_wrote():
    """Keys must keep their holder, with a token that no instance has seen."""

    async def scenario(store, plain, keyed, vm_settings, vm):
        store.put("keyed.op", "config", test_entry_vm.encode_desired_state(2))
        served = test_entry_vm.check_served(
            vm_settings, "/keyed/x", "Shard-Key: 77\r\n"
        )
        # The copy has the instances and an older desired state, but no VM and no keys.
        copy = store.copy_end_offsets()
        copy.pop(membership.VMS_TOPIC, None)
        copy.pop("keyed.wasabivalve.keys", None)
        store.put("keyed.op", "config", test_entry_vm.encode_desired_state(3))
        await test_entry_vm.wait_until(served)
        highest_token = keyed.grants[-1]["fence"]
        store.restore(copy)

        async def granted_again():
            assert await served()
            return keyed.grants[-1]["fence"] > highest_token

        await test_entry_vm.wait_until(granted_again)
        assert keyed.grants[-1]["fence"] >= key_leases.fencing_token(
            key_leases.first_term(1), 0
        )

        async def registered_again():
            listing = await vm._store_client.list_newest(membership.VMS_TOPIC)
            assert isinstance(listing, keyed_log.Listing)
            return [record.key for record in listing.records] == ["vm-1"]

        await test_entry_vm.wait_until(registered_again)
        assert vm._desired_state.version == 3
        store.put("keyed.op", "config", test_entry_vm.encode_desired_state(4))

        async def in_force():
            return vm._desired_state.version == 4

        await test_entry_vm.wait_until(in_force)

    test_entry_vm.run_scenario(scenario)


def test_instance_that_the_copy_lacks_is_kept_until_it_registers_again():
    """A restored store lists no instance that joined after the copy."""

    async def scenario(store, plain, keyed, vm_settings, vm):
        store.put("keyed.op", "config", test_entry_vm.encode_desired_state(2))
        served = test_entry_vm.check_served(vm_settings, "/plain/x")
        await test_entry_vm.wait_until(served)
        copy = store.copy_end_offsets()
        store.restore({**copy, "keyed.servers": 0})
        for _ in range(3):
            await asyncio.sleep(0.5)
            assert await served()
        entry = test_entry_vm.encode_entry(plain, sequence=2)
        store.put("keyed.servers", "i-plain", entry)

        async def keyed_removed():
            return "i-keyed" not in vm._instance_directory.instance_by_id

        await test_entry_vm.wait_until(keyed_removed)
        assert await served()

    test_entry_vm.run_scenario(scenario)

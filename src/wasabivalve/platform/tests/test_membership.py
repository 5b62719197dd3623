"""Test which VMs join the group that elects the controller."""

import asyncio
import math
import types

import msgspec
import pytest

from wasabivalve.keyed_log import core as keyed_log
from wasabivalve.placement import core as placement
from wasabivalve.platform import membership
from wasabivalve.vm_link import vm_directory

TOPOLOGY = placement.Topology("east", {"east": "coast"})


class GroupStore:
    """Answer the calls of a group member and count its joins."""

    def __init__(self, registrations):
        self._registrations = registrations
        self.join_count = 0

    async def append(self, topic, key, value):
        """Confirm a registration."""
        return "done"

    async def list_newest(self, topic):
        """List the VMs that registered at the same time."""
        records = [
            keyed_log.Record(offset, vm, msgspec.json.encode(registration))
            for offset, (vm, registration) in enumerate(self._registrations.items())
        ]
        return keyed_log.Listing(records, len(records))

    async def join_group(self, group, member, topic, ttl_s, generation):
        """Count a join, and assign nothing."""
        self.join_count += 1
        return keyed_log.Unavailable("not in this test")


@pytest.mark.parametrize(("own_link_mbps", "joins"), [(20.0, False), (200.0, True)])
def test_vm_that_registers_first_joins_only_if_it_is_a_candidate(own_link_mbps, joins):
    """At a start of 195 VMs one of the slowest became the controller."""

    async def main():
        own = vm_directory.VmRegistration("127.0.0.1", 1, "east", own_link_mbps)
        directory = vm_directory.VmDirectory("vm-own", own, TOPOLOGY)
        others = {
            f"vm-{number}": vm_directory.VmRegistration(
                f"10.0.0.{number}", 1, "east", 100.0
            )
            for number in range(12)
        }
        store_client = GroupStore(others)
        vm_exchange = types.SimpleNamespace(
            directory=directory,
            controller_silence_s=0.0,
            on_vm_record=directory.on_record,
        )
        member = membership.ControllerGroupMember(
            types.SimpleNamespace(
                vm="vm-own", vm_registration=own, min_group_ttl_ms=1_000.0
            ),
            store_client,
            types.SimpleNamespace(is_controller=False),
            lambda: True,
            vm_exchange,
            asyncio.Event(),
            lambda: 0.0,
            types.SimpleNamespace(is_ongoing=False),
        )
        member._vms_listed.set()
        task = asyncio.create_task(member.run())
        await asyncio.sleep(membership.REGISTRATION_WAIT_S + 0.3)
        task.cancel()
        assert (store_client.join_count > 0) == joins

    asyncio.run(main())


def test_vm_knows_since_when_the_store_lists_it():
    """A VM that a restored store has forgotten must not count as listed for long."""

    async def main():
        own = vm_directory.VmRegistration("127.0.0.1", 1, "east", 100.0)
        directory = vm_directory.VmDirectory("vm-own", own, TOPOLOGY)
        now_ms = 5_000.0
        member = membership.ControllerGroupMember(
            types.SimpleNamespace(
                vm="vm-own", vm_registration=own, min_group_ttl_ms=1_000.0
            ),
            GroupStore({}),
            types.SimpleNamespace(is_controller=False),
            lambda: False,
            types.SimpleNamespace(
                directory=directory, on_vm_record=directory.on_record
            ),
            asyncio.Event(),
            lambda: now_ms,
            types.SimpleNamespace(is_ongoing=False),
        )
        assert member.listed_since_ms == math.inf
        member._vms_listed.set()
        task = asyncio.create_task(member.run())
        await asyncio.sleep(membership.REGISTRATION_WAIT_S + 0.1)
        assert member.listed_since_ms == 5_000.0
        now_ms = 30_000.0
        directory.start_listing()
        assert member.listed_since_ms == math.inf
        await asyncio.sleep(membership.JOIN_INTERVAL_S + 0.1)
        assert member.listed_since_ms == 30_000.0
        task.cancel()

    asyncio.run(main())

"""Test that VMs get slots from each other, and go on when a dispatcher fails."""

import asyncio
import random

import pytest

from wasabivalve import rendezvous
from wasabivalve.key_leases.tests import lease_simulation
from wasabivalve.placement import core as placement
from wasabivalve.slot_dispatch import client, messages, node

REGIONS = {"a1": "a", "b1": "b"}
DATA_CENTRE_BY_VM = {"vm-1": "a1", "vm-2": "a1", "vm-3": "a1", "vm-9": "b1"}


class Link:
    """Connect nodes with a delay; datagrams to or from VMs that are down are lost."""

    def __init__(self, lost_share=0.0):
        self.node_by_vm = {}
        self.down = set()
        self.stopping = set()
        self.cut_pairs = []
        self.lost_share = lost_share
        self.generator = random.Random(1)

    def send_from(self, sender):
        def send(vm, message):
            is_lost = self.generator.random() < self.lost_share
            is_lost |= {sender, vm} in self.cut_pairs
            if sender not in self.down and vm not in self.down and not is_lost:
                loop = asyncio.get_running_loop()
                loop.call_later(0.001, self.node_by_vm[vm].on_message, message)

        return send

    def dispatchers(self, service="desk", region="a"):
        """Return the VMs of a region in the order in which they are asked."""
        vms = [
            vm for vm, centre in DATA_CENTRE_BY_VM.items() if REGIONS[centre] == region
        ]
        return rendezvous.rank_names(service, vms)

    def start(self, instances):
        for vm, data_centre in DATA_CENTRE_BY_VM.items():
            self.node_by_vm[vm] = node.DispatchNode(
                vm,
                placement.Topology(data_centre, REGIONS),
                lambda service: instances,
                self.dispatchers,
                self.send_from(vm),
                lambda vm=vm: vm not in self.stopping,
                self.generator,
            )
            self.node_by_vm[vm].start()


def instance(name, data_centre="a1", slots=2):
    return placement.RegisteredInstance(
        name, "desk", "h", 1, data_centre, slots, False, 0.0, 1, 1
    )


def demand(**changes):
    return client.SlotDemand(
        "desk", "order", 0, 500.0, 500.0, 900.0, 1_500.0, ()
    )._replace(**changes)


def run(scenario, *instances, lost_share=0.0):
    """Run a scenario with nodes in virtual time."""

    async def main():
        link = Link(lost_share)
        link.start(instances)
        return await scenario(link)

    with asyncio.Runner(loop_factory=lease_simulation.VirtualTimeLoop) as runner:
        return runner.run(main())


def test_all_vms_share_the_slots_of_one_dispatcher():
    """VMs that counted only their own requests overloaded instances of two slots."""

    async def scenario(link):
        clients = [link.node_by_vm[vm].client for vm in ("vm-1", "vm-2", "vm-3")]
        granted = [await clients[index % 3].acquire(demand()) for index in range(4)]
        by_instance = sorted(answer.instance for answer in granted)
        waiting = asyncio.create_task(clients[0].acquire(demand()))
        await asyncio.sleep(0.2)
        assert not waiting.done()
        clients[1].release(granted[1].permit, messages.SlotResult.DONE, 100.0)
        assert isinstance(await waiting, client.SlotGranted)
        return by_instance

    assert run(scenario, instance("i-1"), instance("i-2")) == ["i-1"] * 2 + ["i-2"] * 2


def test_next_vm_assigns_slots_while_the_first_is_down():
    """The loss of one VM must not stop a service, nor delay each of its requests."""

    async def scenario(link):
        first, second, asking = link.dispatchers()
        link.down.add(first)
        slots = link.node_by_vm[asking].client
        assert isinstance(await slots.acquire(demand()), client.NoDispatcher)
        waited_s = asyncio.get_running_loop().time()
        answer = await slots.acquire(demand())
        assert answer.permit.dispatcher == second
        return waited_s

    assert run(scenario, instance("i-1")) <= 0.2


def test_stopping_dispatcher_sends_requests_to_the_next_one():
    """A planned stop of the dispatcher must cost callers nothing."""

    async def scenario(link):
        first, second, asking = link.dispatchers()
        slots = link.node_by_vm[asking].client
        for _ in range(2):
            await slots.acquire(demand())
        queued = asyncio.create_task(slots.acquire(demand()))
        await asyncio.sleep(0.05)
        link.stopping.add(first)
        answer = await queued
        assert answer.permit.dispatcher == second
        return asyncio.get_running_loop().time()

    assert run(scenario, instance("i-1")) < 0.3


@pytest.mark.parametrize("queued_s", [0.05, 0.6, 0.85])
def test_request_waits_no_longer_than_it_may_when_its_dispatcher_ends(queued_s):
    """Requests were answered half a second after the timeout of their route."""

    async def scenario(link):
        loop = asyncio.get_running_loop()
        first, _, asking = link.dispatchers()
        slots = link.node_by_vm[asking].client
        for _ in range(2):
            await slots.acquire(demand())
        started_at = loop.time()
        # The work in progress is long, and nothing else competes for the slots.
        queued = asyncio.create_task(slots.acquire(demand(max_wait_ms=900.0)))
        await asyncio.sleep(queued_s)
        link.down.add(first)
        answer = await queued
        return answer, loop.time() - started_at

    answer, waited_s = run(scenario, instance("i-1"))
    assert not isinstance(answer, client.SlotGranted)
    assert waited_s <= 0.9 + client.REPLY_TIMEOUT_S + 0.01


def test_vm_that_reaches_nobody_chooses_by_itself():
    """A VM that is cut off from others may still reach instances."""

    async def scenario(link):
        link.down.update(DATA_CENTRE_BY_VM)
        asking = link.dispatchers()[-1]
        link.down.discard(asking)
        slots = link.node_by_vm[asking].client
        answers = [await slots.acquire(demand()) for _ in range(3)]
        return answers, asyncio.get_running_loop().time()

    answers, waited_s = run(scenario, instance("i-1"))
    assert [type(answer) for answer in answers[:2]] == [client.NoDispatcher] * 2
    assert waited_s < 0.5


def test_caller_that_leaves_frees_its_place():
    """Requests of callers that have left must not get slots."""

    async def scenario(link):
        asking = link.dispatchers()[-1]
        slots = link.node_by_vm[asking].client
        held = [await slots.acquire(demand()) for _ in range(2)]
        waiting = asyncio.create_task(slots.acquire(demand()))
        await asyncio.sleep(0.05)
        waiting.cancel()
        await asyncio.sleep(0.05)
        for answer in held:
            slots.release(answer.permit, messages.SlotResult.DONE, 100.0)
        return [await slots.acquire(demand()) for _ in range(2)]

    assert all(
        isinstance(answer, client.SlotGranted)
        for answer in run(scenario, instance("i-1"))
    )


@pytest.mark.parametrize("lost_share", [0.05, 0.2])
def test_lost_datagrams_neither_leak_slots_nor_block_requests(lost_share):
    """Each datagram may be lost: requests, grants and releases."""

    async def scenario(link):
        async def use(slots):
            answer = await slots.acquire(demand())
            if isinstance(answer, client.SlotGranted):
                await asyncio.sleep(0.1)
                slots.release(answer.permit, messages.SlotResult.DONE, 100.0)
            return answer

        vms = link.dispatchers()
        answers = []
        for number in range(300):
            task = asyncio.create_task(use(link.node_by_vm[vms[number % 3]].client))
            answers.append(task)
            await asyncio.sleep(0.05)
        answers = await asyncio.gather(*answers)
        await asyncio.sleep(2.0)
        free = [
            link.node_by_vm[vm]
            ._dispatcher.free_by_service(
                1000.0 * (asyncio.get_running_loop().time() - 1.5)
            )
            .get("desk", 4)
            for vm in vms
        ]
        return answers, free

    answers, free = run(
        scenario, instance("i-1"), instance("i-2"), lost_share=lost_share
    )
    refused = [item for item in answers if isinstance(item, client.SlotRefused)]
    assert len(refused) <= 0.02 * len(answers)
    assert free == [4, 4, 4]


def test_vm_chooses_by_itself_when_no_instance_is_known_to_work():
    """Asking the next dispatcher would get a slot at an instance that just failed."""

    async def scenario(link):
        asking = link.dispatchers()[-1]
        slots = link.node_by_vm[asking].client
        answers = [await slots.acquire(demand(excluded=["i-1"])) for _ in range(2)]
        # The dispatcher is still asked for other requests.
        return answers, await slots.acquire(demand())

    answers, last = run(scenario, instance("i-1"))
    assert [answer.reason for answer in answers] == ["no instance in the region"] * 2
    assert last.instance == "i-1"


def test_slot_of_a_long_request_that_had_waited_is_not_granted_twice():
    """Lists ended while the request was queued, and its slot counted as lost."""

    async def scenario(link):
        _, other, asking = link.dispatchers()
        slots = link.node_by_vm[asking].client
        others_slots = link.node_by_vm[other].client
        first = await others_slots.acquire(demand())
        long_wait = demand(max_wait_ms=3_000.0, time_left_ms=9_000.0)
        queued = asyncio.create_task(slots.acquire(long_wait))
        await asyncio.sleep(1.2)
        others_slots.release(first.permit, messages.SlotResult.DONE, 100.0)
        assert isinstance(await queued, client.SlotGranted)
        await asyncio.sleep(3.0)
        return await others_slots.acquire(demand(max_wait_ms=200.0))

    last = run(scenario, instance("i-1", slots=1))
    assert not isinstance(last, client.SlotGranted)


def test_full_region_uses_free_slots_of_another_one():
    """The answer from the other region names the slot; it is released there."""

    async def scenario(link):
        asking = link.dispatchers()[-1]
        slots = link.node_by_vm[asking].client
        far = link.node_by_vm["vm-9"].client
        answer = await far.acquire(demand())
        far.release(answer.permit, messages.SlotResult.DONE, 100.0)
        await asyncio.sleep(0.25)
        answers = [await slots.acquire(demand()) for _ in range(3)]
        return [answer.instance for answer in answers]

    instances = [instance("i-1"), instance("i-9", "b1", slots=4)]
    assert run(scenario, *instances) == ["i-1", "i-1", "i-9"]


def test_region_that_is_cut_off_keeps_its_requests():
    """Requests must not wait for a region that has become unreachable."""

    async def scenario(link):
        loop = asyncio.get_running_loop()
        asking = link.dispatchers()[-1]
        slots = link.node_by_vm[asking].client
        far = link.node_by_vm["vm-9"].client
        answer = await far.acquire(demand())
        far.release(answer.permit, messages.SlotResult.DONE, 100.0)
        await asyncio.sleep(0.25)
        link.cut_pairs = [{vm, "vm-9"} for vm in link.dispatchers()]
        held = [await slots.acquire(demand()) for _ in range(2)]
        # What is known of the other region is still used once.
        started_at = loop.time()
        first = await slots.acquire(demand())
        first_s = loop.time() - started_at
        await asyncio.sleep(0.5)
        queued = asyncio.create_task(slots.acquire(demand()))
        await asyncio.sleep(0.1)
        slots.release(held[0].permit, messages.SlotResult.DONE, 100.0)
        await asyncio.sleep(0.1)
        assert queued.done()
        return first, first_s, queued.result()

    instances = [instance("i-1"), instance("i-9", "b1", slots=4)]
    first, first_s, queued = run(scenario, *instances)
    assert isinstance(first, client.NoDispatcher)
    assert first_s <= 0.5
    assert queued.instance == "i-1"


def test_slots_are_assigned_again_after_all_vms_were_killed():
    """Nothing of a dispatcher outlasts a power failure of all machines."""

    async def scenario(link):
        for vm in link.dispatchers():
            await link.node_by_vm[vm].client.acquire(demand())
        for old_node in link.node_by_vm.values():
            old_node.close()
        link.start([instance("i-1")])
        clients = [link.node_by_vm[vm].client for vm in link.dispatchers()]
        return [await clients[index].acquire(demand()) for index in range(2)]

    answers = run(scenario, instance("i-1"))
    assert [answer.instance for answer in answers] == ["i-1", "i-1"]


def test_request_for_another_region_asks_the_dispatcher_there():
    """The dispatcher of the own region named whichever region had free slots."""

    async def scenario(link):
        vm = link.node_by_vm["vm-1"].client
        for regions, name in (("b", "far"), ("a", "near"), ("ab", "near")):
            granted = await vm.acquire(demand(allowed_regions=frozenset(regions)))
            assert granted.instance == name
        # Its silence leaves the request to this VM, which knows the regions as well.
        link.down.add("vm-9")
        answer = await vm.acquire(demand(allowed_regions=frozenset("b")))
        assert isinstance(answer, client.NoDispatcher)

    run(scenario, instance("near"), instance("far", "b1"))

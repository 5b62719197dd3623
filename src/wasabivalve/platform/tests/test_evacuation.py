"""Test evacuations of data centres by the operator's records."""

import asyncio

from wasabivalve import shared_facts
from wasabivalve.desired_state import core as desired_state
from wasabivalve.keyed_log import core as keyed_log
from wasabivalve.placement import core as placement
from wasabivalve.platform import instance_views, operator_records
from wasabivalve.platform.tests import test_crashing_requests, test_entry_vm

EVACUATE_S = 5.0
"""Time after which no request may reach an instance of the data centre."""


def create_records():
    calls = []
    records = operator_records.OperatorRecords(
        lambda topic, record: None, lambda state: None, lambda: calls.append(1)
    )
    return records, calls


def record(offset, key, value=b"{}"):
    return keyed_log.Record(offset, key, value)


def test_records_begin_and_end_evacuations():
    """Requests reached a data centre that was about to lose its power."""
    records, calls = create_records()
    config = record(0, "config", test_entry_vm.encode_desired_state(3))
    records.on_listing([config, record(2, "evacuate/east")])
    assert records.desired_state.version == 3
    assert records.evacuated.data_centres == {"east"}
    assert records.removable_keys() == ["evacuate/east"]
    # The key alone says what the operator wants.
    records.on_record(record(3, "evacuate/west", b"now"))
    records.on_record(record(4, "evacuate/east", None))
    assert records.evacuated.data_centres == {"west"}
    records.on_listing([config])
    assert not records.evacuated.data_centres
    assert len(calls) == 4


def test_evacuated_instances_return_when_the_evacuation_ends():
    """An instance that stayed out of use after an evacuation costs capacity."""
    evacuated = {"east"}
    instances = {
        name: placement.RegisteredInstance(
            name, "keyed", "h", 1, data_centre, 2, False, 0.0, 1, 1
        )
        for name, data_centre in (("i-1", "east"), ("i-2", "west"), ("i-3", "far"))
    }
    now = [0.0]
    views = instance_views.InstanceViews(
        lambda: instances,
        shared_facts.LeavingInstances(shared_facts.FactBoard()),
        lambda data_centre: data_centre in evacuated,
        {"east": "coast", "west": "coast"},
        lambda: now[0],
    )

    def usable(listed):
        return [instance.id for instance in listed if not instance.draining]

    assert usable(views.list_instances("keyed")) == ["i-2", "i-3"]
    route = desired_state.RouteConfig(
        "r",
        "h",
        "/",
        (desired_state.WeightedService("keyed", 1.0),),
        True,
        2,
        1_000.0,
        300.0,
        1,
        frozenset({"coast"}),
    )
    state = desired_state.DesiredState(1, (route,), {}, None)
    views.set_desired_state(state)
    assert usable(views.list_for_keys("keyed")) == ["i-2"]
    assert views.find_for_keys("i-3").draining
    evacuated.clear()
    assert usable(views.list_for_keys("keyed")) == ["i-1", "i-2"]
    assert not views.find_for_keys("i-1").draining
    anywhere = route._replace(name="s", allowed_regions=frozenset())
    views.set_desired_state(state._replace(routes=(route, anywhere)))
    assert usable(views.list_for_keys("keyed")) == ["i-1", "i-2", "i-3"]


def test_evacuation_holds_while_the_store_is_unreachable():
    """A VM that forgets an evacuation sends requests into a data centre without power.

    The records are deleted from the history before the VM reads that it has ended.
    """

    async def scenario(deployment):
        store, (east, west, *others) = deployment.store, deployment.instances
        for instance in others:
            store.put("keyed.servers", instance.name, None)
        entry = test_entry_vm.encode_entry(west, zone="west", sequence=2)
        store.put("keyed.servers", west.name, entry)
        await deployment.start_vm("vm-1")

        async def send():
            return await deployment.send("vm-1", "/plain/x")

        def received(instance):
            requests = instance.received_requests
            return sum(request.path == "/plain/x" for request in requests)

        async def wait_for(status, seconds=EVACUATE_S):
            async with asyncio.timeout(seconds):
                while await send() != status:
                    await asyncio.sleep(0.05)

        store.put("keyed.op", "evacuate/east", b"{}")
        store.put("keyed.op", "evacuate/west", b"{}")
        await wait_for(503)
        store.refuses_calls = True
        before = received(east), received(west)
        assert [await send() for _ in range(30)] == [503] * 30
        assert (received(east), received(west)) == before
        store.put("keyed.op", "evacuate/west", None)
        store.trim("keyed.op", len(store.records_by_topic["keyed.op"]))
        store.refuses_calls = False
        await wait_for(200, 2.0 * EVACUATE_S)
        assert received(west) > before[1] and received(east) == before[0]

    test_crashing_requests.run_scenario(scenario)

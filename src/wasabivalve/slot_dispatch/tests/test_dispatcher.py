"""Test single decisions of a dispatcher."""

import random

from wasabivalve import ramp_up, shared_facts
from wasabivalve.placement import core as placement
from wasabivalve.placement import rate_limit
from wasabivalve.slot_dispatch import core, messages

REGIONS = {"a1": "a", "a2": "a", "b1": "b"}


def instance(name, data_centre="a1", **changes):
    return placement.RegisteredInstance(
        name, "desk", "h", 1, data_centre, 2, False, 0.0, 1, 1
    )._replace(**changes)


def create_dispatcher(*instances, limits=None):
    paced = ramp_up.PacedLimits(shared_facts.FactBoard(), named=limits)
    return core.SlotDispatcher(
        "vm-0", "a", REGIONS, lambda service: instances, random.Random(1), paced
    )


def request(number, vm="vm-1", **changes):
    values = {
        "vm": vm,
        "number": number,
        "data_centre": "a1",
        "service": "desk",
        "route": "order",
        "rank": 0,
        "target_latency_ms": 500.0,
        "target_left_ms": 500.0,
        "max_wait_ms": 900.0,
        "time_left_ms": 1_500.0,
        "excluded": [],
        "may_go_elsewhere": True,
    }
    return messages.SlotRequest(**{**values, **changes})


def release(number, result=messages.SlotResult.DONE, vm="vm-1", **changes):
    return messages.SlotRelease(vm, number, result, 100.0, **changes)


def states(replies):
    return [addressed.reply.state.name.lower() for addressed in replies]


def test_requests_beyond_the_slots_wait_for_a_release():
    """A full instance may never answer a request that it cannot queue."""
    dispatcher = create_dispatcher(instance("i-1"))
    assert states(dispatcher.on_request(request(1), 0.0)) == ["granted"]
    assert states(dispatcher.on_request(request(2), 0.0)) == ["granted"]
    assert states(dispatcher.on_request(request(3), 0.0)) == ["queued"]
    replies = dispatcher.on_release(release(1), 100.0)
    assert [(item.reply.number, item.reply.state) for item in replies] == [
        (3, messages.ReplyState.GRANTED)
    ]


def test_repeated_request_gets_the_same_slot():
    """A lost reply must not use a second slot."""
    dispatcher = create_dispatcher(instance("i-1"), instance("i-2"))
    first = dispatcher.on_request(request(1), 0.0)
    assert dispatcher.on_request(request(1), 90.0) == first
    assert dispatcher.free_by_service(100.0) == {"desk": 3}


def test_slot_that_its_vm_does_not_list_is_free_again():
    """The release was lost, or the VM has restarted."""
    dispatcher = create_dispatcher(instance("i-1"))
    dispatcher.on_request(request(1), 0.0)
    dispatcher.on_request(request(2), 0.0)
    dispatcher.on_request(request(3, "vm-2"), 0.0)
    replies = dispatcher.on_held(messages.SlotsHeld("vm-1", [2]), 300.0)
    assert states(replies) == ["granted"]


def test_slots_of_a_silent_vm_are_free_after_a_time():
    """A VM that lost power releases nothing."""
    dispatcher = create_dispatcher(instance("i-1"))
    dispatcher.on_request(request(1), 0.0)
    dispatcher.on_request(request(2, "vm-2"), 0.0)
    dispatcher.on_held(messages.SlotsHeld("vm-2", [2]), 1_000.0)
    dispatcher.tick(core.GRANT_TTL_MS)
    assert dispatcher.free_by_service(100.0) == {"desk": 1}


def test_request_that_may_be_on_time_does_not_go_to_an_instance_that_is_too_slow():
    """An instance five times as slow made every request on it late."""
    dispatcher = create_dispatcher(instance("fast"), instance("slow"))
    for number in range(40):
        (reply,) = dispatcher.on_request(request(number), 0.0)
        time_ms = 600.0 if reply.reply.instance == "slow" else 100.0
        dispatcher.on_release(
            messages.SlotRelease("vm-1", number, messages.SlotResult.DONE, time_ms), 0.0
        )
    numbers = range(100, 105)
    replies = [dispatcher.on_request(request(number), 0.0)[0] for number in numbers]
    assert {item.reply.instance for item in replies[:2]} == {"fast"}
    assert states(replies[2:]) == ["queued"] * 3
    # Past its time, any answer is better than none.
    late = dispatcher.on_request(request(200, target_left_ms=50.0), 0.0)
    assert "granted" in states(late)


def test_failures_that_one_vm_reports_everywhere_eject_no_instance():
    """A VM that is cut off fails at every instance."""
    names = [f"i-{number}" for number in range(4)]
    dispatcher = create_dispatcher(*(instance(name) for name in names))
    for number in range(20):
        dispatcher.on_request(request(number, "cut"), 0.0)
        dispatcher.on_release(release(number, messages.SlotResult.FAILED, "cut"), 0.0)
    replies = [dispatcher.on_request(request(number), 1.0)[0] for number in range(8)]
    assert states(replies) == ["granted"] * 8


def test_failures_that_several_vms_report_eject_an_instance():
    """A crashed instance must get nothing until it is back."""
    dispatcher = create_dispatcher(instance("i-1"))
    for number, vm in enumerate(("vm-1", "vm-2")):
        dispatcher.on_request(request(number, vm), 0.0)
        dispatcher.on_release(release(number, messages.SlotResult.FAILED, vm), 0.0)
    assert "granted" not in states(dispatcher.on_request(request(9, "vm-3"), 1.0))


def test_full_region_names_a_region_with_free_slots():
    """One region can be overloaded while the other one is idle."""
    dispatcher = create_dispatcher(instance("i-1"), instance("far", "b1"))
    dispatcher.on_request(request(1), 0.0)
    dispatcher.on_request(request(2), 0.0)
    dispatcher.on_free_slots(messages.FreeSlots("vm-b", "b", {"desk": 4}), 0.0)
    replies = [dispatcher.on_request(request(number), 1.0)[0] for number in (3, 4, 5)]
    assert states(replies) == ["elsewhere", "elsewhere", "queued"]
    assert replies[0].reply.instance == "vm-b"
    # Old reports say nothing, and a request moves only once.
    dispatcher.on_free_slots(messages.FreeSlots("vm-b", "b", {"desk": 4}), 2.0)
    stays = request(6, may_go_elsewhere=False)
    assert states(dispatcher.on_request(stays, 2.0)) == ["queued"]
    assert states(dispatcher.on_request(request(7), 900.0)) == ["queued"]


def test_region_without_a_working_instance_uses_another_one():
    """A region that lost all instances refused what others had room to queue."""
    dispatcher = create_dispatcher(instance("i-1"), instance("far", "b1"))
    for number, vm in enumerate(("vm-1", "vm-2")):
        dispatcher.on_request(request(number, vm), 0.0)
    queued = request(5, "vm-5")
    assert states(dispatcher.on_request(queued, 0.0)) == ["queued"]
    for number, vm in enumerate(("vm-1", "vm-2")):
        dispatcher.on_release(release(number, messages.SlotResult.FAILED, vm), 0.0)
    dispatcher.on_release(release(5, messages.SlotResult.FAILED, "vm-5"), 0.0)
    # Without word of the other region, VMs choose by themselves.
    assert states(dispatcher.on_request(request(6), 1.0)) == ["no_instance"]
    dispatcher.on_free_slots(messages.FreeSlots("vm-b", "b", {"desk": 0}), 2.0)
    assert states(dispatcher.on_request(request(7), 3.0)) == ["elsewhere"]
    # The same holds for a request that failed at all instances here.
    later = 60_000.0
    dispatcher.on_free_slots(messages.FreeSlots("vm-b", "b", {"desk": 0}), later)
    tried = request(8, excluded=["i-1"])
    assert states(dispatcher.on_request(tried, later)) == ["elsewhere"]


def test_queue_of_a_region_that_lost_its_instances_is_sent_away():
    """Its requests waited for their time to run out."""
    instances = [instance("i-1")]
    dispatcher = core.SlotDispatcher(
        "vm-0", "a", REGIONS, lambda service: instances, random.Random(1)
    )
    for number in range(3):
        dispatcher.on_request(request(number), 0.0)
    instances.clear()
    assert states(dispatcher.tick(100.0)) == ["no_instance"]


def test_leaving_dispatcher_sends_its_queue_away():
    """Requests that wait at a VM that stops would wait for ever."""
    dispatcher = create_dispatcher(instance("i-1"))
    for number in range(4):
        dispatcher.on_request(request(number), 0.0)
    assert states(dispatcher.leave()) == ["unavailable"] * 2
    assert not dispatcher.leave()


def test_data_centre_that_the_settings_do_not_name_has_slots():
    """The settings of a VM may be older than a data centre."""
    new = instance("i-1", "c1")
    dispatcher = core.SlotDispatcher(
        "vm-0", "c1", REGIONS, lambda service: [new], random.Random(1)
    )
    asking = request(1, data_centre="c1")
    assert states(dispatcher.on_request(asking, 0.0)) == ["granted"]


def test_draining_instances_get_nothing():
    """An instance that leaves must get no new request."""
    dispatcher = create_dispatcher(instance("i-1", draining=True))
    assert states(dispatcher.on_request(request(1), 0.0)) == ["no_instance"]


def test_requests_of_other_vms_at_an_instance_count():
    """VMs that reach no dispatcher choose by themselves."""
    dispatcher = create_dispatcher(instance("i-1"))
    dispatcher.on_request(request(1), 0.0)
    dispatcher.on_release(release(1, reported_requests=3), 50.0)
    assert states(dispatcher.on_request(request(2), 51.0)) == ["queued"]


def count_granted(dispatcher, duration_ms, **changes):
    """Return how many of 50 requests per second get a slot, each used for 20 ms."""
    granted = 0
    for number in range(int(duration_ms / 20.0)):
        now = 20.0 * number
        replies = [
            *dispatcher.on_request(request(number, **changes), now),
            *dispatcher.tick(now),
        ]
        for addressed in replies:
            if addressed.reply.state == messages.ReplyState.GRANTED:
                granted += 1
                dispatcher.on_release(release(addressed.reply.number), now + 10.0)
    return granted


def test_instances_that_name_limits_get_no_more_slots():
    """One dispatcher sees the requests of all VMs of its region at an instance."""
    board = shared_facts.FactBoard()
    limits = shared_facts.InstanceLimits(board)
    limits.on_answer("i-1", 1, 5.0, 0.0)
    dispatcher = create_dispatcher(instance("i-1"), limits=limits)
    assert 15 <= count_granted(dispatcher, 4_000.0) <= 22


def test_requests_for_one_holder_wait_for_its_limit_only():
    """The holder of a key can't be replaced by an instance that names no limit."""
    board = shared_facts.FactBoard()
    limits = shared_facts.InstanceLimits(board)
    limits.on_answer("i-1", 1, 5.0, 0.0)
    dispatcher = create_dispatcher(instance("i-1"), instance("i-2"), limits=limits)
    changes = {"only": "i-1", "may_go_elsewhere": False}
    assert 15 <= count_granted(dispatcher, 4_000.0, **changes) <= 22


def test_request_beyond_all_limits_is_refused_at_once():
    """A request that waits for its deadline in vain holds its caller up."""
    board = shared_facts.FactBoard()
    limits = shared_facts.InstanceLimits(board)
    limits.on_answer("i-1", 1, 1.0, 0.0)
    dispatcher = create_dispatcher(instance("i-1"), limits=limits)
    assert states(dispatcher.on_request(request(1), 0.0))[-1] != "granted"
    assert states(dispatcher.on_request(request(2), 0.0)) == ["refused"]


def test_limit_holds_while_the_dispatcher_changes_twice():
    """A dispatcher that is lost and returns overlaps with the one in between."""
    limit_per_s, vm_count, window_ms = 6.4, 9, 4_000.0
    generator = random.Random(1)
    limits = shared_facts.InstanceLimits(shared_facts.FactBoard())
    limits.on_answer("i-1", 1, limit_per_s, 0.0)
    limiters = [
        rate_limit.RateLimiter(limit_per_s / vm_count, 0.0, generator.random())
        for _ in range(vm_count)
    ]
    # The first dispatcher ends at 4 s and is back at 5 s; VMs return to it one by one.
    dispatchers = [create_dispatcher(instance("i-1"), limits=limits) for _ in range(3)]
    returned_at = [5_000.0 + generator.uniform(0.0, 2_000.0) for _ in range(vm_count)]
    sent, now, number = [], 0.0, 0
    while now < 10_000.0:
        now += generator.expovariate(20.0 / 1000.0)
        number += 1
        limits.on_answer("i-1", 1, limit_per_s, now)
        vm = generator.randrange(vm_count)
        serving = 0 if now < 4_000.0 else 2 if now >= returned_at[vm] else 1
        if 4_000.0 <= now < 4_300.0 or generator.random() < 0.1:
            # This VM has heard of no dispatcher in time.
            if limiters[vm].wait_ms(0, now) <= 0.0:
                limiters[vm].take(now)
                sent.append(now)
            continue
        for addressed in dispatchers[serving].on_request(
            request(number, max_wait_ms=0.0, only="i-1", may_go_elsewhere=False), now
        ):
            if addressed.reply.state == messages.ReplyState.GRANTED:
                sent.append(now)
                dispatchers[serving].on_release(release(number), now + 1.0)
    most = max(
        sum(1 for at in sent if start <= at < start + window_ms) for start in sent
    )
    assert most <= 1.5 * limit_per_s * window_ms / 1000.0 + 5.0
    assert len(sent) > 0.7 * limit_per_s * 10.0


def test_two_dispatchers_of_one_service_share_a_limit():
    """VMs may disagree for seconds about which of two VMs assigns the slots."""
    limit_per_s = 6.4
    boards = [shared_facts.FactBoard() for _ in range(2)]
    limits = [shared_facts.InstanceLimits(board) for board in boards]
    limits[0].on_answer("i-1", 1, limit_per_s, 0.0)
    dispatchers = [
        core.SlotDispatcher(
            f"vm-{index}",
            "a",
            REGIONS,
            lambda service: [instance("i-1")],
            random.Random(index),
            ramp_up.PacedLimits(boards[index]),
        )
        for index in range(2)
    ]
    sent = []
    for number in range(400):
        now = 50.0 * number
        limits[0].on_answer("i-1", 1, limit_per_s, now)
        boards[1].receive(boards[0].take_unpublished(now), now)
        boards[0].receive(boards[1].take_unpublished(now), now)
        for dispatcher in dispatchers:
            for addressed in dispatcher.on_request(
                request(number, max_wait_ms=0.0, only="i-1", may_go_elsewhere=False),
                now,
            ):
                if addressed.reply.state == messages.ReplyState.GRANTED:
                    sent.append(now)
                    dispatcher.on_release(release(number), now + 1.0)
    most = max(sum(1 for at in sent if start <= at < start + 4_000.0) for start in sent)
    assert most <= 1.5 * limit_per_s * 4.0 + 5.0
    assert len(sent) > 0.7 * limit_per_s * 20.0


def test_dispatcher_names_no_region_that_a_request_excludes():
    """The reports of free slots sent bookings to a region that their route excludes."""
    dispatcher = create_dispatcher(instance("i-1"), instance("far", "b1"))
    for number in (1, 2):
        dispatcher.on_request(request(number), 0.0)
    dispatcher.on_free_slots(messages.FreeSlots("vm-b", "b", {"desk": 9}), 0.0)
    dispatcher.on_free_slots(messages.FreeSlots("vm-c", "c", {"desk": 5}), 0.0)
    own_only = request(3, allowed_regions=["a"])
    assert states(dispatcher.on_request(own_only, 1.0)) == ["queued"]
    several = dispatcher.on_request(request(4, allowed_regions=["a", "c"]), 1.0)
    assert states(several) == ["elsewhere"]
    assert several[0].reply.instance == "vm-c"
    assert dispatcher.on_request(request(5), 1.0)[0].reply.instance == "vm-b"


def test_dispatcher_of_an_excluded_region_grants_nothing():
    """A VM with an older configuration, or a late datagram, may ask the wrong one."""
    dispatcher = create_dispatcher(instance("i-1"))
    asked = request(1, allowed_regions=["b"])
    assert states(dispatcher.on_request(asked, 0.0)) == ["no_instance"]
    dispatcher.on_free_slots(messages.FreeSlots("vm-b", "b", {"desk": 1}), 0.0)
    asked = request(2, allowed_regions=["b"])
    assert states(dispatcher.on_request(asked, 0.0)) == ["elsewhere"]


def test_large_response_waits_for_a_slot_of_its_region():
    """Large responses filled the link between regions although slots were free soon."""
    dispatcher = create_dispatcher(instance("i-1"))
    slow_target = {
        "target_latency_ms": 3_000.0,
        "target_left_ms": 3_000.0,
        "has_large_response": True,
    }
    for number in (1, 2):
        dispatcher.on_request(request(number, **slow_target), 0.0)
    dispatcher.on_release(release(1, kilobytes=90.0), 100.0)
    dispatcher.on_request(request(3, **slow_target), 100.0)
    dispatcher.on_free_slots(messages.FreeSlots("vm-9", "b", {"desk": 9}), 100.0)
    waiting = request(4, max_wait_ms=1_800.0, **slow_target)
    assert states(dispatcher.on_request(waiting, 100.0)) == ["queued"]
    late = request(5, max_wait_ms=1_800.0, **{**slow_target, "target_left_ms": 0.0})
    assert states(dispatcher.on_request(late, 100.0)) == ["elsewhere"]

"""Check that at most one VM holds authority over a shard at any time."""

import random

import pytest

from wasabivalve.ownership import authority, promises, replay

SHARD = "slotbook/0"
VMS = ("a", "b", "c")


def log_state(**changes):
    shard = replay.Shard(3, VMS, -1, 5, ("a", "b", "c", "a"), 1)._replace(**changes)
    return replay.ControlState(9, {SHARD: shard})


def request(vm, position, sent_at=0.0, term=5, group_revision=3, claim=False):
    return {
        "shard": SHARD,
        "vm": vm,
        "group_revision": group_revision,
        "term": term,
        "position": position,
        "sent_at": sent_at,
        "claim": claim,
        "revision": 1,
    }


def ready_granter(vm="c"):
    granter = promises.PromiseGranter(vm, -600.0)
    granter.on_log_read(log_state())
    granter.tick(-300.0)
    granter.tick(0.0)
    return granter


def make_authority(vm, granter_by_vm, first_offset=0):
    own_authority = authority.Authority(vm, SHARD, granter_by_vm[vm], random.Random(1))
    own_authority.on_log_read(replay.ControlState(first_offset), -1000.0)
    # A new member delays its requests; the reads at -1000 ms let that delay end before
    # 0 ms.
    own_authority.on_log_read(log_state(), -1000.0)
    own_authority.on_log_read(log_state(), 0.0)
    return own_authority


def send_due_requests(own_authority, granter_by_vm, now, reachable=VMS):
    for vm, message in own_authority.due_requests(now):
        if vm in reachable:
            own_authority.on_reply(granter_by_vm[vm].on_request(message, now), now)


def test_granter_waits_after_start_and_reads_the_log():
    """Promises granted before a restart are lost but may still be in force."""
    granter = promises.PromiseGranter("a", 0.0)
    assert granter.on_request(request("b", 0), 200.0)["reason"] == promises.LOG_NOT_READ
    granter.on_log_read(log_state())
    reply = granter.on_request(request("b", 0), 367.0)
    assert reply["reason"] == promises.STARTED_RECENTLY
    assert granter.on_request(request("b", 0), 367.5)["granted"]


def test_granter_waits_after_a_pause():
    """A process that was paused does not know how long its promises have run."""
    granter = ready_granter()
    assert granter.on_request(request("b", 0), 351.0)["reason"]
    granter.tick(600.0)
    assert granter.on_request(request("b", 0), 719.0)["granted"]


def test_promise_is_exclusive_for_longer_than_the_holder_counts():
    """Two VMs must not hold one promise if their clock rates differ by 5 %."""
    granter = ready_granter()
    assert granter.on_request(request("a", 0), 0.0)["granted"]
    granter.tick(300.0)
    refused = granter.on_request(request("b", 1), 367.0)
    assert refused["reason"] == promises.PROMISED_TO_ANOTHER
    assert granter.on_request(request("b", 1), 367.5)["granted"]


@pytest.mark.parametrize(
    "lower",
    [
        request("a", 0),
        request("a", 3, term=4),
        request("a", 3, group_revision=2),
        request("a", 3, term=4, claim=True),
    ],
)
def test_lower_rank_is_refused(lower):
    """A controller with an older state must not act again with a lower token."""
    granter = ready_granter()
    assert granter.on_request(request("b", 1), 0.0)["granted"]
    granter.tick(300.0)
    assert granter.on_request(lower, 500.0)["reason"] == promises.RANK_TOO_LOW
    assert granter.on_request(request("a", 3), 500.0)["granted"]


def test_authority_counts_from_sending_and_needs_a_majority():
    """Authority counted from receipt would overlap with that of the next holder."""
    granter_by_vm = {vm: ready_granter(vm) for vm in VMS}
    own_authority = make_authority("a", granter_by_vm)
    ((_, message), *_) = own_authority.due_requests(10.0)
    own_authority.on_reply(granter_by_vm["a"].on_request(message, 20.0), 30.0)
    assert not own_authority.is_held(30.0)
    own_authority.on_reply(granter_by_vm["b"].on_request(message, 20.0), 90.0)
    assert own_authority.is_held(359.0)
    assert not own_authority.is_held(360.0)
    assert (own_authority.epoch, own_authority.gained_at) == (1, 90.0)


def test_successor_takes_over_without_the_log():
    """A log outage must not prevent a takeover."""
    granter_by_vm = {vm: ready_granter(vm) for vm in VMS}
    first_authority = make_authority("a", granter_by_vm)
    second_authority = make_authority("b", granter_by_vm)
    send_due_requests(first_authority, granter_by_vm, 0.0)
    for now in range(0, 500, 10):
        for granter in granter_by_vm.values():
            granter.tick(float(now))
        send_due_requests(second_authority, granter_by_vm, float(now), ("b", "c"))
        assert not (first_authority.is_held(now) and second_authority.is_held(now))
    assert second_authority.is_held(490.0)
    assert second_authority.position == 1


def test_restarted_vm_needs_a_new_term():
    """Its earlier incarnation may have sent commands with the same tokens."""
    granter_by_vm = {vm: ready_granter(vm) for vm in VMS}
    own_authority = make_authority("a", granter_by_vm, first_offset=8)
    ((_, message), *_) = own_authority.due_requests(500.0)
    assert message["claim"]


def test_long_silence_of_the_log_ends_authority():
    """A group reset that this VM has not read may have replaced it."""
    granter_by_vm = {vm: ready_granter(vm) for vm in VMS}
    own_authority = make_authority("a", granter_by_vm)
    send_due_requests(own_authority, granter_by_vm, 100.0)
    own_authority.max_log_silence_ms = 120.0
    assert own_authority.is_held(120.0)
    assert not own_authority.is_held(121.0)


def test_group_reset_ends_authority():
    """The old group may still promise authority to an earlier controller."""
    granter_by_vm = {vm: ready_granter(vm) for vm in VMS}
    own_authority = make_authority("a", granter_by_vm)
    send_due_requests(own_authority, granter_by_vm, 100.0)
    own_authority.on_log_read(log_state(group_revision=4, reset_offset=8), 110.0)
    assert not own_authority.is_held(111.0)
    ((_, message), *_) = own_authority.due_requests(200.0)
    assert message["claim"]


def test_controller_detects_that_it_is_behind():
    """Servers of a later assignment may hold ranges unknown to this controller."""
    granter_by_vm = {vm: ready_granter(vm) for vm in VMS}
    for granter in granter_by_vm.values():
        granter.on_request({**request("c", 2), "revision": 4}, 0.0)
        granter.tick(300.0)
    own_authority = make_authority("a", granter_by_vm)
    send_due_requests(own_authority, granter_by_vm, 400.0)
    assert own_authority.is_held(400.0) and own_authority.is_behind()


def test_position_seen_in_a_table_is_not_used_again():
    """Routers ignore tables of a lower position, and restarted granters lose it."""
    granter_by_vm = {vm: ready_granter(vm) for vm in VMS}
    own_authority = make_authority("a", granter_by_vm)
    own_authority.on_position_seen(5, 1)
    ((_, message), *_) = own_authority.due_requests(10.0)
    assert message["position"] == 3
    own_authority.on_reply(granter_by_vm["a"].on_request(message, 20.0), 30.0)
    own_authority.on_reply(granter_by_vm["b"].on_request(message, 20.0), 30.0)
    assert own_authority.is_held(40.0)
    own_authority.on_position_seen(5, 4)
    assert not own_authority.is_held(40.0)

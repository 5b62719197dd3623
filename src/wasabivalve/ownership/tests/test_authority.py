"""Guard the exclusivity in time of authority."""

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


def ready_giver(vm="c"):
    giver = promises.PromiseGranter(vm, -600.0)
    giver.on_log_read(log_state())
    giver.tick(-300.0)
    giver.tick(0.0)
    return giver


def controller(vm, givers, first_offset=0):
    held = authority.Authority(vm, SHARD, givers[vm], random.Random(1))
    held.on_log_read(replay.ControlState(first_offset), -1000.0)
    # A new member of the group lets the holder ask first.
    held.on_log_read(log_state(), -1000.0)
    held.on_log_read(log_state(), 0.0)
    return held


def exchange(held, givers, now, reachable=VMS):
    for vm, message in held.due_requests(now):
        if vm in reachable:
            held.on_reply(givers[vm].on_request(message, now), now)


def test_giver_waits_after_start_and_reads_the_log():
    """Promises given before a restart are forgotten and may still run."""
    giver = promises.PromiseGranter("a", 0.0)
    assert giver.on_request(request("b", 0), 200.0)["reason"] == promises.LOG_NOT_READ
    giver.on_log_read(log_state())
    reply = giver.on_request(request("b", 0), 367.0)
    assert reply["reason"] == promises.STARTED_RECENTLY
    assert giver.on_request(request("b", 0), 367.5)["granted"]


def test_giver_waits_after_a_pause():
    """A VM that was stopped cannot know how long its promises have run."""
    giver = ready_giver()
    assert giver.on_request(request("b", 0), 351.0)["reason"]
    giver.tick(600.0)
    assert giver.on_request(request("b", 0), 719.0)["granted"]


def test_promise_is_exclusive_for_longer_than_the_holder_counts():
    """Clocks that differ by 5 % must not let two VMs hold one promise."""
    giver = ready_giver()
    assert giver.on_request(request("a", 0), 0.0)["granted"]
    giver.tick(300.0)
    refused = giver.on_request(request("b", 1), 367.0)
    assert refused["reason"] == promises.PROMISED_TO_ANOTHER
    assert giver.on_request(request("b", 1), 367.5)["granted"]


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
    """A controller that is behind must not return with an older token."""
    giver = ready_giver()
    assert giver.on_request(request("b", 1), 0.0)["granted"]
    giver.tick(300.0)
    assert giver.on_request(lower, 500.0)["reason"] == promises.RANK_TOO_LOW
    assert giver.on_request(request("a", 3), 500.0)["granted"]


def test_authority_counts_from_sending_and_needs_a_majority():
    """Counting from receipt would overlap with the next holder."""
    givers = {vm: ready_giver(vm) for vm in VMS}
    held = controller("a", givers)
    ((_, message), *_) = held.due_requests(10.0)
    held.on_reply(givers["a"].on_request(message, 20.0), 30.0)
    assert not held.is_held(30.0)
    held.on_reply(givers["b"].on_request(message, 20.0), 90.0)
    assert held.is_held(359.0)
    assert not held.is_held(360.0)
    assert (held.epoch, held.gained_at) == (1, 90.0)


def test_successor_takes_over_without_the_log():
    """A log outage must not stop succession."""
    givers = {vm: ready_giver(vm) for vm in VMS}
    first = controller("a", givers)
    second = controller("b", givers)
    exchange(first, givers, 0.0)
    for now in range(0, 500, 10):
        for giver in givers.values():
            giver.tick(float(now))
        exchange(second, givers, float(now), ("b", "c"))
        assert not (first.is_held(now) and second.is_held(now))
    assert second.is_held(490.0)
    assert second.position == 1


def test_restarted_vm_needs_a_new_term():
    """Its earlier start may have sent commands with the same tokens."""
    givers = {vm: ready_giver(vm) for vm in VMS}
    held = controller("a", givers, first_offset=8)
    ((_, message), *_) = held.due_requests(500.0)
    assert message["claim"]


def test_long_silence_of_the_log_ends_authority():
    """A group reset that this VM has not read may have replaced it."""
    givers = {vm: ready_giver(vm) for vm in VMS}
    held = controller("a", givers)
    exchange(held, givers, 100.0)
    held.max_log_silence_ms = 120.0
    assert held.is_held(120.0)
    assert not held.is_held(121.0)


def test_group_reset_ends_authority():
    """The old group may promise to an old controller at the same time."""
    givers = {vm: ready_giver(vm) for vm in VMS}
    held = controller("a", givers)
    exchange(held, givers, 100.0)
    held.on_log_read(log_state(group_revision=4, reset_offset=8), 110.0)
    assert not held.is_held(111.0)
    ((_, message), *_) = held.due_requests(200.0)
    assert message["claim"]


def test_controller_learns_that_it_is_behind():
    """Servers of a later assignment may hold ranges that it does not know."""
    givers = {vm: ready_giver(vm) for vm in VMS}
    for giver in givers.values():
        giver.on_request({**request("c", 2), "revision": 4}, 0.0)
        giver.tick(300.0)
    held = controller("a", givers)
    exchange(held, givers, 400.0)
    assert held.is_held(400.0) and held.is_behind()


def test_position_seen_in_a_table_is_not_used_again():
    """Routers ignore the tables of a lower position, and givers may forget it."""
    givers = {vm: ready_giver(vm) for vm in VMS}
    held = controller("a", givers)
    held.on_position_seen(5, 1)
    ((_, message), *_) = held.due_requests(10.0)
    assert message["position"] == 3
    held.on_reply(givers["a"].on_request(message, 20.0), 30.0)
    held.on_reply(givers["b"].on_request(message, 20.0), 30.0)
    assert held.is_held(40.0)
    held.on_position_seen(5, 4)
    assert not held.is_held(40.0)

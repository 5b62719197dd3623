"""Check the rules by which a server holds, drains and loses ranges."""

import pytest

from wasabivalve.ownership import fencing, key_ranges, server_lease

FIRST = fencing.FencingToken(1, 0, 1)
LATER = fencing.FencingToken(1, 1, 0)
ALL = server_lease.HeldRange(0, key_ranges.POSITION_COUNT)
KEY = "blanket-7"
POSITION = key_ranges.position_of_key(KEY)
SINGLE = server_lease.HeldRange(POSITION, POSITION + 1, KEY)


def command(action, at, stamp=0.0, ranges=()):
    return server_lease.OwnershipCommand(action, "slotbook/0", at, stamp, ranges)


def make_granted_lease(checks_fencing=True, ranges=(ALL,)):
    lease = server_lease.ServerLease(checks_fencing, 700.0)
    lease.handle(command("fence", FIRST), 0.0)
    assert lease.handle(command("grant", FIRST, 0.0, ranges), 10.0).accepted
    return lease


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_lease_counts_from_the_echoed_stamp(checks_fencing):
    """A lease counted from receipt of a delayed grant would end after its bound."""
    lease = make_granted_lease(checks_fencing)
    assert lease.start_refusal(KEY, FIRST, 699.0) is None
    assert lease.start_refusal(KEY, FIRST, 700.0)
    assert lease.commit_refusal(KEY, FIRST, 700.0)


def test_lower_token_is_refused_after_fence():
    """A command of an older controller would otherwise create a second owner."""
    lease = make_granted_lease(ranges=())
    assert lease.handle(command("fence", LATER), 20.0).accepted
    late_reply = lease.handle(command("grant", FIRST, 0.0, (ALL,)), 30.0)
    assert (late_reply.accepted, late_reply.highest_token, late_reply.held) == (
        False,
        LATER,
        (),
    )


def test_stamp_of_another_process_is_refused():
    """A command sent before a restart would otherwise start a lease."""
    lease = server_lease.ServerLease(True, 700.0)
    assert not lease.handle(command("grant", FIRST, 500.0, (ALL,)), 600.0).accepted
    assert lease.start_refusal(KEY, FIRST, 601.0)


def test_renewal_after_the_end_restores_nothing():
    """A range that may have a new owner must not be held again without a grant."""
    lease = make_granted_lease()
    stamp = lease.handle(command("fence", FIRST), 699.0).stamp
    assert lease.handle(command("renew", FIRST, stamp), 710.0).accepted
    assert lease.commit_refusal(KEY, FIRST, 711.0)


def test_listed_renewal_leaves_other_ranges_to_expire():
    """Without a token check, a renewal must not extend the lease of a late grant."""
    lease = make_granted_lease(False, (ALL,))
    stamp = lease.handle(command("fence", FIRST), 300.0).stamp
    later_positions = server_lease.HeldRange(POSITION + 1, key_ranges.POSITION_COUNT)
    assert lease.handle(
        command("renew", FIRST, stamp, (later_positions,)), 310.0
    ).accepted
    assert lease.start_refusal(KEY, FIRST, 701.0)
    assert len(lease.handle(command("fence", FIRST), 702.0).held) == 1


def test_single_key_is_cut_out_of_its_range():
    """A hot key that moved away would otherwise have two owners."""
    lease = make_granted_lease()
    reply = lease.handle(command("revoke", LATER, 0.0, (SINGLE,)), 20.0)
    assert len(reply.held) == 2
    assert lease.commit_refusal(KEY, FIRST, 30.0)
    lease.handle(command("grant", LATER, reply.stamp, (SINGLE,)), 40.0)
    assert lease.commit_refusal(KEY, FIRST, 50.0)
    assert lease.commit_refusal(KEY, LATER, 50.0) is None


def test_drain_finishes_running_requests_before_revoke():
    """A planned move must not prevent a request in flight from its commit."""
    lease = make_granted_lease()
    lease.on_request_started(KEY)
    assert lease.handle(command("drain", FIRST, 0.0, (ALL,)), 20.0).accepted
    assert lease.start_refusal(KEY, FIRST, 30.0) == "range is draining"
    assert not lease.handle(command("revoke", FIRST, 0.0, (ALL,)), 40.0).accepted
    assert lease.commit_refusal(KEY, FIRST, 50.0) is None
    lease.on_request_finished(KEY)
    reply = lease.handle(command("revoke", FIRST, 0.0, (ALL,)), 60.0)
    assert (reply.accepted, reply.held) == (True, ())


def test_grant_after_drain_keeps_the_token():
    """An abandoned move must not fail requests that started before it."""
    lease = make_granted_lease()
    lease.handle(command("drain", FIRST, 0.0, (ALL,)), 20.0)
    reply = lease.handle(command("grant", LATER, 0.0, (ALL,)), 30.0)
    assert [held.token for held in reply.held] == [FIRST]
    assert lease.start_refusal(KEY, FIRST, 40.0) is None


def test_server_without_token_check_accepts_any_token():
    """Such upstreams exist; the controllers must be safe without the check."""
    lease = make_granted_lease(False)
    lease.handle(command("fence", LATER), 20.0)
    assert lease.handle(command("revoke", FIRST, 0.0, (ALL,)), 30.0).accepted

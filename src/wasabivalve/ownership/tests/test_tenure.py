"""Check when a controller grants, revokes and publishes ranges."""

import itertools
import random

import pytest

from wasabivalve.ownership import (
    assignments,
    controller,
    decisions,
    fencing,
    key_ranges,
    owner_tables,
    promises,
    range_lists,
    replay,
    server_lease,
    tenure,
)

SHARD = "slotbook/0"
END = key_ranges.POSITION_COUNT
HALF = END // 2
LEASE_WITH_MARGIN_MS = 630.0


class TenureHarness:
    """Run one tenure with servers whose clocks equal that of the controller."""

    def __init__(self, checks_fencing=True, former_servers=(), servers=("s1", "s2")):
        self.now = 0.0
        self.lease_by_server = {
            name: server_lease.ServerLease(checks_fencing)
            for name in ("s1", "s2", "s3")
        }
        self.cut_off = set()
        self.sent = []
        self.may_grant = True
        steps = itertools.count(1)
        self.next_token = lambda: fencing.FencingToken(5, 0, next(steps))
        self.shard = replay.Shard(
            term=5,
            revision=1,
            ranges=(
                range_lists.ListedRange(0, HALF, servers),
                range_lists.ListedRange(HALF, END, ("s2", "s3")),
            ),
            former_servers=former_servers,
        )
        self.tenure = tenure.Tenure(SHARD, checks_fencing, 0.0, LEASE_WITH_MARGIN_MS)
        self.tenure.update_lists(self.shard, (), (), 0.0)

    def run_until(self, end):
        while self.now < end:
            self.now += 10.0
            for server, command in self.tenure.commands(
                self.now, self.may_grant, self.next_token
            ):
                self.sent.append((self.now, server, command))
                if server not in self.cut_off:
                    reply = self.lease_by_server[server].handle(command, self.now)
                    self.tenure.on_reply(server, command, reply, self.now)

    def actions(self, server, *actions):
        return [
            (at, command.action)
            for at, name, command in self.sent
            if name == server and command.action in actions
        ]

    def owner(self, start=0, end=HALF):
        return self.tenure.owner_by_span.get((start, end))


@pytest.mark.parametrize("cut_off", ["s1", "former", "s3"])
def test_silent_server_delays_grants_until_its_lease_has_ended(cut_off):
    """Any server that was ever listed may hold a range without reporting it."""
    harness = TenureHarness(former_servers=("former",))
    harness.lease_by_server["former"] = server_lease.ServerLease(True)
    harness.cut_off = {cut_off}
    harness.run_until(LEASE_WITH_MARGIN_MS - 10.0)
    assert not any(command.action == "grant" for _, _, command in harness.sent)
    harness.run_until(LEASE_WITH_MARGIN_MS + 60.0)
    assert harness.owner() == ("s2" if cut_off == "s1" else "s1")


def test_reported_range_stays_although_another_server_is_silent():
    """A new controller must not make keys with an owner unavailable."""
    harness = TenureHarness()
    lease = harness.lease_by_server["s1"]
    lease.handle(server_lease.OwnershipCommand("fence", SHARD, (1, 0, 0), 0.0), 0.0)
    all_positions = (server_lease.HeldRange(0, END),)
    grant = server_lease.OwnershipCommand("grant", SHARD, (1, 0, 1), 0.0, all_positions)
    assert lease.handle(grant, 1.0).accepted
    harness.cut_off = {"s3"}
    harness.run_until(40.0)
    assert harness.owner() == "s1"
    assert not harness.actions("s1", "grant")


def test_lost_server_is_replaced_after_the_bound_of_its_last_stamp():
    """Suspicion of a server must not shorten the wait for the end of its lease."""
    harness = TenureHarness()
    harness.run_until(1000.0)
    harness.cut_off = {"s1"}
    harness.run_until(1400.0)
    assert harness.tenure.view_by_server["s1"].is_suspected(harness.now)
    harness.run_until(2200.0)
    stamps = [command.stamp for at, name, command in harness.sent if name == "s1"]
    granted = [at for at, action in harness.actions("s2", "grant") if at > 1000.0]
    assert granted[0] >= max(stamps) + LEASE_WITH_MARGIN_MS
    assert granted[0] <= 1000.0 + LEASE_WITH_MARGIN_MS + 20.0
    assert harness.owner() == "s2"


def test_planned_move_prepares_drains_revokes_and_grants():
    """Another order would interrupt requests or create a second owner."""
    harness = TenureHarness()
    harness.run_until(900.0)
    ranges = (range_lists.ListedRange(0, HALF, ("s3", "s1")), harness.shard.ranges[1])
    harness.tenure.update_lists(harness.shard._replace(ranges=ranges), (), (), 900.0)
    harness.tenure.start_moves({(0, HALF): "s3"})
    key = next(f"k{n}" for n in range(99) if key_ranges.position_of_key(f"k{n}") < HALF)
    harness.lease_by_server["s1"].on_request_started(key)
    harness.run_until(1000.0)
    assert harness.owner() is None
    assert not harness.actions("s3", "grant")
    harness.lease_by_server["s1"].on_request_finished(key)
    harness.run_until(1100.0)
    assert harness.owner() == "s3"
    moved = [
        command.action
        for at, _, command in harness.sent
        if at > 900.0 and command.action not in ("renew", "fence")
    ]
    assert list(dict.fromkeys(moved)) == ["prepare", "drain", "revoke", "grant"]


def test_controller_that_is_behind_grants_nothing():
    """A later assignment may have given a range to a server that it does not know."""
    harness = TenureHarness()
    harness.may_grant = False
    harness.run_until(2000.0)
    assert not any(command.action == "grant" for _, _, command in harness.sent)


def test_empty_inventory_without_token_check_proves_nothing_at_first():
    """A grant of an earlier controller may still reach a server without the check."""
    harness = TenureHarness(checks_fencing=False)
    harness.run_until(LEASE_WITH_MARGIN_MS - 10.0)
    assert not any(command.action == "grant" for _, _, command in harness.sent)
    harness.run_until(LEASE_WITH_MARGIN_MS + 30.0)
    assert harness.owner() == "s1"


def test_unanswered_grant_without_token_check_counts_until_it_expires():
    """The grant may take effect after a later revocation was acknowledged."""
    harness = TenureHarness(checks_fencing=False)
    harness.run_until(LEASE_WITH_MARGIN_MS - 35.0)
    while not harness.actions("s1", "grant"):
        harness.run_until(harness.now + 10.0)
        harness.cut_off = (
            {"s1"} if harness.now >= LEASE_WITH_MARGIN_MS - 10.0 else set()
        )
    granted_at = harness.actions("s1", "grant")[0][0]
    harness.cut_off = set()
    harness.run_until(granted_at + 250.0)
    view = harness.tenure.view_by_server["s1"]
    assert view.is_usable(harness.now)
    revoke = server_lease.OwnershipCommand(
        "revoke", SHARD, (9, 0, 0), 0.0, (server_lease.HeldRange(0, END),)
    )
    harness.lease_by_server["s1"].handle(revoke, harness.now)
    view.held = ()
    assert view.may_hold(0, HALF, harness.now)


def test_table_names_the_token_of_each_grant():
    """A server refuses a request whose token is not that of the grant."""
    harness = TenureHarness()
    harness.run_until(900.0)
    table = owner_tables.build(
        harness.tenure, fencing.FencingToken(5, 0, 99), harness.now
    )
    assert [item["server"] for item in table["ranges"]] == ["s1", "s2"]
    assert [item["last"] + 1 for item in table["ranges"]] == [HALF, END]
    for key in ("lodge-1", "lodge-2", "lodge-3"):
        position = key_ranges.position_of_key(key)
        owner = table["ranges"][position >= HALF]
        token = fencing.FencingToken(**owner["token"])
        lease = harness.lease_by_server[owner["server"]]
        assert lease.start_refusal(key, token, harness.now) is None


def test_upkeep_fills_lists_only_where_something_changed():
    """Changes of other lists would move keys without need."""
    harness = TenureHarness(servers=("s1", "gone"))
    harness.cut_off = {"gone"}
    harness.run_until(900.0)
    services = assignments.ServiceServers(("s1", "s2", "s3"))
    changes = assignments.draft_assignment(harness.tenure, services, (), harness.now)
    assert [item["start"] for item in changes.ranges] == [0, HALF]
    assert changes.ranges[0]["servers"][0] == "s1"
    assert "gone" not in changes.ranges[0]["servers"]
    assert changes.ranges[1]["servers"][:2] == ["s2", "s3"]


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_group_reset_prolongs_the_wait_for_silent_servers(checks_fencing):
    """A controller of the old group may act until its maximum log silence."""
    granter = promises.PromiseGranter("a", 0.0)
    shard_controller = controller.ShardController(
        "a", SHARD, checks_fencing, granter, random.Random(1), max_log_silence_ms=5000.0
    )
    shard = replay.Shard(
        group_revision=2,
        group=("a",),
        reset_offset=0,
        term=1,
        controllers=("a",),
        revision=1,
        ranges=(range_lists.ListedRange(0, END, ("s1", "s2")),),
    )
    lease = server_lease.ServerLease(checks_fencing)
    granted_at = commanded_at = None
    shard_controller.handle(decisions.LogRead(replay.ControlState(0)), 0.0)
    state = replay.ControlState(2, {SHARD: shard})
    pending_events = [decisions.LogRead(state)]
    for now in map(float, range(0, 9000, 20)):
        granter.tick(now)
        granter.on_log_read(state)
        pending_events.append(decisions.ControllerTick())
        if now % 1000 == 0:
            pending_events.append(decisions.LogRead(state))
        while pending_events:
            for decision in shard_controller.handle(pending_events.pop(0), now):
                if isinstance(decision, decisions.SendPromiseRequest):
                    reply = granter.on_request(decision.request, now)
                    pending_events.append(decisions.PromiseReplied(reply))
                if isinstance(decision, decisions.SendOwnershipCommand):
                    commanded_at = commanded_at or now
                    if decision.command.action == "grant":
                        granted_at = granted_at or now
                    if decision.server == "s2":
                        command_reply = lease.handle(decision.command, now)
                        event = decisions.OwnershipReplied(
                            "s2", decision.command, command_reply
                        )
                        pending_events.append(event)
    assert granted_at is not None and granted_at >= 5000.0 * 1.05 + LEASE_WITH_MARGIN_MS
    assert commanded_at is not None
    assert (commanded_at >= 5000.0 * 1.05) != checks_fencing


def test_table_keeps_the_old_owner_while_a_key_is_cut_out():
    """Without it, routers refuse the key between the log record and the grant."""
    harness = TenureHarness()
    harness.run_until(900.0)
    key = next(f"k{n}" for n in range(99) if key_ranges.position_of_key(f"k{n}") < HALF)
    single = harness.shard._replace(servers_by_key={key: ("s3", "s1")})
    harness.tenure.update_lists(single, (), (), 900.0)
    at = key_ranges.position_of_key(key)
    harness.tenure.start_moves({(at, at + 1): "s3"})
    table = owner_tables.build(
        harness.tenure, fencing.FencingToken(5, 0, 99), harness.now
    )
    assert [item["server"] for item in table["exceptions"]] == ["s1"]
    harness.run_until(1000.0)
    table = owner_tables.build(
        harness.tenure, fencing.FencingToken(5, 0, 100), harness.now
    )
    assert [item["server"] for item in table["exceptions"]] == ["s3"]


def test_abandoned_move_admits_requests_again():
    """A range that stays drained is unavailable even if its lease is renewed."""
    harness = TenureHarness()
    harness.run_until(900.0)
    ranges = (range_lists.ListedRange(0, HALF, ("s3", "s1")), harness.shard.ranges[1])
    harness.tenure.update_lists(harness.shard._replace(ranges=ranges), (), (), 900.0)
    key = next(f"k{n}" for n in range(99) if key_ranges.position_of_key(f"k{n}") < HALF)
    lease = harness.lease_by_server["s1"]
    lease.on_request_started(key)
    harness.tenure.start_moves({(0, HALF): "s3"})
    harness.run_until(1000.0)
    token = lease.token_of_key(key, harness.now)
    assert lease.start_refusal(key, token, harness.now) == "range is draining"
    harness.cut_off = {"s3"}
    harness.run_until(1600.0)
    assert lease.start_refusal(key, token, harness.now) is None
    assert harness.owner() == "s1"

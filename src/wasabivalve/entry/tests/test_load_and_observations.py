"""Guard the reports that entry VMs send each other."""

import collections

import msgspec
import pytest

from wasabivalve import ownership, peers, resources
from wasabivalve.entry import load_counter, observations, shard_balancer
from wasabivalve.ownership import range_lists, replay

HALF = ownership.POSITION_COUNT // 2
SERVERS = {"s1": "khomas-a", "s2": "khomas-b"}


def make_shard(parts=16):
    """Return a shard whose first server owns every range."""
    width = ownership.POSITION_COUNT // parts
    ranges = tuple(
        range_lists.ListedRange(index * width, (index + 1) * width, ("s1", "s2"))
        for index in range(parts)
    )
    return replay.Shard(term=1, revision=1, ranges=ranges)


def test_a_hot_key_is_counted_as_a_key_and_not_with_its_range():
    """The balancer could otherwise not tell a hot key from a hot range."""
    counter = load_counter.LoadCounter()
    counter.set_ranges([0, HALF], [])
    for number in range(100):
        counter.add("hot")
        counter.add(f"cold-{number % 5}")
    report = counter.take_report("slotbook/0")
    requests_by_key = {row["key"]: row["requests"] for row in report["keys"]}
    assert requests_by_key["hot"] == 100
    total = sum(row["requests"] for row in report["ranges"])
    assert total + sum(requests_by_key.values()) == pytest.approx(200)
    again = counter.take_report("slotbook/0")
    assert not again["keys"]


def test_uneven_load_leads_to_moves_within_the_budget():
    """A server that owns everything would otherwise stay overloaded."""
    planner = shard_balancer.ShardBalancer(0.0)
    shard = make_shard()
    report = {
        "shard": "slotbook/0",
        "ranges": [{"start": item.start, "requests": 10.0} for item in shard.ranges],
        "keys": [],
    }
    planner.on_report(report)
    assert planner.plan(shard, SERVERS, shard_balancer.PLAN_INTERVAL_MS - 1) == ()
    moves = planner.plan(shard, SERVERS, shard_balancer.PLAN_INTERVAL_MS)
    assert moves
    assert {move.target for move in moves} == {"s2"}
    assert all(move.start < move.end for move in moves)


class FakeBus:
    """Collect broadcasts."""

    def __init__(self):
        self.sent = collections.deque()

    def broadcast(self, kind, message):
        self.sent.append(message)


def make_view():
    drained = frozenset({("vanlog", "vanlog-1")})
    return resources.ConfigurationView(3, {}, {}, {}, drained, frozenset())


def test_an_instance_is_empty_only_when_every_vm_says_so():
    """An operator would otherwise stop an instance that still runs requests."""
    bus = FakeBus()
    name = "vanlog/vanlog-1"
    shared = observations.DrainObservations("a", bus, make_view, lambda instance: 0)
    shared.tick()
    assert shared.instances(["a", "b"])[name]["missing"] == ["b"]
    assert shared.instances(["a", "b"])[name]["in_flight"] is None
    entries = msgspec.json.encode([{"instance": name, "in_flight": 2}])
    message = bus.sent[0] | {"vm": "b", "entries": entries}
    incoming = peers.IncomingMessage(
        "b", "observation", message, lambda kind, reply: None
    )
    shared.on_observation(incoming)
    assert shared.instances(["a", "b"])[name]["in_flight"] == 2


def test_a_damaged_observation_is_ignored():
    shared = observations.DrainObservations(
        "a", FakeBus(), make_view, lambda instance: 0
    )
    message = {"vm": "b", "sequence": 1, "configuration_revision": 3, "entries": b"{"}
    shared.on_observation(
        peers.IncomingMessage("b", "observation", message, lambda kind, reply: None)
    )
    assert shared.instances(["b"])["vanlog/vanlog-1"]["missing"] == ["b"]

"""Test the load reports and drain observations that entry VMs exchange."""

import collections

import msgspec
import pytest

from wasabivalve import ownership, peers, resources
from wasabivalve.entry import load_counter, observations, shard_balancer
from wasabivalve.ownership import range_lists, replay

MIDDLE_POSITION = ownership.POSITION_COUNT // 2
DATA_CENTRE_BY_SERVER = {"s1": "khomas-a", "s2": "khomas-b"}


def make_shard(range_count=16):
    """Return a shard in which server s1 owns every range."""
    width = ownership.POSITION_COUNT // range_count
    ranges = tuple(
        range_lists.ListedRange(index * width, (index + 1) * width, ("s1", "s2"))
        for index in range(range_count)
    )
    return replay.Shard(term=1, revision=1, ranges=ranges)


def test_hot_key_is_counted_as_a_key_and_not_with_its_range():
    """Otherwise the balancer could not distinguish a hot key from a hot range."""
    counter = load_counter.LoadCounter()
    counter.set_ranges([0, MIDDLE_POSITION], [])
    for number in range(100):
        counter.add("hot")
        counter.add(f"cold-{number % 5}")
    report = counter.take_report("slotbook/0")
    requests_by_key = {row["key"]: row["requests"] for row in report["keys"]}
    assert requests_by_key["hot"] == 100
    range_total = sum(row["requests"] for row in report["ranges"])
    assert range_total + sum(requests_by_key.values()) == pytest.approx(200)
    second_report = counter.take_report("slotbook/0")
    assert not second_report["keys"]


def test_uneven_load_leads_to_moves_within_the_budget():
    """Otherwise a server that owns every range would stay overloaded."""
    balancer = shard_balancer.ShardBalancer(0.0)
    shard = make_shard()
    report = {
        "shard": "slotbook/0",
        "ranges": [
            {"start": listed_range.start, "requests": 10.0}
            for listed_range in shard.ranges
        ],
        "keys": [],
    }
    balancer.on_report(report)
    assert (
        balancer.plan(shard, DATA_CENTRE_BY_SERVER, shard_balancer.PLAN_INTERVAL_MS - 1)
        == ()
    )
    moves = balancer.plan(shard, DATA_CENTRE_BY_SERVER, shard_balancer.PLAN_INTERVAL_MS)
    assert moves
    assert {move.target for move in moves} == {"s2"}
    assert all(move.start < move.end for move in moves)


class FakeBus:
    """Record the messages that are broadcast."""

    def __init__(self):
        self.broadcasts = collections.deque()

    def broadcast(self, kind, message):
        self.broadcasts.append(message)


def make_view():
    drained = frozenset({("vanlog", "vanlog-1")})
    return resources.ConfigurationView(3, {}, {}, {}, drained, frozenset())


def test_instance_is_drained_only_when_every_vm_has_reported():
    """Otherwise an operator could stop an instance that still runs requests."""
    bus = FakeBus()
    name = "vanlog/vanlog-1"
    drain_observations = observations.DrainObservations(
        "a", bus, make_view, lambda instance: 0
    )
    drain_observations.tick()
    assert drain_observations.instances(["a", "b"])[name]["missing"] == ["b"]
    assert drain_observations.instances(["a", "b"])[name]["in_flight"] is None
    entries = msgspec.json.encode([{"instance": name, "in_flight": 2}])
    message = bus.broadcasts[0] | {"vm": "b", "entries": entries}
    incoming = peers.IncomingMessage(
        "b", "observation", message, lambda kind, reply: None
    )
    drain_observations.on_observation(incoming)
    assert drain_observations.instances(["a", "b"])[name]["in_flight"] == 2


def test_undecodable_observation_is_ignored():
    drain_observations = observations.DrainObservations(
        "a", FakeBus(), make_view, lambda instance: 0
    )
    message = {"vm": "b", "sequence": 1, "configuration_revision": 3, "entries": b"{"}
    drain_observations.on_observation(
        peers.IncomingMessage("b", "observation", message, lambda kind, reply: None)
    )
    assert drain_observations.instances(["b"])["vanlog/vanlog-1"]["missing"] == ["b"]

"""Test that a follower misses no record and makes no needless calls."""

import asyncio
import random

import pytest

from wasabivalve import supervision
from wasabivalve.keyed_log import core, outage


def build_outage(clock, interval_s=0.5):
    return outage.StoreOutage(lambda: interval_s, random.Random(1), clock)


class Topic:
    """Simulate the store of one topic, and follow the topic."""

    def __init__(self):
        self.records = []
        self.first_offset = 0
        self.unreachable = False
        self.call_count = 0
        self.value_by_key = {}
        self.reachable_count = 0
        self.unreachable_count = 0
        self.now = 0.0
        handlers = core.TopicHandlers(
            self._on_listing, self._on_record, self._on_reachable, self._on_unreachable
        )
        self.follower = core.TopicFollower(
            "t",
            core.TopicSource(self._list_newest, self._read),
            handlers,
            core.FollowTimes(0.5, 0.0),
            random.Random(1),
            lambda: self.now,
            build_outage(lambda: self.now),
        )

    def append_record(self, key, value):
        self.records.append(core.Record(len(self.records), key, value))

    def poll(self, times=1):
        for _ in range(times):
            delay_s = asyncio.run(self.follower.poll())
        return delay_s

    async def _list_newest(self, known_end_offset):
        self.call_count += 1
        self.known_end_offset = known_end_offset
        if self.unreachable:
            return core.Unavailable("unreachable")
        newest = {record.key: record for record in self.records}
        return core.Listing(list(newest.values()), len(self.records))

    async def _read(self, offset, long_poll_s):
        self.call_count += 1
        if self.unreachable:
            return core.Unavailable("unreachable")
        if offset < self.first_offset:
            return core.Trimmed(self.first_offset)
        return core.Batch(self.records[offset:], len(self.records))

    def _on_listing(self, records):
        self.value_by_key = {}
        for record in records:
            self._on_record(record)

    def _on_record(self, record):
        self.value_by_key[record.key] = record.value

    def _on_reachable(self):
        self.reachable_count += 1

    def _on_unreachable(self, reason):
        self.unreachable_count += 1


def build_follower(topic, times, stagger_s=0.5):
    """Return a follower of a topic that runs by the clock of the event loop."""
    loop = asyncio.get_running_loop()
    return core.TopicFollower(
        "t",
        topic.follower._source,
        topic.follower._handlers,
        times,
        random.Random(1),
        loop.time,
        build_outage(loop.time),
        lambda: stagger_s,
    )


def test_records_after_the_listing_are_delivered():
    """A change after the start must be applied."""
    topic = Topic()
    topic.append_record("a", b"1")
    topic.poll()
    topic.append_record("a", b"2")
    topic.poll()
    assert topic.value_by_key == {"a": b"2"}


def test_outage_is_reported_and_no_record_is_missed():
    """Changes during an outage must be applied after it."""
    topic = Topic()
    topic.poll()
    topic.unreachable = True
    topic.poll(9)
    topic.append_record("a", b"1")
    topic.unreachable = False
    topic.poll()
    assert topic.value_by_key == {"a": b"1"} and topic.unreachable_count == 9


def test_followers_of_a_vm_take_turns_in_an_outage():
    """In an outage 195 VMs made 1,700 calls a second, each billed."""

    async def main():
        loop = asyncio.get_running_loop()
        store_outage = build_outage(loop.time, 0.4)
        topics = [Topic() for _ in range(4)]
        for topic in topics:
            topic.unreachable = True
            topic.follower._outage, topic.follower._clock = store_outage, loop.time
        tasks = [asyncio.create_task(topic.follower.run()) for topic in topics]
        await asyncio.sleep(2.0)
        # The first call of each, then one each 0.2 to 0.4 s for all together.
        assert sum(topic.call_count for topic in topics) <= 4 + 10
        for topic in topics:
            topic.unreachable = False
            topic.append_record("a", b"1")
        await asyncio.sleep(0.5)
        assert all(topic.value_by_key == {"a": b"1"} for topic in topics)
        for task in tasks:
            task.cancel()

    asyncio.run(main())


def test_relay_ends_an_outage_without_a_call():
    """Each VM called the store again although another VM relayed what it had read."""

    async def main():
        loop = asyncio.get_running_loop()
        topic = Topic()
        store_outage = build_outage(loop.time, 0.6)
        topic.follower._outage, topic.follower._clock = store_outage, loop.time
        topic.follower._times = core.FollowTimes(0.05, 0.0, 0.0, 0.05)
        task = asyncio.create_task(topic.follower.run())
        await asyncio.sleep(0.02)
        topic.unreachable = True
        await asyncio.sleep(0.2)
        calls_before = topic.call_count
        topic.follower.on_relay(0, 1, [core.Record(0, "a", b"1")], validity_s=0.9)
        await asyncio.sleep(0.7)
        assert topic.call_count == calls_before
        assert topic.value_by_key == {"a": b"1"} and not store_outage.is_ongoing
        task.cancel()

    asyncio.run(main())


@pytest.mark.parametrize("vm_count", [4, 5, 32, 97, 260])
def test_probes_of_a_region_are_bounded_and_find_the_recovery(vm_count):
    """More VMs must not call an unreachable store more often, nor miss its return."""
    interval_s = outage.probe_interval_s(vm_count, is_relay=False)
    assert 0.5 <= interval_s <= 2.0
    assert vm_count / interval_s <= 130.0
    assert outage.probe_interval_s(vm_count, is_relay=True) == 0.5


def test_deleted_records_lead_to_a_new_listing():
    """A reader that continues after a gap would keep keys that were removed in it."""
    topic = Topic()
    topic.append_record("a", b"1")
    topic.poll()
    topic.append_record("a", None)
    topic.append_record("b", b"1")
    topic.records[0:2] = [core.Record(0, "b", b"1"), core.Record(1, "b", b"1")]
    topic.first_offset = 2
    topic.poll(2)
    assert topic.value_by_key == {"b": b"1"}
    # Another VM's copy that is older than this offset would lead to the same gap.
    assert topic.known_end_offset == 2


@pytest.mark.parametrize("first_offset_is_known", [True, False])
def test_copy_from_before_the_deleted_records_is_not_accepted(first_offset_is_known):
    """Copies as old as this VM itself kept a region at an old state for 5 s."""
    topic = Topic()
    topic.append_record("a", b"1")
    topic.poll()
    for value in (b"2", b"3"):
        topic.append_record("a", value)
    if not first_offset_is_known:
        read = topic.follower._source.read

        async def read_without_offset(offset, long_poll_s):
            result = await read(offset, long_poll_s)
            return core.Trimmed(-1) if isinstance(result, core.Trimmed) else result

        topic.follower._source = core.TopicSource(
            topic._list_newest, read_without_offset
        )
    topic.first_offset = 2
    topic.poll()
    topic.poll()
    # The copy must end after the first deleted record.
    assert topic.known_end_offset >= 2
    assert topic.value_by_key == {"a": b"3"}


def test_relayed_records_are_applied_once():
    """A relay that overlaps the records read must not apply old ones again."""
    topic = Topic()
    topic.append_record("a", b"1")
    topic.poll()
    records = [core.Record(0, "a", b"0"), core.Record(1, "a", b"2")]
    topic.follower.on_relay(0, 2, records)
    assert topic.value_by_key == {"a": b"2"} and topic.follower.next_offset == 2


def test_gap_in_relays_is_read_from_the_store():
    """A lost datagram must not lose a change."""
    topic = Topic()
    topic.poll()
    topic.append_record("a", b"1")
    topic.append_record("b", b"1")
    topic.follower.on_relay(1, 2, [core.Record(1, "b", b"1")])
    assert topic.value_by_key == {}
    topic.poll()
    assert topic.value_by_key == {"a": b"1", "b": b"1"}


def test_relay_of_an_older_position_is_ignored():
    """A controller that resumes after a pause relays an outdated position."""
    topic = Topic()
    topic.append_record("a", b"1")
    topic.poll()
    reachable_count = topic.reachable_count
    topic.follower.on_relay(0, 0, [])
    assert topic.reachable_count == reachable_count


def test_relay_before_the_first_listing_is_ignored():
    """Without a listing the records before the relay are unknown."""
    topic = Topic()
    topic.follower.on_relay(5, 6, [core.Record(5, "a", b"1")])
    assert topic.value_by_key == {} and topic.follower.next_offset is None


def test_relays_after_the_listing_replace_reads():
    """At the start of 90 VMs, each of them read every topic several times."""

    async def main():
        topic = Topic()
        topic.append_record("a", b"1")
        follower = build_follower(topic, core.FollowTimes(0.5, 0.0))
        follower_task = asyncio.create_task(follower.run())
        for _ in range(6):
            await asyncio.sleep(0.3)
            follower.on_relay(1, 1, [])
        follower_task.cancel()
        assert topic.call_count == 1

    asyncio.run(main())


def test_vm_that_begins_to_relay_reads_at_once():
    """A new controller waited 2.2 s for relays of its predecessor."""

    async def main():
        topic = Topic()
        follower = build_follower(topic, core.FollowTimes(0.5, 0.0), stagger_s=0.0)
        follower_task = asyncio.create_task(follower.run())
        await asyncio.sleep(0.01)
        follower.on_relay(0, 0, [], 5.0)
        await asyncio.sleep(0.7)
        calls_before = topic.call_count
        follower.end_relays()
        await asyncio.sleep(0.05)
        follower_task.cancel()
        return topic.call_count - calls_before

    assert asyncio.run(main()) >= 1


def test_changes_in_quick_succession_are_read_together():
    """At the start of 195 VMs, each read every registration with a call of its own."""

    async def main():
        topic = Topic()
        follower = build_follower(topic, core.FollowTimes(0.5, 0.0, gap_delay_s=0.8))
        follower_task = asyncio.create_task(follower.run())
        await asyncio.sleep(0.1)
        for index in range(20):
            topic.append_record(f"vm-{index}", b"1")
            follower.on_relay(index + 1, index + 1, [])
            await asyncio.sleep(0.05)
        await asyncio.sleep(1.0)
        follower_task.cancel()
        assert len(topic.value_by_key) == 20
        # The listing, and in 2.1 s a read each half of the gap delay at most.
        assert topic.call_count <= 1 + 2.1 / 0.4

    asyncio.run(main())


def test_announced_message_replaces_a_read():
    """Each VM read the assignment log although a message with the map followed."""

    async def main():
        topic = Topic()
        times = core.FollowTimes(0.1, 0.0, first_relay_timeout_s=0.1)
        follower = build_follower(topic, times, stagger_s=0.0)
        follower_task = asyncio.create_task(follower.run())
        for _ in range(10):
            await asyncio.sleep(0.05)
            follower.extend_relay(0.3)
        calls_while_announced = topic.call_count
        topic.append_record("a", b"1")
        follower.mark_gap()
        await asyncio.sleep(0.1)
        follower_task.cancel()
        assert calls_while_announced == 1
        assert topic.value_by_key == {"a": b"1"}

    asyncio.run(main())


@pytest.mark.parametrize("max_staleness_s", [2.5, 3.0, 4.0])
def test_change_is_in_effect_in_time_after_the_last_relay(max_staleness_s):
    """A controller that dies right after a change must not delay it past its bound."""
    longest_wait_s = core.relay_validity_s(max_staleness_s) + 2 * 0.25
    assert longest_wait_s <= max_staleness_s - 1.0


def test_record_whose_handling_fails_is_skipped():
    """One record once ended the task that delivers all records."""
    topic = Topic()
    topic.poll()
    handled = []

    def on_record(record):
        if record.value == b"odd":
            raise RecursionError
        handled.append(record.key)

    topic.follower._handlers = topic.follower._handlers._replace(on_record=on_record)
    for key, value in (("a", b"1"), ("b", b"odd"), ("c", b"1")):
        topic.append_record(key, value)
    topic.poll()
    assert handled == ["a", "c"]
    assert topic.follower.next_offset == 3
    topic.append_record("d", b"odd")
    topic.append_record("e", b"1")
    topic.follower.on_relay(3, 5, topic.records[3:])
    assert handled == ["a", "c", "e"]
    assert topic.follower.next_offset == 5


def test_listing_whose_handling_fails_is_made_again(monkeypatch):
    """A follower must not go on from the end of a listing that had no effect."""
    monkeypatch.setattr(supervision, "RESTART_DELAY_S", 0.01)

    async def main():
        topic = Topic()
        topic.append_record("a", b"1")
        failures = [KeyError("x")]
        times = core.FollowTimes(0.01, 0.0, 0.0, 0.01)
        follower = build_follower(topic, times, stagger_s=0.0)

        def on_listing(records):
            if failures:
                raise failures.pop()
            topic._on_listing(records)

        follower._handlers = follower._handlers._replace(on_listing=on_listing)
        supervisor = supervision.TaskSupervisor()
        supervisor.start("follower", follower.run)
        await asyncio.sleep(0.1)
        assert topic.value_by_key == {"a": b"1"}
        topic.append_record("b", b"1")
        await asyncio.sleep(0.1)
        assert topic.value_by_key == {"a": b"1", "b": b"1"}
        supervisor.close()

    asyncio.run(main())

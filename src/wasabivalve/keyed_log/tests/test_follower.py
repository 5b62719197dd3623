"""Guard that a follower misses nothing and asks no more than it must."""

import asyncio
import random

from wasabivalve.keyed_log import core


class Topic:
    """Hold a topic and script what its store answers."""

    def __init__(self):
        self.records = []
        self.first = 0
        self.away = False
        self.calls = 0
        self.seen = {}
        self.contacts = 0
        self.outages = 0
        self.now = 0.0
        handlers = core.TopicHandlers(
            self._take_all, self._take, self._on_contact, self._on_outage
        )
        self.follower = core.TopicFollower(
            "t",
            core.TopicSource(self._listing, self._read),
            handlers,
            0.5,
            0.0,
            random.Random(1),
            lambda: self.now,
        )

    def put(self, key, value):
        self.records.append(core.Record(len(self.records), key, value))

    def step(self, times=1):
        for _ in range(times):
            pause = asyncio.run(self.follower.step())
        return pause

    async def _listing(self, known):
        self.calls += 1
        self.known = known
        if self.away:
            return core.Unavailable("away")
        newest = {record.key: record for record in self.records}
        return core.Listing(list(newest.values()), len(self.records))

    async def _read(self, offset, wait_s):
        self.calls += 1
        if self.away:
            return core.Unavailable("away")
        if offset < self.first:
            return core.Trimmed(self.first)
        return core.Batch(self.records[offset:], len(self.records))

    def _take_all(self, records):
        self.seen = {}
        for record in records:
            self._take(record)

    def _take(self, record):
        self.seen[record.key] = record.value

    def _on_contact(self):
        self.contacts += 1

    def _on_outage(self, reason):
        self.outages += 1


def test_records_after_the_listing_follow():
    """A change after the start must show."""
    topic = Topic()
    topic.put("a", b"1")
    topic.step()
    topic.put("a", b"2")
    topic.step()
    assert topic.seen == {"a": b"2"}


def test_outage_is_told_and_nothing_is_missed():
    """Changes during an outage show after it."""
    topic = Topic()
    topic.step()
    topic.away = True
    assert topic.step(9) <= core.MAX_RETRY_DELAY_S
    topic.put("a", b"1")
    topic.away = False
    topic.step()
    assert topic.seen == {"a": b"1"} and topic.outages == 9


def test_deleted_records_lead_to_a_new_listing():
    """A reader that goes on behind a gap keeps what was removed in it."""
    topic = Topic()
    topic.put("a", b"1")
    topic.step()
    topic.put("a", None)
    topic.put("b", b"1")
    topic.records[0:2] = [core.Record(0, "b", b"1"), core.Record(1, "b", b"1")]
    topic.first = 2
    topic.step(2)
    assert topic.seen == {"b": b"1"}
    # A copy that is no newer would lead to the same gap again.
    assert topic.known == 1


def test_relayed_records_are_taken_once():
    """A relay that overlaps what was read must not apply old records again."""
    topic = Topic()
    topic.put("a", b"1")
    topic.step()
    records = [core.Record(0, "a", b"0"), core.Record(1, "a", b"2")]
    topic.follower.on_relay(0, 2, records)
    assert topic.seen == {"a": b"2"} and topic.follower.next_offset == 2


def test_gap_in_relays_is_read_from_the_store():
    """A lost datagram must not lose a change."""
    topic = Topic()
    topic.step()
    topic.put("a", b"1")
    topic.put("b", b"1")
    topic.follower.on_relay(1, 2, [core.Record(1, "b", b"1")])
    assert topic.seen == {}
    topic.step()
    assert topic.seen == {"a": b"1", "b": b"1"}


def test_relay_of_an_older_position_proves_nothing():
    """A controller that woke from a pause relays what is long outdated."""
    topic = Topic()
    topic.put("a", b"1")
    topic.step()
    contacts = topic.contacts
    topic.follower.on_relay(0, 0, [])
    assert topic.contacts == contacts


def test_relay_before_the_first_listing_is_ignored():
    """Without a listing the records before the relay are unknown."""
    topic = Topic()
    topic.follower.on_relay(5, 6, [core.Record(5, "a", b"1")])
    assert topic.seen == {} and topic.follower.next_offset is None


def test_relays_after_the_listing_make_reads_needless():
    """At the start of 90 VMs each of them read every topic several times."""

    async def main():
        topic = Topic()
        topic.put("a", b"1")
        loop = asyncio.get_running_loop()
        follower = core.TopicFollower(
            "t",
            topic.follower._source,
            topic.follower._handlers,
            0.5,
            0.0,
            random.Random(1),
            loop.time,
            lambda: 0.5,
        )
        running = asyncio.create_task(follower.run())
        for _ in range(6):
            await asyncio.sleep(0.3)
            follower.on_relay(1, 1, [])
        running.cancel()
        assert topic.calls == 1

    asyncio.run(main())

"""Test that followers of a restored store end with what it holds."""

import asyncio
import random

import hypothesis
from hypothesis import strategies

from wasabivalve.keyed_log import core, outage, store_era


class RestoredTopic:
    """Hold a topic that rewinds, and a follower of it.

    Without ``names_era`` the store names no era, as stores without this drill.
    """

    def __init__(self, names_era):
        self.records = []
        self.names_era = names_era
        self.count = 0
        self.value_by_key = {}
        self.era = store_era.StoreEra()
        self.era_number = 1
        self.follower = core.TopicFollower(
            "t",
            core.TopicSource(self._list_newest, self._read),
            core.TopicHandlers(
                self._on_listing,
                lambda record: self.value_by_key.update({record.key: record.value}),
                lambda: None,
                lambda reason: None,
            ),
            core.FollowTimes(0.0, 0.0),
            random.Random(1),
            lambda: 0.0,
            outage.StoreOutage(lambda: 0.5, random.Random(1), lambda: 0.0),
        )
        self.era.add_listener(self.follower.start_anew)

    def append(self, key):
        self.count += 1
        self.records.append((key, b"%d" % self.count))

    def rewind(self, lost_count):
        del self.records[max(0, len(self.records) - lost_count) :]
        self.era_number += 1

    def poll(self, count=1):
        async def main():
            for _ in range(count):
                await self.follower.poll()

        asyncio.run(main())

    def newest(self):
        return dict(self.records)

    def _on_listing(self, records):
        self.value_by_key = {record.key: record.value for record in records}

    def _answer(self):
        if self.names_era:
            self.era.observe(self.era_number, "store")

    async def _list_newest(self, known_end_offset):
        self._answer()
        rows = {
            key: core.Record(offset, key, value)
            for offset, (key, value) in enumerate(self.records)
        }
        return core.Listing(list(rows.values()), len(self.records))

    async def _read(self, offset, long_poll_s):
        self._answer()
        if offset > len(self.records):
            return core.Trimmed(0)
        records = [
            core.Record(each, *self.records[each])
            for each in range(offset, len(self.records))
        ]
        return core.Batch(records, len(self.records))


STEPS = strategies.lists(
    strategies.one_of(
        strategies.tuples(strategies.just("append"), strategies.sampled_from("abc")),
        strategies.tuples(strategies.just("rewind"), strategies.integers(0, 5)),
        strategies.tuples(strategies.just("poll"), strategies.integers(1, 3)),
    ),
    max_size=30,
)


@hypothesis.given(steps=STEPS)
@hypothesis.settings(deadline=None)
def test_reader_behind_or_ahead_ends_with_what_the_store_holds(steps):
    """Offsets that are assigned again mean other records, also before the cursor."""
    topic = RestoredTopic(names_era=True)
    for name, argument in steps:
        getattr(topic, name)(argument)
    topic.poll(4)
    assert topic.value_by_key == topic.newest()
    assert topic.follower.next_offset == len(topic.records)


def test_reader_ahead_of_a_store_without_eras_lists_again():
    """An offset that the store does not have must not be read for ever."""
    topic = RestoredTopic(names_era=False)
    for key in "aab":
        topic.append(key)
    topic.poll(2)
    topic.rewind(2)
    topic.poll(2)
    assert topic.value_by_key == topic.newest() == {"a": b"1"}


def test_relayed_era_starts_followers_anew_and_an_older_one_is_not_the_newest():
    """VMs notice a restored store at different times."""
    topic = RestoredTopic(names_era=True)
    topic.append("a")
    topic.poll(2)
    assert topic.era.observe(2, "vm-1") and topic.follower.next_offset is None
    assert not topic.era.observe(1, "vm-2")
    topic.era_number = 2
    topic.poll()
    assert topic.follower.next_offset == 1

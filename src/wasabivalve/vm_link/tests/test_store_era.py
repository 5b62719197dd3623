"""Test that relays and copies of an older era of the store are not believed."""

import asyncio
import types

import pytest

from wasabivalve.keyed_log import core as keyed_log
from wasabivalve.keyed_log import store_era
from wasabivalve.vm_link import copies, core
from wasabivalve.vm_link.tests import test_relaying

TOPIC = test_relaying.TOPIC


def build_era(number):
    era = store_era.StoreEra()
    era.observe(number, "store")
    return era


async def fetch(source_era, reader_era, record):
    """Return what a reader gets of a source, and the era that the reader then knows."""
    source = copies.DocumentCopies([TOPIC], list, era=build_era(source_era))
    await source.start("127.0.0.1", 0)
    port = source._server.sockets[0].getsockname()[1]
    source.put(TOPIC, record)
    era = build_era(reader_era)
    reader = copies.DocumentCopies([TOPIC], lambda: [("127.0.0.1", port)], era=era)
    listing = await reader.fetch_listing(TOPIC, 0)
    source.close()
    return listing, era.newest


@pytest.mark.parametrize(
    ("source_era", "reader_era", "is_accepted", "known_era"),
    [(2, 2, True, 2), (1, 2, False, 2), (3, 2, False, 3), (0, 0, True, 0)],
)
def test_only_copies_of_the_same_era_are_accepted(
    source_era, reader_era, is_accepted, known_era
):
    """Offsets of two eras can't be compared; a newer era must be noticed."""
    listing, era = asyncio.run(fetch(source_era, reader_era, test_relaying.RECORD))
    assert (listing is not None) == is_accepted
    assert era == known_era


def test_restored_listing_does_not_replace_a_newer_document_in_copies():
    """A VM that starts would get the older version from a VM that knows better."""
    era = build_era(1)
    source = copies.DocumentCopies([TOPIC], list, era=era)
    source.put(TOPIC, keyed_log.Record(9, "config", b"newer"))
    era.observe(2, "store")
    older = keyed_log.Record(3, "config", b"older")
    source.put_listing(TOPIC, keyed_log.Listing([older], 6))
    source.retain(TOPIC, "config")
    assert source._document_by_topic[TOPIC].copy == copies.DocumentCopy(
        [keyed_log.Record(5, "config", b"newer")], 6, 2
    )


class RecordingFollower:
    """Record the ends of relays in place of a follower."""

    def __init__(self):
        self.next_offset = 3
        self.ends = []

    def on_relay(self, first, end, records, validity_s):
        """Record a relay."""
        self.ends.append(end)


def test_relays_name_the_era_and_older_ones_are_ignored():
    """An offset of an older era would move the cursor past records never read."""

    async def main():
        vms = {"vm-1": 5.0, "vm-2": 5.0}
        vm_exchange = test_relaying.build_exchange("vm-1", vms, leads=False)
        vm_exchange._store_era.observe(2, "store")
        follower = RecordingFollower()
        vm_exchange.follower_by_topic = {"states": follower}
        for era in (1, 2, 3, 2):
            relay = core.TopicRelay(
                "vm-2", True, {"states": 10 + era}, "servers", 0, [], 1, 1, era=era
            )
            vm_exchange._on_message(relay, ("127.0.0.1", 2))
        assert follower.ends == [12, 13]
        assert vm_exchange._store_era.newest == 3
        vm_exchange.relay("states", 3, 3, [])
        assert {message.era for message, _ in vm_exchange._endpoint.sent} == {3}

    asyncio.run(main())


def test_vm_that_the_restored_list_lacks_shares_limits():
    """A VM with the restored list alone would use the part of the other one as well."""

    async def main():
        vm_exchange = test_relaying.build_exchange("vm-1", {"vm-1": 5.0}, leads=False)
        listed = vm_exchange.vm_count
        vm_exchange._on_message(core.InFlightCounts("vm-9", {}), ("127.0.0.9", 9))
        vm_exchange.update_vm_count()
        assert vm_exchange.vm_count == listed + 1
        registration = b'{"host":"127.0.0.9","port":9,"data_centre":"x","link_mbps":1}'
        vm_exchange.on_vm_record(keyed_log.Record(0, "vm-9", registration))
        vm_exchange.update_vm_count()
        assert vm_exchange.vm_count == listed + 1
        # A VM whose address is not listed counts only for a time.
        vm_exchange.on_vm_record(keyed_log.Record(1, "vm-9", None))
        vm_exchange._loop = types.SimpleNamespace(
            time=lambda: asyncio.get_running_loop().time() + 11.0
        )
        vm_exchange.update_vm_count()
        assert vm_exchange.vm_count == listed

    asyncio.run(main())

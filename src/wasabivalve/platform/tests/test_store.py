"""Test the client of the platform's store."""

import asyncio

from wasabivalve.keyed_log import core as keyed_log
from wasabivalve.platform import settings, store
from wasabivalve.platform.tests import store_stand_in


def run_scenario(scenario):
    """Run a scenario with a started store stand-in and a client of it."""

    async def main():
        stand_in = store_stand_in.StoreStandIn()
        await stand_in.start()
        client = store.StoreClient(settings.HostPort("127.0.0.1", stand_in.port))
        try:
            await scenario(stand_in, client)
        finally:
            client.close()
            stand_in.close()

    asyncio.run(main())


def test_listing_joins_all_pages():
    """A listing that stops after the first page would omit instances."""

    async def scenario(stand_in, client):
        for number in range(8):
            stand_in.put("keyed.servers", f"i-{number}", b"{}")
        listing = await client.list_newest("keyed.servers")
        assert [record.key for record in listing.records] == [
            f"i-{number}" for number in range(8)
        ]
        assert listing.end_offset == 8

    run_scenario(scenario)


def test_read_returns_removals_and_offsets():
    """A removal decoded as an empty entry would keep an instance that has ended."""

    async def scenario(stand_in, client):
        stand_in.put("keyed.servers", "a", b"1")
        stand_in.put("keyed.servers", "a", None)
        batch = await client.read("keyed.servers", 1, 0.0)
        assert batch.records == [keyed_log.Record(1, "a", None)]
        assert batch.end_offset == 2

    run_scenario(scenario)


def test_read_reports_deleted_records():
    """A reader that doesn't know of deleted records would miss their changes."""

    async def scenario(stand_in, client):
        stand_in.put("keyed.op", "config", b"1")
        stand_in.trim("keyed.op", 1)
        assert await client.read("keyed.op", 0, 0.0) == keyed_log.Trimmed(1)

    run_scenario(scenario)


def test_conditional_append_has_one_winner():
    """Two controllers that both regard their append as done would grant keys twice."""

    async def scenario(stand_in, client):
        first = await client.append("keyed.keys", "map", b"1", expected_end_offset=0)
        second = await client.append("keyed.keys", "map", b"2", expected_end_offset=0)
        assert (first, second) == ("done", "moved")

    run_scenario(scenario)


def test_append_without_an_answer_is_unknown(monkeypatch):
    """An append without a response may still be written seconds later."""
    monkeypatch.setattr(store, "APPEND_TIMEOUT_S", 0.05)

    async def scenario(stand_in, client):
        stand_in.responses_to_drop = 1
        assert (
            await client.append("keyed.keys", "map", b"1", expected_end_offset=0)
            == "unknown"
        )
        assert len(stand_in.records_by_topic["keyed.keys"]) == 1

    run_scenario(scenario)


def test_refused_append_was_certainly_not_done():
    """A move of keys may be undone only if its record was certainly not written."""

    async def scenario(stand_in, client):
        stand_in.refuses_calls = True
        assert (
            await client.append("keyed.keys", "map", b"1", expected_end_offset=0)
            == "refused"
        )
        stand_in.close()
        client.close()
        assert (
            await client.append("keyed.keys", "map", b"1", expected_end_offset=0)
            == "refused"
        )

    run_scenario(scenario)


def test_refusal_and_silence_are_unavailable(monkeypatch):
    """An outage treated as an empty topic would remove every instance."""
    monkeypatch.setattr(store, "CALL_TIMEOUT_S", 0.05)

    async def scenario(stand_in, client):
        stand_in.refuses_calls = True
        listing = await client.list_newest("keyed.servers")
        assert isinstance(listing, keyed_log.Unavailable)
        stand_in.refuses_calls = False
        stand_in.responses_to_drop = 1
        batch = await client.read("keyed.servers", 0, 0.0)
        assert isinstance(batch, keyed_log.Unavailable)

    run_scenario(scenario)


def test_partitions_of_a_group_have_one_member():
    """Two members with the controller's partition would both grant keys."""

    async def scenario(stand_in, client):
        await client.join_group("g", "a", "t", 1.5, 0)
        second = await client.join_group("g", "b", "t", 1.5, 0)
        first = await client.join_group("g", "a", "t", 1.5, 0)
        assert 0 in first.partitions
        assert not first.partitions & second.partitions

    run_scenario(scenario)


def test_slow_response_is_not_abandoned(monkeypatch):
    """VMs that restart a large listing again and again keep a narrow link saturated."""

    async def main(gap_s):
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            body = b'{"items": [], "more": false, "end": 4}'
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body))
            for start in range(0, len(body), 8):
                await asyncio.sleep(gap_s)
                writer.write(body[start : start + 8])
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = store.StoreClient(settings.HostPort("127.0.0.1", port))
        listing = await client.list_newest("keyed.op")
        client.close()
        server.close()
        return listing

    monkeypatch.setattr(store, "CALL_TIMEOUT_S", 0.15)
    assert asyncio.run(main(0.05)) == keyed_log.Listing([], 4)
    assert asyncio.run(main(0.5)) == keyed_log.Unavailable("no answer in time")


def test_reader_ahead_of_a_restored_store_learns_the_era():
    """A reader that waits at a lost offset would miss what is written before it."""

    async def scenario(stand_in, client):
        stand_in.era = 1
        copy = stand_in.copy_end_offsets()
        stand_in.put("keyed.op", "config", b"1")
        assert (await client.list_newest("keyed.op")).end_offset == 1
        restored_eras = []
        client.era.add_listener(lambda: restored_eras.append(client.era.newest))
        stand_in.restore(copy)
        assert await client.read("keyed.op", 1, 0.0) == keyed_log.Trimmed(0)
        assert restored_eras == [2]

    run_scenario(scenario)


def test_append_in_another_era_is_not_done():
    """A restored log may end by chance at the offset that an older append names."""

    async def scenario(stand_in, client):
        stand_in.era = 1
        await client.append("keyed.keys", "map", b"1", 0, 1)
        copy = stand_in.copy_end_offsets()
        await client.append("keyed.keys", "map", b"2", 1, 1)
        stand_in.restore(copy)
        assert await client.append("keyed.keys", "map", b"3", 1, 1) == "moved"

    run_scenario(scenario)


def test_pages_of_two_eras_are_not_joined():
    """A listing with lost entries would be believed as what the store has."""

    async def scenario(stand_in, client):
        stand_in.era = 1
        for number in range(4):
            stand_in.put("keyed.servers", f"i-{number}", b"{}")
        copy = stand_in.copy_end_offsets()
        stand_in.put("keyed.servers", "i-0", None)
        stand_in.put("keyed.servers", "i-9", b"{}")
        handle = stand_in.handle

        async def restore_after_first_page(request):
            response = await handle(request)
            if stand_in.era == 1:
                stand_in.restore(copy)
            return response

        stand_in.handle = restore_after_first_page
        listing = await client.list_newest("keyed.servers")
        assert [record.key for record in listing.records] == [
            f"i-{number}" for number in range(4)
        ]
        assert listing.end_offset == 4

    run_scenario(scenario)

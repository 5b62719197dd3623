"""Test access to the log while the connection to it or the log itself is down."""

import msgspec

from wasabivalve import peers, platform_log
from wasabivalve.entry import log_relay


class FakeLogClient:
    """Store one stream in memory, or fail every call."""

    def __init__(self, records=(), up=True):
        self.records = list(records)
        self.up = up

    def append(self, stream, records):
        if not self.up:
            return platform_log.LogUnavailable("down")
        first = len(self.records)
        self.records += records
        return platform_log.Appended(first)

    def read(self, stream, offset, wait_ms=0.0, limit=1000):
        if not self.up:
            return platform_log.LogUnavailable("down")
        rows = [
            platform_log.LoggedRecord(index, record)
            for index, record in enumerate(self.records)
        ]
        return platform_log.ReadBatch(tuple(rows[offset:]), len(rows), 0)


class FakeBus:
    """Deliver requests synchronously to the relaying client of one peer."""

    def __init__(self):
        self.peer = None

    def request(self, peer, kind, message):
        future = peers.core.futures.Future()
        if self.peer is not None:
            payload = msgspec.msgpack.encode(message)
            decoded = peers.decode(kind, payload)
            self.peer._handle_relay_request(
                peers.IncomingMessage(
                    "me", kind, decoded, lambda _, reply: future.set_result(reply)
                )
            )
        else:
            future.set_exception(peers.PeerLostError(peer))
        return future

    def cancel_request(self, future):
        future.cancel()


def make_relaying_client(client, bus=None):
    return log_relay.RelayingLogClient(
        client, bus or FakeBus(), lambda: ["peer"], ["configuration"]
    )


def test_vm_without_connection_to_the_log_uses_a_peer():
    bus = FakeBus()
    bus.peer = make_relaying_client(FakeLogClient([{"record_id": "a"}]))
    relaying_client = make_relaying_client(FakeLogClient(up=False), bus)
    assert (
        relaying_client.append("configuration", [{"record_id": "b"}]).first_offset == 1
    )
    batch = relaying_client.read("configuration", 0)
    assert [row.record["record_id"] for row in batch.records] == ["a", "b"]


def test_vm_that_starts_during_an_outage_reads_the_copy_of_a_peer():
    """Otherwise a VM that starts in the outage would have no configuration."""
    bus = FakeBus()
    client = FakeLogClient([{"record_id": "a"}])
    bus.peer = make_relaying_client(client)
    bus.peer.read("configuration", 0)
    client.up = False
    relaying_client = make_relaying_client(FakeLogClient(up=False), bus)
    batch, from_log = relaying_client.read_log_or_copy("configuration", 0)
    assert [row.offset for row in batch.records] == [0]
    assert batch.next_offset == 1
    assert not from_log


def test_append_is_unknown_after_a_lost_relay_reply():
    """If it were reported as not appended, the caller could append twice."""
    relaying_client = make_relaying_client(FakeLogClient(up=False))
    result = relaying_client.append("configuration", [{"record_id": "b"}])
    assert isinstance(result, platform_log.AppendUnknown)


def test_copy_reports_a_gap():
    """A reader that missed records must not act on incomplete state."""
    copy = log_relay.StreamCopy()
    row = platform_log.LoggedRecord
    copy.add(platform_log.ReadBatch((row(5, {}),), 6, 0))
    assert copy.read(0, 10) == platform_log.Gap(5)
    copy.add(platform_log.ReadBatch((row(6, {}), row(7, {})), 8, 0))
    assert [found.offset for found in copy.read(5, 10).records] == [5, 6, 7]
    copy.add(platform_log.ReadBatch((row(20, {}),), 21, 20))
    assert copy.read(5, 10) == platform_log.Gap(20)

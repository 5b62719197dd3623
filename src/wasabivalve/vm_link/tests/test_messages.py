"""Guard the messages between VMs."""

import asyncio

import pytest

from wasabivalve.vm_link import core

MESSAGES = [
    core.TopicRelay(
        "vm", True, {"t": 4}, "t", 2, [core.RelayedRecord(3, "k", None)], 5, 6
    ),
    core.TrafficReport("vm", {"desk": {7: 2}}, {"i-1": (2, 1.5)}),
    core.RangesMoving("vm", [("desk", 1, 2)], 500.0),
    core.AdmissionShares("vm", {"i-1": 0.5}),
    core.InFlightCounts("vm", {"i-1": 2}),
    core.YieldRequest("vm", 4),
    core.YieldReply("vm", 4, {"i-1": 20.0}),
    core.RangesConfirmed("vm", 3, 4, "desk", [(1, 2, "i-1", 9)]),
]


@pytest.mark.parametrize("message", MESSAGES)
def test_message_survives_its_encoding(message):
    """A field that reads back differently moves keys to a wrong holder."""
    assert core.decode(core.encode(message)) == message


@pytest.mark.parametrize("data", [b"", b"\x00", b"\xff" * 50, b"\x92\xa1x\x01"])
def test_other_bytes_are_no_message(data):
    """Datagrams of others must not end the process."""
    assert core.decode(data) is None


def test_large_message_is_not_sent():
    """A datagram in fragments is lost more often and as a whole."""

    async def main():
        link = core.DatagramEndpoint(lambda message, sender: None)
        await link.start("127.0.0.1", 0)
        large = core.TrafficReport("vm", {"desk": dict.fromkeys(range(2_000), 1)}, {})
        assert not link.send(large, ("127.0.0.1", 9))
        assert link.send(MESSAGES[1], ("127.0.0.1", 9))
        link.close()

    asyncio.run(main())

"""Test what holding messages costs and what is dropped when the account is full."""

import hypothesis
import pytest
from hypothesis import strategies

from wasabivalve.desired_state import core as desired_state
from wasabivalve.gateway import incoming_request, memory_account, read_pace
from wasabivalve.platform import settings

LIMITS = desired_state.CallerLimits(1_000, 5_000, 3_000.0, 15_000.0)


class Peer:
    """Record what the account drops."""

    def __init__(self, buffers, unwritten_bytes=0):
        self.buffers = buffers
        self.unwritten = unwritten_bytes
        self.dropped = []

    def on_evicted(self):
        # A refusal is written, as connections do.
        self.dropped.append("message")
        self.unwritten += 1
        self.buffers.set_unwritten(self, self.unwritten)

    def on_unwritten_evicted(self):
        self.dropped.append("unread")
        self.unwritten = 0

    def held_bytes(self):
        return self.unwritten


def test_largest_of_incomplete_and_unread_messages_is_dropped():
    """Responses that are not read were counted nowhere and ended the process."""
    buffers = memory_account.ReceiveBuffers(100)
    reader, small = Peer(buffers, 60), Peer(buffers)
    buffers.set_unwritten(reader, 60)
    buffers.add(small, 41)
    assert reader.dropped == ["unread"] and not small.dropped
    assert (buffers.total_bytes, buffers.unread_evictions) == (41, 1)


def test_response_that_was_read_meanwhile_is_not_dropped():
    """A caller that reads slowly must not pay for bytes that it has read."""
    buffers = memory_account.ReceiveBuffers(100)
    reader, small = Peer(buffers, 60), Peer(buffers)
    buffers.set_unwritten(reader, 60)
    reader.unwritten = 5
    buffers.add(small, 41)
    assert not reader.dropped and buffers.total_bytes == 46


def test_complete_requests_leave_room_for_responses():
    """A response without room would make the request that has run a lost one."""
    buffers = memory_account.ReceiveBuffers(100)
    first, second = Peer(buffers), Peer(buffers)
    buffers.add(first, 90)
    assert buffers.has_room_for_complete(first)
    buffers.keep_complete(first)
    buffers.add(second, 5)
    assert not buffers.has_room_for_complete(second)
    buffers.release_complete(first)
    assert buffers.has_room_for_complete(second)


@hypothesis.given(
    steps=strategies.lists(
        strategies.tuples(
            strategies.integers(0, 3),
            strategies.sampled_from(("add", "keep", "write", "read", "release")),
            strategies.integers(0, 80),
        ),
        max_size=30,
    )
)
def test_account_is_what_peers_hold_and_stays_within_its_limit(steps):
    """A count that drifts would refuse all callers, or bound nothing."""
    buffers = memory_account.ReceiveBuffers(100)
    peers = [Peer(buffers) for _ in range(4)]
    for index, step, byte_count in steps:
        peer = peers[index]
        if step == "add":
            buffers.add(peer, byte_count)
        elif step == "keep" and buffers.has_room_for_complete(peer):
            buffers.keep_complete(peer)
        elif step == "write":
            peer.unwritten += byte_count
            buffers.set_unwritten(peer, peer.unwritten)
        elif step == "read":
            peer.unwritten = max(0, peer.unwritten - byte_count)
        elif step == "release":
            buffers.release(peer)
        assert buffers.total_bytes <= buffers.limit_bytes
    for peer in peers:
        buffers.release(peer)
        peer.unwritten = 0
        buffers.set_unwritten(peer, 0)
    assert buffers.total_bytes == 0


def test_short_header_lines_cost_more_than_their_bytes():
    """A head of 16 KB made of lines of four bytes took 500 KB and counted as 16."""
    request = incoming_request.IncomingRequest()
    request.add_read(400)
    for _ in range(100):
        request.add_field(b"a", b"")
    assert request.cost_bytes > 100 * memory_account.FIELD_BYTES
    assert request.find_excess(LIMITS) is None


def test_body_in_tiny_chunks_costs_its_bytes():
    """A body in chunks of one byte cost 34 bytes for each, and was counted as six."""
    request = incoming_request.IncomingRequest()
    request.add_read(100)
    request.end_head()
    for _ in range(1_000):
        request.add_read(6)
        request.add_body(b"b")
    assert request.cost_bytes == 1_000
    assert request.find_excess(LIMITS) is None


@pytest.mark.parametrize("parsed", [True, False])
def test_trailers_are_dropped_and_bounded(parsed):
    """Trailers without end were kept as headers and counted nowhere."""
    request = incoming_request.IncomingRequest()
    request.add_field(b"host", b"h")
    request.end_head()
    request.add_body(b"b")
    for _ in range(200):
        if parsed:
            request.add_field(b"host", b"other")
        else:
            request.add_read(10)
    assert request.headers == [(b"host", b"h")]
    rejection = request.find_excess(LIMITS)
    assert rejection is not None and rejection.status == 431


def test_requests_at_the_limits_are_in_no_excess():
    """A caller inside the limits of the desired state must be served."""
    request = incoming_request.IncomingRequest()
    line = b"a:\r\n"
    request.add_read(LIMITS.header_bytes)
    for _ in range(LIMITS.header_bytes // len(line)):
        request.add_field(b"a", b"")
    assert request.find_excess(LIMITS) is None
    request.end_head()
    request.add_body(b"b" * LIMITS.body_bytes)
    assert request.find_excess(LIMITS) is None
    request.add_body(b"b")
    rejection = request.find_excess(LIMITS)
    assert rejection is not None and rejection.status == 413


def test_tiny_pieces_of_all_connections_share_one_pace():
    """Twenty bodies in chunks of one byte left no time to answer other callers."""
    pace = read_pace.ReadPace()
    assert pace.pause_s(1.0, read_pace.MAX_PIECES_PER_READ) == 0.0
    first, second = pace.pause_s(1.0, 1_000), pace.pause_s(1.0, 1_000)
    assert first == pytest.approx(1_000 * read_pace.SECONDS_PER_PIECE)
    assert second == pytest.approx(2.0 * first)
    assert pace.pause_s(9.0, 1_000) == pytest.approx(first)


@pytest.mark.parametrize("memory_mb", [200, 300, 429, 552])
def test_smallest_vm_holds_the_largest_body(memory_mb):
    """A single request inside the limits was refused by a VM of 200 MB."""
    share = settings.DEFAULT_RECEIVE_BUFFER_SHARE
    limit_bytes = settings.receive_buffer_bytes(1e6 * memory_mb, share)
    assert 67_108_864 + 1_000_000 < limit_bytes <= 0.4e6 * memory_mb


def test_long_heads_of_all_connections_wait_in_one_line():
    """Parsing them took all turns of the event loop; nobody else was answered."""
    pace = read_pace.ReadPace()
    assert pace.head_wait_s(1.0, 0, read_pace.MAX_UNPACED_LINES) == 0.0
    # A single long head is parsed at once.
    assert pace.head_wait_s(1.0, 200, 3_800) == 0.0
    spacing_s = 3_800 * read_pace.SECONDS_PER_LINE
    assert pace.head_wait_s(1.0, 0, 3_800) == pytest.approx(spacing_s)
    assert pace.head_wait_s(1.0, 0, read_pace.MAX_UNPACED_LINES) == 0.0
    waits = [pace.head_wait_s(1.0, 0, 3_800) for _ in range(900)]
    assert max(wait for wait in waits if wait is not None) <= read_pace.MAX_LINE_WAIT_S
    assert waits[-1] is None
    # Those that were refused leave no wait behind.
    assert pace.head_wait_s(3.5, 0, 3_800) == 0.0

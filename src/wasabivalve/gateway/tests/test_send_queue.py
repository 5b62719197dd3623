"""Test what counts as not acknowledged by a peer."""

import contextlib
import socket
import time

import pytest

from wasabivalve.gateway import disconnects, send_queue


@contextlib.contextmanager
def connect_pair():
    """Yield both ends of a connection whose second end reads nothing."""
    with socket.socket() as listener, socket.socket() as peer:
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        peer.connect(listener.getsockname())
        sender, _ = listener.accept()
        with sender:
            sender.setblocking(False)
            yield sender, peer


def wait_for(condition):
    """Wait until the kernel has passed on what both ends did."""
    limit = time.monotonic() + 5.0
    while not condition():
        assert time.monotonic() < limit
        time.sleep(0.001)


def test_bytes_count_until_the_peer_has_read():
    """What the kernel holds was taken for received."""
    with connect_pair() as (sender, peer):
        assert send_queue.unacknowledged_bytes(sender) == 0
        left = sender.send(b"x" * 1_000_000)
        assert 0 < send_queue.unacknowledged_bytes(sender) <= left
        while left:
            left -= len(peer.recv(65_536))
        wait_for(lambda: send_queue.unacknowledged_bytes(sender) == 0)


@pytest.mark.parametrize("end", ["reset", "closed side", "own end"])
def test_nothing_counts_that_no_wait_can_help(end):
    """A stop must not wait for callers that have left."""
    with connect_pair() as (sender, peer):
        sender.send(b"x" * 1_000_000)
        if end == "reset":
            peer.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, disconnects.RESET_ON_CLOSE
            )
            peer.close()
        elif end == "closed side":
            peer.shutdown(socket.SHUT_WR)
        else:
            sender.close()
        wait_for(lambda: send_queue.unacknowledged_bytes(sender) == 0)

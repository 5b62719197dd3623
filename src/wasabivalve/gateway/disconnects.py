"""Notice that a peer that is not read has left, and reset connections."""

import asyncio
import select
import socket
import struct

LEFT_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
"""Events that the kernel reports also while received bytes are unread."""

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
ORDERLY_CLOSE = struct.pack("ii", 0, 0)


def has_left(transport: asyncio.Transport) -> bool:
    """Return whether the peer has closed or reset a connection, without waiting."""
    return _has_events(transport, LEFT_EVENTS)


def _has_events(transport: asyncio.Transport, events: int) -> bool:
    """Return whether one of some events, a hang-up or an error has occurred."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(sock.fileno(), events)
    return bool(poll.poll(0))


def has_ended(transport: asyncio.Transport) -> bool:
    """Return whether a connection has ended in both directions, without waiting."""
    return _has_events(transport, 0)


def reset(transport: asyncio.Transport) -> None:
    """Close a connection at once; the peer sees an error, and unsent bytes are lost."""
    set_reset_on_close(transport, True)
    transport.abort()


def set_reset_on_close(transport: asyncio.Transport, resets: bool) -> None:
    """Choose whether closing a connection, also by a kill, resets it."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    option = RESET_ON_CLOSE if resets else ORDERLY_CLOSE
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
    except OSError:
        # The socket is closed already; nothing is left to drop.
        pass
